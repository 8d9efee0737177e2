/*
 * Hedged requests: the shards of a late part are requested from other servers.
 */
#ifndef SEARCH_HEDGE_H
#define SEARCH_HEDGE_H

#include "search.h"

/**
 * search_hedge_part() - hedge a part, as far as policy and budget allow
 * @index: of the late part
 * @late_notice: its home reported that it runs for too long
 */
void search_hedge_part(struct search *search, int index, bool late_notice);

#endif
