/* Limits how often a line is logged that callers or servers can provoke. */
#ifndef LOG_QUOTA_H
#define LOG_QUOTA_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct log_quota - lines of the present window; all zero: none yet
 * @until: end of the window, microseconds
 * @n: lines in it
 */
struct log_quota {
	int64_t until;
	int n;
};

/**
 * log_quota_take() - whether another line may be logged now
 * @now: microseconds
 */
bool log_quota_take(struct log_quota *quota, int64_t now);

#endif
