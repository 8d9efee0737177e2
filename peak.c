#include "peak.h"

void peak_init(struct peak *peak, int64_t span, int value, int64_t now)
{
	peak->span = span;
	peak->since = now;
	peak->current = value;
	peak->before = value;
}

int peak_add(struct peak *peak, int value, int64_t now)
{
	if (now - peak->since >= peak->span) {
		/* Nothing was said for more than a span: nothing older holds.
		 */
		peak->before = now - peak->since < 2 * peak->span
				       ? peak->current
				       : value;
		peak->current = value;
		peak->since = now;
	}
	if (value > peak->current)
		peak->current = value;
	return peak->current > peak->before ? peak->current : peak->before;
}
