#include "peak.h"

void peak_init(struct peak *peak, int64_t span, int64_t value, int64_t now)
{
	peak->span = span;
	peak->span_start = now;
	peak->current = value;
	peak->previous = value;
}

int64_t peak_add(struct peak *peak, int64_t value, int64_t now)
{
	if (now - peak->span_start >= peak->span) {
		/* No older value holds after a gap of more than a span. */
		peak->previous = now - peak->span_start < 2 * peak->span
					 ? peak->current
					 : value;
		peak->current = value;
		peak->span_start = now;
	}
	if (value > peak->current)
		peak->current = value;
	return peak->current > peak->previous ? peak->current : peak->previous;
}
