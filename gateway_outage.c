#define LOG_MODULE "outage"
#include "gateway_outage.h"

#include <stdlib.h>

#include "gateway.h"
#include "log.h"
#include "mem.h"

/* A connection check in flight. */
struct open_check {
	struct gateway *gateway;
	struct outage_server *check;
	struct registry_server *server;
};

void gateway_outage_arm_timer(struct gateway *gateway)
{
	wake_timer_move(&gateway->outage_timer, outage_due(&gateway->outage));
}

/*
 * Something before a server may accept connections in its place: if it is held
 * for crashed all the same, only its answer counts.
 */
static bool is_back(const struct registry_server *server,
		    enum crash_evidence evidence)
{
	return evidence == CRASH_EVIDENCE_LISTENS &&
	       !(server->down && registry_can_be_asked(server));
}

static void on_check_done(void *arg, enum crash_evidence evidence)
{
	struct open_check *open = arg;
	struct gateway *gateway = open->gateway;

	outage_check_done(&gateway->outage, open->check,
			  is_back(open->server, evidence));
	registry_server_unref(open->server);
	free(open);
	gateway_outage_arm_timer(gateway);
}

static void start_check(void *arg, struct registry_server *server,
			struct outage_server *check)
{
	struct gateway *gateway = arg;
	struct open_check *open = mem_zalloc(sizeof(*open));

	open->gateway = gateway;
	open->check = check;
	open->server = registry_server_ref(server);
	if (!upstream_check(&gateway->upstream, server, server->down,
			    on_check_done, open))
		return;
	outage_check_done(&gateway->outage, check, false);
	registry_server_unref(server);
	free(open);
}

static void log_reach_change(void *arg, const struct registry_server *server,
			     bool lost, int64_t lost_for)
{
	(void)arg;
	LOG_INFO("server_reach", LOG_TEXT("server", server->entry.id),
		 LOG_TEXT("service", server->entry.service),
		 LOG_I64("lost", lost),
		 LOG_I64("lost_for_ms", lost_for / USEC_PER_MSEC));
}

static const struct outage_ops ops = {
	.check = start_check,
	.changed = log_reach_change,
};

static void on_timer(void *arg)
{
	struct gateway *gateway = arg;

	outage_tick(&gateway->outage);
	gateway_outage_arm_timer(gateway);
}

void gateway_outage_init(struct gateway *gateway)
{
	outage_init(&gateway->outage, &gateway->clock, &ops, gateway);
	wake_timer_init(&gateway->outage_timer, gateway->base, &gateway->clock,
			on_timer, gateway);
	gateway->limits.outage = &gateway->outage;
}

void gateway_outage_finish(struct gateway *gateway)
{
	outage_finish(&gateway->outage);
	wake_timer_finish(&gateway->outage_timer);
}
