#include "loop.h"

#include <event2/event.h>

/* Longest time for which requests are handled before a look for other events.
 */
#define REQUESTS_SLICE_US 20000

struct event_base *loop_new(void)
{
	static const struct timeval slice = {0, REQUESTS_SLICE_US};
	struct event_config *config = event_config_new();
	struct event_base *base;

	if (!config)
		return NULL;
	event_config_set_max_dispatch_interval(config, &slice, -1,
					       LOOP_REQUESTS);
	base = event_base_new_with_config(config);
	event_config_free(config);
	if (base)
		event_base_priority_init(base, LOOP_PRIORITIES);
	return base;
}

void loop_free(struct event_base *base)
{
	int i;

	/* A turn handles the events of one priority. */
	for (i = 0; i < LOOP_PRIORITIES; i++)
		event_base_loop(base, EVLOOP_NONBLOCK);
	event_base_free(base);
}
