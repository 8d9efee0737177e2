/*
 * What the files of a search share; nobody else includes it.
 */
#ifndef SEARCH_INTERNAL_H
#define SEARCH_INTERNAL_H

#include "search.h"

static inline int64_t search_now(const struct search *search)
{
	return clock_now(search->searches->board->clock);
}

static inline struct catalog *search_catalog(const struct search *search)
{
	return &search->searches->board->catalog;
}

/* NULL once the service left the table. */
static inline const struct service *search_service(const struct search *search)
{
	const struct table *table = search->searches->board->table;
	int row = table_find_service(table, str_from(search->request.service));

	return row < 0 ? NULL : &table->services[row];
}

static inline void search_wake(struct search *search, int64_t at)
{
	if (at < search->wake_at)
		search->wake_at = at;
	if (at < search->searches->wake_at)
		search->searches->wake_at = at;
}

#endif
