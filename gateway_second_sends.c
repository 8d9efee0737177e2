#define LOG_MODULE "second_sends"
#include "gateway_second_sends.h"

#include <utlist.h>

#include "gateway.h"
#include "log.h"

static int64_t counter_delta(uint64_t now, uint64_t before)
{
	return (int64_t)(now - before);
}

/* Age of the oldest ended send that its server may still receive. */
static int64_t unread_age(const struct registry_service *service, int64_t now)
{
	const struct unread_send *send;
	int64_t age = 0;

	DL_FOREACH (service->unread_sends, send) {
		if (now - send->sent_at > age)
			age = now - send->sent_at;
	}
	return age;
}

static void log_window(const struct gateway *gateway,
		       const struct registry_service *service)
{
	const struct budget *budget = &service->budget;
	const struct budget *logged = &service->logged_budget;
	int64_t now = clock_now(&gateway->clock);
	int64_t age = now - gateway->second_sends_window_start;

	LOG_INFO("second_sends", LOG_TEXT("service", service->name),
		 LOG_I64("window_ms", age / USEC_PER_MSEC),
		 LOG_I64("needed",
			 counter_delta(budget->needed, logged->needed)),
		 LOG_I64("charged",
			 counter_delta(budget->spent, logged->spent)),
		 LOG_I64("uncharged",
			 counter_delta(budget->uncharged, logged->uncharged)),
		 LOG_I64("refused",
			 counter_delta(budget->refused, logged->refused)),
		 LOG_I64("refused_unread",
			 counter_delta(budget->refused_unread,
				       logged->refused_unread)),
		 LOG_I64("unread", budget->unread),
		 LOG_I64("unread_ms", unread_age(service, now) / USEC_PER_MSEC),
		 LOG_F64("budget", budget->tokens),
		 LOG_F64("budget_most",
			 budget_capacity(budget, &gateway->limits.budget)),
		 LOG_I64("entries", gateway->retry_share.divisor),
		 LOG_I64("uptime_ms",
			 (now - gateway->started_at) / USEC_PER_MSEC));
}

static bool has_second_sends(const struct registry_service *service)
{
	const struct budget *budget = &service->budget;
	const struct budget *logged = &service->logged_budget;

	return budget->spent != logged->spent ||
	       budget->uncharged != logged->uncharged ||
	       budget->refused != logged->refused || budget->unread;
}

static void arm(struct gateway *gateway)
{
	int64_t window =
		(int64_t)(gateway->settings->retry_window_s * USEC_PER_SEC);

	wake_timer_arm(&gateway->second_sends_timer,
		       clock_now(&gateway->clock) + window);
}

static void on_timer(void *arg)
{
	struct gateway *gateway = arg;
	struct registry_service *service = gateway->registry.services;
	int64_t now = clock_now(&gateway->clock);

	for (; service; service = service->hh.next) {
		unread_sends_expire(&service->unread_sends, now);
		if (has_second_sends(service))
			log_window(gateway, service);
		service->logged_budget = service->budget;
	}
	gateway->second_sends_window_start = now;
	arm(gateway);
}

void gateway_second_sends_init(struct gateway *gateway)
{
	wake_timer_init(&gateway->second_sends_timer, gateway->base,
			&gateway->clock, on_timer, gateway);
	gateway->second_sends_window_start = gateway->started_at;
	arm(gateway);
}

void gateway_second_sends_finish(struct gateway *gateway)
{
	wake_timer_finish(&gateway->second_sends_timer);
}

int64_t gateway_second_sends_refused(const struct gateway *gateway)
{
	const struct registry_service *service = gateway->registry.services;
	int64_t n = 0;

	for (; service; service = service->hh.next)
		n += (int64_t)service->budget.refused;
	return n;
}

int64_t gateway_second_sends_refused_unread(const struct gateway *gateway)
{
	const struct registry_service *service = gateway->registry.services;
	int64_t n = 0;

	for (; service; service = service->hh.next)
		n += (int64_t)service->budget.refused_unread;
	return n;
}

int64_t gateway_second_sends_unread(const struct gateway *gateway)
{
	const struct registry_service *service = gateway->registry.services;
	int64_t n = 0;

	for (; service; service = service->hh.next)
		n += service->budget.unread;
	return n;
}
