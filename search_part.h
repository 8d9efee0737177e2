/*
 * State changes of a search's shards and parts: completion, failure, retry and
 * cancellation.
 */
#ifndef SEARCH_PART_H
#define SEARCH_PART_H

#include "search.h"

/**
 * search_shard_is_due() - whether a shard must be requested now
 */
bool search_shard_is_due(const struct search *search, int shard);

/**
 * search_shard_give_up() - mark a shard as missing
 * @code: the reason
 */
void search_shard_give_up(struct search *search, int shard, int code);

/**
 * search_shard_give_up_open() - give up all shards without an answer
 */
void search_shard_give_up_open(struct search *search, int code);

/**
 * search_part_end() - record the result of a part, once for each part sent
 */
void search_part_end(struct search *search, struct search_part *part,
		     const struct observe_result *result);

/**
 * search_part_cancel() - end a part and send a cancellation to its home
 * @code: recorded as its result
 */
void search_part_cancel(struct search *search, int index, int code);

/**
 * search_part_cancel_open() - cancel all parts in flight
 */
void search_part_cancel_open(struct search *search);

/**
 * search_part_failed() - handle a failed part
 *
 * Its shards that are not in flight elsewhere are requested again, wait for the
 * retry budget, or are given up.
 */
void search_part_failed(struct search *search, int index,
			const struct observe_result *result);

/**
 * search_part_is_held() - whether a home kept a suspect from its server, for
 * the time in the result's @retry_after_us
 */
bool search_part_is_held(const struct observe_result *result);

/**
 * search_part_lost() - as search_part_failed(), without a result from its home
 */
void search_part_lost(struct search *search, int index, int code);

/**
 * search_part_supersede() - cancel a part that another of the same search
 * replaces
 *
 * Its other shards are requested again.
 */
void search_part_supersede(struct search *search, int index, int code);

/**
 * search_part_retry() - ask the retry budget for the waiting shards of a
 *			 failed part
 */
void search_part_retry(struct search *search, int index);

/**
 * search_part_attempts() - highest number of attempts of any shard of a part
 */
int search_part_attempts(const struct search *search,
			 const struct search_part *part);

#endif
