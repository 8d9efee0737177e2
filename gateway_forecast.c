/* Logs of what is not sent because it would be answered too late. */
#define LOG_MODULE "request"
#include "gateway_request_private.h"

#include <stdio.h>

#include "forecast.h"
#include "log.h"

/* Services that a line names, the latest first. */
#define WORST_MAX 3

static const struct dispatch_part *part_of(const struct dispatch *dispatch,
					   const struct forecast_part *expected)
{
	return &dispatch->parts[expected->index];
}

static void log_refused(const struct gateway_request *request,
			const struct forecast *forecast)
{
	const struct dispatch *dispatch = &request->dispatch;
	const struct forecast_part *deciding = forecast->last_needed;
	int64_t told_at = deciding->reported_at;
	int64_t age = clock_now(dispatch->clock) - told_at;
	const struct dispatch_part *part = part_of(dispatch, deciding);

	LOG_INFO("forecast_refused", LOG_STR("request", request->request.id),
		 LOG_I64("parts", dispatch->n_parts),
		 LOG_I64("in_time", forecast->n_in_time),
		 LOG_I64("needed", forecast->needed),
		 LOG_I64("goal_left_us", forecast->goal),
		 LOG_TEXT("service", part->service->name),
		 LOG_I64("ahead_us", deciding->queue_wait),
		 LOG_I64("run_us", deciding->run_time),
		 LOG_I64("told_age_ms", told_at ? age / USEC_PER_MSEC : -1),
		 LOG_I64("lag_us", forecast->lag),
		 LOG_I64("promised", forecast->promised),
		 LOG_I64("room_in_us", forecast->capacity_in));
}

/* "SERVICE:MILLISECONDS" of the parts that are expected last. */
static void list_worst(const struct dispatch *dispatch,
		       const struct forecast *forecast, char *out, size_t size)
{
	size_t len = 0;
	int n = 0;
	int i;

	out[0] = '\0';
	for (i = forecast->n - 1; i >= 0 && n < WORST_MAX && len < size; i--) {
		const struct forecast_part *expected = &forecast->parts[i];

		if (!expected->left_out)
			continue;
		len += (size_t)snprintf(
			out + len, size - len, "%s%s:%lld", n++ ? " " : "",
			part_of(dispatch, expected)->service->name,
			(long long)(forecast_answer_time(expected) /
				    USEC_PER_MSEC));
	}
}

static void log_left_out(const struct gateway_request *request,
			 const struct forecast *forecast)
{
	const struct dispatch *dispatch = &request->dispatch;
	char worst[WORST_MAX * (REGISTRY_NAME_SIZE + 24)];

	list_worst(dispatch, forecast, worst, sizeof(worst));
	LOG_INFO("part_left_out", LOG_STR("request", request->request.id),
		 LOG_I64("left_out", forecast->n_left_out),
		 LOG_I64("parts", dispatch->n_parts),
		 LOG_I64("in_time", forecast->n_in_time),
		 LOG_I64("needed", forecast->needed),
		 LOG_I64("goal_left_us", forecast->goal),
		 LOG_I64("enough_in_us",
			 forecast_answer_time(forecast->last_needed)),
		 LOG_TEXT("worst", worst));
}

void gateway_report_forecast(void *arg, const struct forecast *forecast)
{
	const struct gateway_request *request = arg;
	struct gateway_stats *counters = &request->gateway->counters;

	if (forecast->refused) {
		metric_inc(&counters->foreseen);
		log_refused(request, forecast);
		return;
	}
	metric_add(&counters->parts_left_out, forecast->n_left_out);
	log_left_out(request, forecast);
}

void gateway_report_resend_left_out(void *arg, const struct dispatch_part *part,
				    const struct forecast_part *expected)
{
	const struct gateway_request *request = arg;
	const struct dispatch *dispatch = &request->dispatch;
	int64_t now = clock_now(dispatch->clock);

	metric_inc(&request->gateway->counters.kept_back);
	LOG_INFO("send_kept_back", LOG_STR("request", request->request.id),
		 LOG_TEXT("service", part->service->name),
		 LOG_I64("sends", part->n_sends),
		 LOG_I64("parts_in", dispatch->n_answered),
		 LOG_I64("ahead_us", expected->queue_wait),
		 LOG_I64("run_us", expected->run_time),
		 LOG_I64("goal_left_us", dispatch->soft_deadline - now));
}
