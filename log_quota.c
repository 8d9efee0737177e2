#include "log_quota.h"

#include "clock.h"

#define LINES_MAX 20
#define WINDOW MSEC(60000)

bool log_quota_take(struct log_quota *quota, int64_t now)
{
	if (now >= quota->until) {
		quota->until = now + WINDOW;
		quota->n = 0;
	}
	return quota->n++ < LINES_MAX;
}
