#include "retry_fleet.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "mem.h"

#define STEP MSEC(5)
#define RETRY_WAIT_MAX MSEC(300)
#define START_TIME MSEC(1000000)

static void update_share(struct retry_fleet *fleet,
			 struct fleet_instance *instance)
{
	retry_share_update(&instance->share, &fleet->settings,
			   &instance->membership, fleet->now);
}

void retry_fleet_restart(struct retry_fleet *fleet, int i)
{
	struct fleet_instance *instance = &fleet->instances[i];
	int j;

	retry_share_init(&instance->share, fleet->now);
	instance->has_budget = false;
	update_share(fleet, instance);
	for (j = 0; j < fleet->n_waiting; j++) {
		if (fleet->waiting[j].instance == i)
			fleet->waiting[j].deadline = 0;
	}
}

void retry_fleet_init(struct retry_fleet *fleet, int n, double slack,
		      uint64_t seed)
{
	int i;

	memset(fleet, 0, sizeof(*fleet));
	rng_init(&fleet->rng, seed);
	fleet->settings = (struct retry_settings){.ratio = 0.2,
						  .slack = slack,
						  .window = MSEC(10000)};
	fleet->n = n;
	fleet->rate = 90;
	fleet->sends_max = 3;
	fleet->now = START_TIME;
	fleet->next_at = START_TIME;
	for (i = 0; i < n; i++) {
		fleet->instances[i].weight = 1;
		fleet->instances[i].membership =
			(struct retry_membership){.entries = n,
						  .members = n,
						  .is_entry = true};
		retry_fleet_restart(fleet, i);
	}
}

void retry_fleet_finish(struct retry_fleet *fleet)
{
	free(fleet->needed);
	free(fleet->extra);
	free(fleet->waiting);
}

void retry_fleet_set_membership(struct retry_fleet *fleet, int entries,
				int members)
{
	int i;

	for (i = 0; i < fleet->n; i++) {
		struct retry_membership *membership =
			&fleet->instances[i].membership;

		membership->entries = entries;
		membership->members = members;
		membership->is_entry = entries == members || i < entries;
		update_share(fleet, &fleet->instances[i]);
	}
}

static int pick_instance(struct retry_fleet *fleet)
{
	double sum = 0;
	double remaining;
	int i;

	for (i = 0; i < fleet->n; i++)
		sum += fleet->instances[i].weight;
	remaining = rng_uniform(&fleet->rng) * sum;
	for (i = 0; i < fleet->n - 1; i++) {
		remaining -= fleet->instances[i].weight;
		if (remaining < 0)
			break;
	}
	return i;
}

static void add_arrival(struct retry_fleet *fleet)
{
	MEM_GROW(fleet->extra, fleet->n_extra, fleet->cap_extra);
	fleet->extra[fleet->n_extra++] = fleet->now;
}

/* What a killed process has sent is received, too. */
void retry_fleet_hold(struct retry_fleet *fleet, bool held)
{
	int i;

	fleet->held = held;
	if (held)
		return;
	for (; fleet->n_held; fleet->n_held--)
		add_arrival(fleet);
	for (i = 0; i < fleet->n; i++)
		fleet->instances[i].budget.unread = 0;
}

/* Return: false if the budget is empty and the retry has to wait. */
static bool send_retries(struct retry_fleet *fleet, struct fleet_retry *retry)
{
	struct fleet_instance *instance = &fleet->instances[retry->instance];

	while (retry->sends_left > 0 && fleet->now <= retry->deadline) {
		if (!budget_take(&instance->budget, &instance->share.limit, 1,
				 fleet->now))
			return false;
		retry->sends_left--;
		if (fleet->held) {
			fleet->n_held++;
			instance->budget.unread++;
			continue;
		}
		add_arrival(fleet);
		if (rng_uniform(&fleet->rng) >= fleet->refuse_ratio)
			return true;
	}
	return true;
}

static void handle_request(struct retry_fleet *fleet)
{
	struct fleet_retry retry = {.instance = pick_instance(fleet),
				    .sends_left = fleet->sends_max - 1,
				    .deadline = fleet->now + RETRY_WAIT_MAX};
	struct fleet_instance *instance = &fleet->instances[retry.instance];
	const struct budget_limit *limit = &instance->share.limit;

	if (!instance->has_budget)
		budget_init(&instance->budget, limit, fleet->now);
	instance->has_budget = true;
	if (!fleet->held)
		budget_count_needed(&instance->budget, limit, 1, fleet->now);
	MEM_GROW(fleet->needed, fleet->n_needed, fleet->cap_needed);
	fleet->needed[fleet->n_needed++] = fleet->now;
	if (!fleet->held && rng_uniform(&fleet->rng) >= fleet->refuse_ratio)
		return;
	if (send_retries(fleet, &retry))
		return;
	MEM_GROW(fleet->waiting, fleet->n_waiting, fleet->cap_waiting);
	fleet->waiting[fleet->n_waiting++] = retry;
}

static void resume_waiting(struct retry_fleet *fleet)
{
	int kept = 0;
	int i;

	for (i = 0; i < fleet->n_waiting; i++) {
		struct fleet_retry *retry = &fleet->waiting[i];

		if (fleet->now > retry->deadline || send_retries(fleet, retry))
			continue;
		fleet->waiting[kept++] = *retry;
	}
	fleet->n_waiting = kept;
}

void retry_fleet_run(struct retry_fleet *fleet, int64_t usec)
{
	int64_t end = fleet->now + usec;
	int i;

	for (; fleet->now < end; fleet->now += STEP) {
		for (i = 0; i < fleet->n; i++)
			update_share(fleet, &fleet->instances[i]);
		resume_waiting(fleet);
		while (fleet->next_at <= fleet->now) {
			handle_request(fleet);
			fleet->next_at +=
				(int64_t)(-log(1 - rng_uniform(&fleet->rng)) *
					  USEC_PER_SEC / fleet->rate);
		}
	}
}

/* Return: index of the first of the sorted times that is not before @at. */
static int lower_bound(const int64_t *times, int n, int64_t at)
{
	int from = 0;

	while (from < n) {
		int middle = from + (n - from) / 2;

		if (times[middle] < at)
			from = middle + 1;
		else
			n = middle;
	}
	return from;
}

/* Return: number of the sorted times in [@from, @to). */
static int count_between(const int64_t *times, int n, int64_t from, int64_t to)
{
	return lower_bound(times, n, to) - lower_bound(times, n, from);
}

static int max_needed(const struct retry_fleet *fleet, int64_t from)
{
	static const double offsets[] = {0, 0.5, 1};
	int64_t window = fleet->settings.window;
	int most = 0;
	size_t i;

	for (i = 0; i < sizeof(offsets) / sizeof(offsets[0]); i++) {
		int64_t at = from - (int64_t)(offsets[i] * (double)window);
		int n = count_between(fleet->needed, fleet->n_needed, at,
				      at + window);

		if (n > most)
			most = n;
	}
	return most;
}

double retry_fleet_excess(const struct retry_fleet *fleet)
{
	double worst = -fleet->settings.slack;
	int i;

	for (i = 0; i < fleet->n_extra; i++) {
		int64_t from = fleet->extra[i];
		int n = count_between(fleet->extra, fleet->n_extra, from,
				      from + fleet->settings.window);
		double allowed =
			fleet->settings.ratio * max_needed(fleet, from) +
			fleet->settings.slack;

		if (n - allowed > worst)
			worst = n - allowed;
	}
	return worst;
}
