#include "gateway_stats.h"

void gateway_stats_init(struct gateway_stats *stats)
{
	metric_registry_init(&stats->registry);
#define STATS_INIT(field, kind, name, help)                                    \
	metric_init(&stats->field, &stats->registry, kind, name, help);
	GATEWAY_STATS_LIST(STATS_INIT)
#undef STATS_INIT
}
