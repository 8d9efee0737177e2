/* Which server a part is sent to, and whether it may be sent once more. */
#include "dispatch_private.h"

#include <string.h>

#include "dispatch_forecast.h"
#include "error.h"

bool dispatch_part_in_flight(const struct dispatch_part *part)
{
	int i;

	for (i = 0; i < part->n_sends; i++) {
		if (part->sends[i].state == SEND_IN_FLIGHT)
			return true;
	}
	return false;
}

struct dispatch_send *
dispatch_part_queued_send(const struct dispatch_part *part)
{
	const struct dispatch *dispatch = part->dispatch;
	int i;

	if (!dispatch->ops->is_queued)
		return NULL;
	for (i = 0; i < part->n_sends; i++) {
		const struct dispatch_send *send = &part->sends[i];

		if (send->state == SEND_IN_FLIGHT &&
		    dispatch->ops->is_queued(dispatch->arg, send))
			return (struct dispatch_send *)send;
	}
	return NULL;
}

/* Servers that a part is not sent to again. */
struct tried_servers {
	struct registry_server *servers[DISPATCH_SENDS_MAX];
	int n;
};

static bool is_available_again(const struct dispatch_send *send, int64_t now)
{
	return send->busy_until && now >= send->busy_until;
}

static void collect_tried(const struct dispatch_part *part,
			  struct tried_servers *tried)
{
	int64_t now = clock_now(part->dispatch->clock);
	int i;

	tried->n = 0;
	for (i = 0; i < part->n_sends; i++) {
		if (!is_available_again(&part->sends[i], now))
			tried->servers[tried->n++] = part->sends[i].server;
	}
}

/* Whether a tried server may have a free connection or slot later. */
static bool has_busy_server(const struct dispatch_part *part)
{
	int i;

	for (i = 0; i < part->n_sends; i++) {
		if (part->sends[i].busy_until)
			return true;
	}
	return false;
}

/*
 * Returns an entry for another send, or NULL. Entries of busy servers are
 * reused, so that a long shortage of connections does not use up all of them.
 */
static struct dispatch_send *unused_send(struct dispatch_part *part)
{
	int64_t now = clock_now(part->dispatch->clock);
	int i;

	for (i = 0; i < part->n_sends; i++) {
		if (is_available_again(&part->sends[i], now))
			return &part->sends[i];
	}
	return part->n_sends < DISPATCH_SENDS_MAX ? &part->sends[i] : NULL;
}

static struct registry_server *pick_untried(const struct dispatch_part *part,
					    const struct tried_servers *tried,
					    bool preferred_only)
{
	const struct dispatch *dispatch = part->dispatch;
	int64_t now = clock_now(dispatch->clock);
	const struct registry_criteria choice = {
		.tried = tried->servers,
		.n_tried = tried->n,
		.exclude_avoided = preferred_only,
		.regions = &dispatch->route->regions,
		.relayed = dispatch->route->sharded,
		.level = server_estimate_level(dispatch->route->priority),
		.salt = (uint64_t)now + (uint64_t)(part - dispatch->parts),
	};

	return registry_pick(part->service, &choice, now);
}

struct registry_server *dispatch_part_pick(const struct dispatch_part *part,
					   bool preferred_only)
{
	struct tried_servers tried;

	collect_tried(part, &tried);
	return pick_untried(part, &tried, preferred_only);
}

bool dispatch_part_has_spare_server(const struct dispatch_part *part)
{
	struct registry_server *next;
	struct tried_servers tried;

	collect_tried(part, &tried);
	next = pick_untried(part, &tried, false);
	if (!next || tried.n == DISPATCH_SENDS_MAX)
		return false;
	tried.servers[tried.n++] = next;
	return pick_untried(part, &tried, false);
}

/* Return: 0 if the part was sent to the server; or an error. */
static int send_to(struct dispatch_part *part, struct registry_server *server,
		   const char *why)
{
	struct dispatch *dispatch = part->dispatch;
	struct dispatch_send *send = unused_send(part);
	const struct dispatch_send before = *send;
	int64_t now = clock_now(dispatch->clock);
	int ret;

	memset(send, 0, sizeof(*send));
	send->part = part;
	send->server = server;
	send->state = SEND_IN_FLIGHT;
	send->sent_at = now;
	send->why = why;
	send->charged = part->n_delivered > 0;
	ret = dispatch->ops->send(dispatch->arg, send, dispatch->deadline);
	if (ret) {
		*send = before;
		part->code = ret;
		return ret;
	}
	registry_server_ref(server);
	if (before.server)
		registry_server_unref(before.server);
	else
		part->n_sends++;
	part->n_maybe_run++;
	part->n_delivered++;
	dispatch_part_count_unread(part);
	dispatch->n_sends++;
	part->hedge_at = now + dispatch_hedge_delay(dispatch);
	dispatch_forecast_add_sent(send);
	if (dispatch->ops->sent)
		dispatch->ops->sent(dispatch->arg, send);
	return 0;
}

