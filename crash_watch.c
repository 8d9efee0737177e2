#define LOG_MODULE "crash_watch"
#include "crash_watch.h"

#include <stdlib.h>

#include "log.h"
#include "mem.h"

struct crash_watch *crash_watch_new(struct poison *poison,
				    struct upstream *upstream,
				    struct registry_server *server,
				    uint64_t fingerprint)
{
	struct crash_watch *watch = mem_zalloc(sizeof(*watch));
	char life[REGISTRY_INCARNATION_SIZE];
	struct str name = registry_incarnation(server, life);

	if (poison_begin(poison, &watch->run, fingerprint, name, name, false,
			 INT64_MAX)) {
		free(watch);
		return NULL;
	}
	watch->poison = poison;
	watch->upstream = upstream;
	watch->server = registry_server_ref(server);
	return watch;
}

static void free_watch(struct crash_watch *watch)
{
	poison_end(watch->poison, &watch->run, false);
	registry_server_unref(watch->server);
	free(watch);
}

static void on_server_checked(void *arg, enum crash_evidence evidence)
{
	struct crash_watch *watch = arg;
	char life[REGISTRY_INCARNATION_SIZE];
	struct str name = registry_incarnation(watch->server, life);

	LOG_INFO("lost_run_judged", LOG_STR("server", name),
		 LOG_U64("fingerprint", watch->run.hash),
		 LOG_TEXT("evidence", crash_evidence_name(evidence)),
		 LOG_I64("crashed", crash_evidence_is_crash(evidence)));
	/* Another watch may have reported this crash already. */
	if (crash_evidence_is_crash(evidence) && watch->run.server) {
		LOG_WARN("server_crashed", LOG_STR("server", name),
			 LOG_U64("fingerprint", watch->run.hash),
			 LOG_TEXT("evidence", crash_evidence_name(evidence)));
		poison_server_lost(watch->poison, name);
	}
	free_watch(watch);
}

void crash_watch_end(struct crash_watch *watch, bool broke)
{
	if (!broke || !watch->run.server) {
		free_watch(watch);
		return;
	}
	if (upstream_check(watch->upstream, watch->server, on_server_checked,
			   watch))
		on_server_checked(watch, CRASH_EVIDENCE_UNKNOWN);
}
