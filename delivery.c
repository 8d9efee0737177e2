#define LOG_MODULE "delivery"
#include "delivery.h"

#include <stdlib.h>

#include <utlist.h>

#include "budget.h"
#include "clock.h"
#include "error.h"
#include "log.h"
#include "mem.h"
#include "registry.h"

/* A server that stands still for longer has most likely ended. */
#define UNREAD_AGE_MAX MSEC(60000)
/* The same if its entry is gone, most often because it has ended. */
#define UNREAD_AGE_MAX_GONE MSEC(20000)

/* Between two questions to a server; doubled with each one in a row. */
#define ASK_INTERVAL_MIN MSEC(250)
#define ASK_DOUBLINGS_MAX 5

enum delivery_outcome delivery_outcome_of(int code, bool not_run)
{
	switch (code) {
	case 0:
	case ERR_SHED:
	case ERR_FOREIGN:
	case ERR_LOST:
	case ERR_PROTOCOL:
		return DELIVERY_RECEIVED;
	default:
		return not_run ? DELIVERY_UNSENT : DELIVERY_UNKNOWN;
	}
}

int delivery_unread(int n_pending, bool received)
{
	int n = received ? n_pending : n_pending - 1;

	return n > 0 ? n : 0;
}

static void update(struct delivery *delivery)
{
	int n = delivery_unread(delivery->n_pending, delivery->received);

	delivery->budget->unread += n - delivery->n_unread;
	delivery->n_unread = n;
}

struct delivery *delivery_new(struct budget *budget, bool received)
{
	struct delivery *delivery = mem_zalloc(sizeof(*delivery));

	delivery->budget = budget;
	delivery->received = received;
	return delivery_add(delivery);
}

struct delivery *delivery_add(struct delivery *delivery)
{
	if (!delivery)
		return NULL;
	delivery->n_pending++;
	update(delivery);
	return delivery;
}

void delivery_end(struct delivery *delivery, bool received)
{
	if (!delivery)
		return;
	delivery->n_pending--;
	delivery->received |= received;
	update(delivery);
	if (!delivery->n_pending)
		free(delivery);
}

void unread_sends_end(struct registry_server *server, struct delivery *delivery,
		      enum delivery_outcome end, int64_t sent_at, int64_t now)
{
	struct unread_send *send;

	if (!delivery || end != DELIVERY_UNKNOWN) {
		delivery_end(delivery, end == DELIVERY_RECEIVED);
		return;
	}
	send = mem_zalloc(sizeof(*send));
	send->server = registry_server_ref(server);
	send->delivery = delivery;
	send->sent_at = sent_at;
	send->ended_at = now;
	DL_APPEND(server->service->unread_sends, send);
}

static void end_unread(struct unread_send **sends, struct unread_send *send,
		       bool received)
{
	DL_DELETE(*sends, send);
	delivery_end(send->delivery, received);
	registry_server_unref(send->server);
	free(send);
}

static void log_end(const struct unread_send *send, const char *why,
		    int64_t now)
{
	LOG_INFO("unread_send_ended",
		 LOG_TEXT("server", send->server->entry.id),
		 LOG_TEXT("service", send->server->service->name),
		 LOG_TEXT("why", why),
		 LOG_I64("age_ms", (now - send->sent_at) / USEC_PER_MSEC),
		 LOG_I64("unread", send->delivery->budget->unread));
}

void unread_sends_answered(struct registry_server *server, int64_t sent_at,
			   int64_t now)
{
	struct unread_send **sends = &server->service->unread_sends;
	struct unread_send *send;
	struct unread_send *next;

	server->unread_ask.n = 0;
	DL_FOREACH_SAFE (*sends, send, next) {
		if (send->server != server || sent_at < send->ended_at)
			continue;
		log_end(send, "answered", now);
		end_unread(sends, send, true);
	}
}

static bool may_ask(const struct unread_ask *ask, int64_t now)
{
	int shift = ask->n < ASK_DOUBLINGS_MAX ? ask->n : ASK_DOUBLINGS_MAX;

	return !ask->n || now - ask->at >= ASK_INTERVAL_MIN << shift;
}

struct registry_server *unread_sends_to_ask(struct unread_send *sends,
					    int64_t now)
{
	struct unread_send *send;

	DL_FOREACH (sends, send) {
		struct unread_ask *ask = &send->server->unread_ask;

		if (!may_ask(ask, now))
			continue;
		ask->at = now;
		ask->n++;
		return send->server;
	}
	return NULL;
}

void unread_sends_expire(struct unread_send **sends, int64_t now)
{
	struct unread_send *send;
	struct unread_send *next;

	DL_FOREACH_SAFE (*sends, send, next) {
		int64_t age_max = send->server->gone ? UNREAD_AGE_MAX_GONE
						     : UNREAD_AGE_MAX;

		if (now - send->sent_at < age_max)
			continue;
		log_end(send, "expired", now);
		end_unread(sends, send, false);
	}
}

void unread_sends_drop(struct unread_send **sends,
		       const struct registry_server *server)
{
	struct unread_send *send;
	struct unread_send *next;

	DL_FOREACH_SAFE (*sends, send, next) {
		if (!server || send->server == server)
			end_unread(sends, send, false);
	}
}