bool dispatch_is_temporary(const struct dispatch *dispatch, int code)
{
	if (code == ERR_COLD || code == ERR_OVERLOAD)
		return dispatch->route->sharded;
	return code == ERR_BUDGET;
}

int dispatch_part_send(struct dispatch_part *part, const char *why,
		       bool preferred_only)
{
	struct registry_server *server;
	int ret = ERR_NO_REPLICA;
	struct tried_servers tried;

	if (!unused_send(part))
		return ERR_NO_REPLICA;
	if (clock_now(part->dispatch->clock) >= part->dispatch->send_by) {
		part->code = ERR_LEAVING;
		return ERR_NO_REPLICA;
	}
	collect_tried(part, &tried);
	while (tried.n < DISPATCH_SENDS_MAX) {
		server = pick_untried(part, &tried, preferred_only);
		if (!server)
			break;
		tried.servers[tried.n++] = server;
		if (!send_to(part, server, why))
			return 0;
		if (dispatch_is_temporary(part->dispatch, part->code))
			ret = ERR_BUDGET;
	}
	if (!part->n_sends && ret == ERR_NO_REPLICA && !part->code)
		part->code = ERR_NO_REPLICA;
	return ret;
}

int dispatch_part_send_first(struct dispatch_part *part)
{
	part->service->budget.needed++;
	return dispatch_part_send(part, "first", false);
}

/*
 * A part that never reached a server needs no token. Hedges leave half of the
 * budget to retries: they only save time, while without a retry a part is lost.
 */
static bool take_budget_token(struct dispatch_part *part, bool hedge)
{
	struct dispatch *dispatch = part->dispatch;
	const struct budget_limit *limit = &dispatch->limits->budget;
	struct budget *budget = &part->service->budget;
	int64_t now = clock_now(dispatch->clock);

	if (!part->n_delivered)
		return true;
	if (hedge && !budget_is_half_full(budget, limit, now))
		budget->refused++;
	else if (budget_take(budget, limit, 1, now))
		return true;
	if (!budget->unread)
		return false;
	budget->refused_unread++;
	if (dispatch->ops->unread)
		dispatch->ops->unread(dispatch->arg, part->service);
	return false;
}

int dispatch_part_send_again(struct dispatch_part *part, const char *why,
			     bool hedge)
{
	struct dispatch *dispatch = part->dispatch;
	bool was_delivered = part->n_delivered;
	struct tried_servers tried;
	int ret;

	collect_tried(part, &tried);
	if (part->n_maybe_run >= dispatch_servers_max(dispatch) ||
	    !unused_send(part))
		return ERR_NO_REPLICA;
	if (!pick_untried(part, &tried, hedge))
		return has_busy_server(part) ? ERR_BUDGET : ERR_NO_REPLICA;
	if (!dispatch_is_worth_sending(part, hedge))
		return ERR_NO_REPLICA;
	if (!take_budget_token(part, hedge))
		return ERR_BUDGET;
	ret = dispatch_part_send(part, why, hedge);
	if (!ret) {
		dispatch->n_extra++;
		part->service->budget.uncharged += !was_delivered;
	} else if (was_delivered) {
		budget_refund(&part->service->budget);
	}
	return ret;
}

int dispatch_part_move(struct dispatch_part *part, struct dispatch_send *queued)
{
	struct dispatch *dispatch = part->dispatch;
	bool was_delivered;
	int ret;

	/* It has not run, so the new send replaces it. */
	part->n_maybe_run--;
	part->n_delivered--;
	was_delivered = part->n_delivered;
	ret = dispatch_part_send_again(part, "moved", true);
	if (ret) {
		part->n_maybe_run++;
		part->n_delivered++;
		return ret;
	}
	dispatch->n_extra--;
	if (!was_delivered)
		part->service->budget.uncharged--;
	queued->state = SEND_ENDED;
	dispatch->ops->abandon(dispatch->arg, queued);
	return 0;
}
