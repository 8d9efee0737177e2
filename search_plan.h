/*
 * Planning of a round: the server and home that each shard is requested from.
 */
#ifndef SEARCH_PLAN_H
#define SEARCH_PLAN_H

#include "search.h"

/**
 * struct search_round - the plan of one round, made before anything is sent
 * @placement: who holds the shards; NULL if nobody does
 * @service: NULL if it was removed from the table
 * @id: marks servers and homes that the plan uses already
 * @wire_id: id of the round's requests at backend servers
 * @first_part: index of the first part of this round
 * @hedged_part: the part that is hedged, or -1
 * @late_notice: its home reported that it runs for too long
 * @is_retry: the search has sent parts before
 * @replicas: owned: candidates for the shard being planned
 * @cap_replicas: allocated elements of @replicas
 */
struct search_round {
	struct search *search;
	const struct catalog_placement *placement;
	const struct service *service;
	uint64_t id;
	char wire_id[SEARCH_WIRE_ID_SIZE];
	int first_part;
	int hedged_part;
	bool late_notice;
	bool is_retry;
	struct replica *replicas;
	int cap_replicas;
};

/**
 * struct search_choice - the server and home chosen for a shard; both borrowed
 */
struct search_choice {
	struct catalog_server *server;
	struct catalog_instance *home;
};

/**
 * search_plan_replicas() - list a shard's replicas in the round's @replicas
 * @allow_repeat: servers that were asked for it may be asked again
 *
 * Return: number of replicas.
 */
int search_plan_replicas(struct search_round *round, int shard,
			 bool allow_repeat);

/**
 * search_plan_shard() - choose a server for a shard and assign it to a part
 */
void search_plan_shard(struct search_round *round, int index);

/**
 * search_plan_shards() - search_plan_shard() for each shard that is due
 */
void search_plan_shards(struct search_round *round);

/**
 * search_plan_assign() - assign a shard to the part of a given server
 */
void search_plan_assign(struct search_round *round, int index,
			const struct search_choice *choice);

/**
 * search_plan_failed() - handle a shard that no server can be asked for
 * @code: the reason; with ERR_SHED the shard waits until @when if the deadline
 *	  allows, else it is given up
 * @when: microseconds
 */
void search_plan_failed(struct search_round *round, int index, int code,
			int64_t when);

#endif
