/*
 * Handling of the results that homes send for the parts of a search.
 */
#ifndef SEARCH_RESULT_H
#define SEARCH_RESULT_H

#include "search.h"

/**
 * search_result_handle() - handle the result of one part
 * @result: borrowed
 *
 * The caller must then send requests for the shards that are due.
 */
void search_result_handle(struct search *search, struct str home,
			  const Peer__ServerResult *result);

#endif
