/*
 * How long a message was held back on its way: by a link, or in the receiver's
 * socket. Found from the sender's clock, whose offset is not known, by the
 * quickest messages of the last minute or two. Does no I/O.
 */
#ifndef LINK_DELAY_H
#define LINK_DELAY_H

#include <stdbool.h>
#include <stdint.h>

#include "peak.h"

/**
 * struct link_delay - messages of one sender on one link
 * @started: a message was received
 * @quickest: greatest difference between @sent_at and @now of link_delay_add()
 */
struct link_delay {
	bool started;
	struct peak quickest;
};

/**
 * link_delay_add() - record a message
 * @sent_at: by the sender's clock, microseconds; 0: not known
 * @now: by the receiver's clock, microseconds
 *
 * Return: how much longer it took than the quickest lately, microseconds; 0 if
 * that is not known.
 */
int64_t link_delay_add(struct link_delay *delay, uint64_t sent_at, int64_t now);

#endif
