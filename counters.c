#include "counters.h"

void counters_init(struct counters *counters)
{
	metric_registry_init(&counters->registry);
#define COUNTER_INIT(member, kind, name, help)                                 \
	metric_init(&counters->member, &counters->registry, kind, name, help);
	COUNTER_LIST(COUNTER_INIT)
#undef COUNTER_INIT
}
