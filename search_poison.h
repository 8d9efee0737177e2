/*
 * Requests that may crash servers: refusal, and rounds that use one server.
 */
#ifndef SEARCH_POISON_H
#define SEARCH_POISON_H

#include "search_plan.h"

/**
 * search_poison_check() - whether the rest of a search is refused
 *
 * Sets @single_server of the search, and @retry_after_ms if it is refused.
 */
bool search_poison_check(struct search *search);

/**
 * search_poison_begin_trial() - a part is sent that is asked for alone
 */
void search_poison_begin_trial(struct search *search, struct search_part *part);

/**
 * search_poison_plan() - plan a round that uses one server only
 *
 * Due shards that the server does not hold wait for its answer, or the end of
 * its trial.
 */
void search_poison_plan(struct search_round *round);

#endif
