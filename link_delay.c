#include "link_delay.h"

#include "clock.h"

/* Clocks drift apart by some milliseconds in it. */
#define QUICKEST_SPAN MSEC(60000)
/* A monotonic clock does not get so far; a peer may send any number. */
#define SENT_AT_MAX (INT64_MAX / 4)

int64_t link_delay_add(struct link_delay *delay, uint64_t sent_at, int64_t now)
{
	int64_t difference;

	if (!sent_at || sent_at > SENT_AT_MAX)
		return 0;
	difference = (int64_t)sent_at - now;
	if (!delay->started)
		peak_init(&delay->quickest, QUICKEST_SPAN, difference, now);
	delay->started = true;
	return peak_add(&delay->quickest, difference, now) - difference;
}
