#include "resource_plan.h"

/* Shares of the memory, each in 32nds. */
#define SHARES 32
#define REQUESTS_SHARE 5
#define ANSWERS_READ_SHARE 8
#define ANSWERS_SENT_SHARE 5
#define UNREAD_SHARE 2
#define PAGES_SHARE 1
#define PEERS_SHARE 2
#define RELAYED_SHARE 2

/* Descriptors, where there is no limit. */
#define DESCRIPTORS_DEFAULT 4096
/* Divisors of the descriptors. */
#define CALLERS_DIVISOR 2
#define DIRECTORY_DIVISOR 16
#define PAGE_DIVISOR 64
#define STRANGERS_DIVISOR 16
/* So that a page answers beside a few idle connections, whatever the limit. */
#define CONNECTIONS_MIN 4

static size_t share_of(size_t memory_max, size_t share)
{
	return memory_max / SHARES * share;
}

void memory_plan_init(struct memory_plan *plan, size_t memory_max)
{
	plan->requests = share_of(memory_max, REQUESTS_SHARE);
	plan->answers_read = share_of(memory_max, ANSWERS_READ_SHARE);
	plan->answers_sent = share_of(memory_max, ANSWERS_SENT_SHARE);
	plan->unread = share_of(memory_max, UNREAD_SHARE);
	plan->pages = share_of(memory_max, PAGES_SHARE);
	plan->peers = share_of(memory_max, PEERS_SHARE);
	plan->relayed = share_of(memory_max, RELAYED_SHARE);
}

static int divide(int64_t descriptors_max, int divisor)
{
	int64_t n = descriptors_max / divisor;

	return n > CONNECTIONS_MIN ? (int)n : CONNECTIONS_MIN;
}

void descriptor_plan_init(struct descriptor_plan *plan, int64_t descriptors_max)
{
	if (!descriptors_max)
		descriptors_max = DESCRIPTORS_DEFAULT;
	plan->callers = divide(descriptors_max, CALLERS_DIVISOR);
	plan->directory = divide(descriptors_max, DIRECTORY_DIVISOR);
	plan->page = divide(descriptors_max, PAGE_DIVISOR);
	plan->strangers = divide(descriptors_max, STRANGERS_DIVISOR);
}
