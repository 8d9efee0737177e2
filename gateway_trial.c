#define LOG_MODULE "request"
#include "gateway_trial.h"

#include <event2/event.h>
#include <event2/util.h>

#include "gateway_request_private.h"
#include "log.h"

/* An announcement reaches all instances within this time, also other regions.
 */
#define ANNOUNCE_TIME MSEC(15)
/* How long another suspect's trial takes isn't known. */
#define OTHER_TRIAL_CHECK_PERIOD MSEC(10)

static struct poison *poison_of(const struct gateway_request *request)
{
	return &request->gateway->fleet.board.poison;
}

static uint64_t draw_ticket(void)
{
	uint64_t ticket;

	evutil_secure_rng_get_bytes(&ticket, sizeof(ticket));
	return ticket ? ticket : 1;
}

void gateway_trial_begin(struct gateway_request *request)
{
	uint64_t service =
		poison_suspect_set(poison_of(request), request->fingerprint);
	uint64_t ticket = draw_ticket();

	if (!service)
		return;
	request->suspect = true;
	dispatch_begin_trial(&request->dispatch, service);
	if (poison_start_trial(poison_of(request), request->fingerprint,
			       request->dispatch.deadline, ticket))
		request->trial_ticket = ticket;
}

static void log_tried(const struct gateway_request *request)
{
	LOG_INFO("suspect_tried", LOG_STR("request", request->request.id),
		 LOG_U64("fingerprint", request->fingerprint));
}

bool gateway_trial_must_wait(const struct gateway_request *request)
{
	static const struct timeval time = {0, ANNOUNCE_TIME};

	if (!request->trial_ticket) {
		if (request->suspect)
			log_tried(request);
		return false;
	}
	evtimer_add(request->timer, &time);
	return true;
}

bool gateway_trial_is_waiting(const struct gateway_request *request)
{
	return request->trial_ticket;
}

bool gateway_trial_is_own(struct gateway_request *request)
{
	bool own = poison_owns_trial(poison_of(request), request->fingerprint,
				     request->trial_ticket);

	request->trial_ticket = 0;
	if (own)
		log_tried(request);
	return own;
}

static bool announce_second_trial(struct gateway_request *request)
{
	uint64_t ticket = draw_ticket();

	if (!poison_start_trial(poison_of(request), request->fingerprint,
				request->dispatch.deadline, ticket))
		return false;
	request->second_trial_ticket = ticket;
	request->second_trial_at =
		clock_now(&request->gateway->clock) + ANNOUNCE_TIME;
	return true;
}

int64_t gateway_trial_wait(struct gateway_request *request, uint64_t *service)
{
	const struct poison *poison = poison_of(request);
	uint64_t hash = request->fingerprint;
	int64_t now = clock_now(&request->gateway->clock);
	int64_t wait = poison_calm_wait(poison, hash);

	*service = poison_suspect_set(poison, hash);
	if (!*service ||
	    (!request->second_trial_ticket && !announce_second_trial(request)))
		return -1;
	if (!poison_owns_trial(poison, hash, request->second_trial_ticket))
		return -1;
	if (request->second_trial_at - now > wait)
		wait = request->second_trial_at - now;
	if (!wait &&
	    poison_waits_for_trial(poison, hash, request->second_trial_ticket))
		wait = OTHER_TRIAL_CHECK_PERIOD;
	if (!wait && !request->suspect) {
		request->suspect = true;
		log_tried(request);
	}
	return wait;
}

void gateway_trial_refuse(struct gateway_request *request)
{
	int64_t wait =
		poison_trial_wait(poison_of(request), request->fingerprint);

	metric_inc(&request->gateway->counters.refused);
	gateway_request_log(request, HTTP_STATUS_SERVICE_UNAVAILABLE);
	gateway_answer_error(request->conn, HTTP_STATUS_SERVICE_UNAVAILABLE,
			     msec_round_up(wait), "suspect_on_trial");
}
