/*
 * A round of parts, from the plan to the queries sent to homes.
 */
#ifndef SEARCH_ROUND_H
#define SEARCH_ROUND_H

#include "search_plan.h"

/**
 * search_round_wire_id() - the id of a round's requests at backend servers
 */
void search_round_wire_id(const struct search *search, int round,
			  char out[SEARCH_WIRE_ID_SIZE]);

/**
 * search_round_init() - begin an empty plan
 * @hedged_part: the part that is hedged, or -1
 */
void search_round_init(struct search_round *round, struct search *search,
		       int hedged_part);

/**
 * search_round_send() - send the planned parts
 */
void search_round_send(struct search_round *round);

/**
 * search_round_finish() - free a plan, sent or not
 */
void search_round_finish(struct search_round *round);

/**
 * search_round_is_due() - whether any shard must be requested now
 */
bool search_round_is_due(const struct search *search);

/**
 * search_round_run() - plan and send a round for all shards that are due
 */
void search_round_run(struct search *search);

#endif
