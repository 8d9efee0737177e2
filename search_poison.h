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
 * search_poison_plan() - plan a round that uses one server only
 *
 * Due shards that the server does not hold wait for its answer.
 */
void search_poison_plan(struct search_round *round);

#endif
