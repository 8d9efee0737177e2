#include "observe.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "error.h"
#include "mem.h"

/* Smoothing of latency: the weight of a new sample. */
#define MEAN_GAIN 0.125f
#define DEVIATION_GAIN 0.25f
/* A single straggler says little of its server: samples are cut there. */
#define DEVIATIONS_MAX 4.0f
/* Samples for which a server's own quantile counts as much as the service's. */
#define LEAN_SAMPLES 16.0
/* Counts fade so much quicker: a server that is well again is used again. */
#define COUNTS_FADE 4
/* Those of a whole service: it is soon clear that all of it is gone. */
#define SERVICE_FADE 16
/* What a home said of its load says nothing any more after this. */
#define LOAD_AGE_MAX_US 1000000
#define BACK_OFF_DEFAULT_US MSEC(50)
#define BACK_OFF_DOUBLINGS_MAX 6

_Static_assert(sizeof(struct observe_server) <= OBSERVE_SERVER_BYTES,
	       "a server's observations outgrew their bound");

static int64_t half_life(const struct observe *observe)
{
	return MSEC(observe->tunables.observe_half_life_ms);
}

void observe_init(struct observe *observe, const struct clock *clock)
{
	memset(observe, 0, sizeof(*observe));
	observe->clock = clock;
	option_set_defaults(tunable_rows, n_tunable_rows, &observe->tunables);
}

static void leave_group(struct observe *observe, struct observe_server *server)
{
	struct observe_group *group = server->group;
	int i;

	for (i = 0; group->servers[i] != server; i++)
		;
	group->servers[i] = group->servers[--group->n];
	server->group = NULL;
	if (group->n)
		return;
	HASH_DEL(observe->groups, group);
	free(group->servers);
	free(group);
}

static void forget_server(struct observe *observe,
			  struct observe_server *server)
{
	leave_group(observe, server);
	server->service->n_servers--;
	if (server->ejected_until)
		server->service->n_ejected--;
	HASH_DEL(observe->servers, server);
	free(server);
}

void observe_finish(struct observe *observe)
{
	struct observe_server *server;
	struct observe_server *next;
	struct observe_service *service;
	struct observe_service *next_service;

	HASH_ITER (hh, observe->servers, server, next) {
		forget_server(observe, server);
	}
	HASH_ITER (hh, observe->services, service, next_service) {
		HASH_DEL(observe->services, service);
		free(service);
	}
}

static struct observe_service *find_service(const struct observe *observe,
					    uint64_t hash)
{
	struct observe_service *service;

	HASH_FIND(hh, observe->services, &hash, sizeof(hash), service);
	return service;
}

static struct observe_server *find_server(const struct observe *observe,
					  uint64_t hash)
{
	struct observe_server *server;

	HASH_FIND(hh, observe->servers, &hash, sizeof(hash), server);
	return server;
}

struct observe_server *observe_server(const struct observe *observe,
				      struct str name)
{
	return find_server(observe, str_hash(name));
}

struct observe_service *observe_service(const struct observe *observe,
					struct str name)
{
	return find_service(observe, str_hash(name));
}

static struct observe_service *put_service(struct observe *observe,
					   const struct service *row)
{
	uint64_t hash = str_hash(str_from(row->name));
	struct observe_service *service = find_service(observe, hash);
	int64_t now = clock_now(observe->clock);
	double burst = (double)observe->tunables.extra_burst;

	if (service)
		return service;
	service = mem_zalloc(sizeof(*service));
	service->hash = hash;
	budget_init(&service->hedges,
		    &(struct budget_limit){row->hedge_extra, burst, 0}, now);
	budget_init(&service->retries,
		    &(struct budget_limit){row->retry_extra, burst, burst},
		    now);
	HASH_ADD(hh, observe->services, hash, sizeof(hash), service);
	return service;
}

static struct observe_group *put_group(struct observe *observe, uint64_t hash)
{
	struct observe_group *group;

	HASH_FIND(hh, observe->groups, &hash, sizeof(hash), group);
	if (group)
		return group;
	group = mem_zalloc(sizeof(*group));
	group->hash = hash;
	HASH_ADD(hh, observe->groups, hash, sizeof(hash), group);
	return group;
}

static void join_group(struct observe *observe, struct observe_server *server,
		       uint64_t hash)
{
	struct observe_group *group = put_group(observe, hash);

	MEM_GROW(group->servers, group->n, group->cap);
	group->servers[group->n++] = server;
	server->group = group;
}

static struct observe_server *add_server(struct observe *observe,
					 const struct backend_server *row,
					 struct observe_service *service)
{
	struct observe_server *server = mem_zalloc(sizeof(*server));

	server->hash = row->hash;
	str_copy(server->name, sizeof(server->name), str_from(row->name));
	server->service = service;
	server->health = 1;
	server->slow_start_at = clock_now(observe->clock);
	server->counted_at = server->slow_start_at;
	service->n_servers++;
	HASH_ADD(hh, observe->servers, hash, sizeof(server->hash), server);
	return server;
}

static void put_server(struct observe *observe, const struct table *table,
		       const struct backend_server *row)
{
	const struct service *service_row =
		&table->services[row->service_index];
	struct observe_service *service = put_service(observe, service_row);
	struct observe_server *server = find_server(observe, row->hash);
	uint64_t group = str_hash_mix(service->hash,
				      str_hash(str_from(row->replica_set)));

	if (!server)
		server = add_server(observe, row, service);
	if (server->service != service) {
		server->service->n_servers--;
		server->service->n_ejected -= server->ejected_until != 0;
		service->n_servers++;
		service->n_ejected += server->ejected_until != 0;
		server->service = service;
	}
	if (server->group && server->group->hash != group)
		leave_group(observe, server);
	if (!server->group)
		join_group(observe, server, group);
	server->table_weight = row->weight;
	server->table_slots = row->slots;
	server->listed = true;
}

static void forget_unlisted(struct observe *observe)
{
	struct observe_server *server;
	struct observe_server *next;

	HASH_ITER (hh, observe->servers, server, next) {
		if (!server->listed && !server->in_flight)
			forget_server(observe, server);
	}
}

void observe_set_table(struct observe *observe, const struct table *table)
{
	struct observe_server *server;
	struct observe_server *next;
	int i;

	observe->tunables = table->tunables;
	HASH_ITER (hh, observe->servers, server, next) {
		server->listed = false;
	}
	for (i = 0; i < table->n_servers; i++)
		put_server(observe, table, &table->servers[i]);
	forget_unlisted(observe);
}

/* The least used slot goes to a new home. */
struct observe_home *observe_home(struct observe_server *server,
				  uint64_t instance)
{
	struct observe_home *least = &server->homes[0];
	int i;

	for (i = 0; i < OBSERVE_HOMES_MAX; i++) {
		struct observe_home *home = &server->homes[i];

		if (home->hash == instance)
			return home;
		if (home->in_flight < least->in_flight ||
		    (home->in_flight == least->in_flight &&
		     home->load_at < least->load_at))
			least = home;
	}
	memset(least, 0, sizeof(*least));
	least->hash = instance;
	return least;
}

static float fading(const struct observe *observe, int64_t since, double times)
{
	int64_t age = clock_now(observe->clock) - since;

	return (float)exp2(-(double)age / (double)half_life(observe) * times);
}

static void count_service(const struct observe *observe,
			  struct observe_service *service,
			  enum observe_outcome outcome)
{
	float factor = fading(observe, service->counted_at, SERVICE_FADE);

	service->accepts *= factor;
	service->rejects *= factor;
	service->counted_at = clock_now(observe->clock);
	if (outcome == OBSERVE_ANSWERED)
		service->accepts += 1;
	if (outcome == OBSERVE_REFUSED || outcome == OBSERVE_FAILED)
		service->rejects += 1;
}

static void fade_counts(const struct observe *observe,
			struct observe_server *server)
{
	int64_t now = clock_now(observe->clock);
	float factor = fading(observe, server->counted_at, COUNTS_FADE);

	server->requests *= factor;
	server->accepts *= factor;
	server->refusals *= factor;
	server->failures *= factor;
	server->counted_at = now;
}

void observe_sent(struct observe *observe, struct observe_server *server,
		  uint64_t instance)
{
	fade_counts(observe, server);
	server->requests += 1;
	server->in_flight++;
	observe_home(server, instance)->in_flight++;
}

void observe_mark_late(struct observe_server *server)
{
	server->late++;
}

enum observe_outcome observe_outcome_of(int code, bool sent)
{
	switch (code) {
	case ERR_NONE:
		return OBSERVE_ANSWERED;
	case ERR_SHED:
	case ERR_DRAINING:
		return OBSERVE_REFUSED;
	case ERR_NO_SLOT:
		/* Of the server itself: 429. */
		return sent ? OBSERVE_REFUSED : OBSERVE_NOT_ASKED;
	case ERR_WRONG_VERSION:
	case ERR_NOT_HELD:
		return OBSERVE_NOT_HELD;
	case ERR_CANCELLED:
	case ERR_TOO_LATE:
		return OBSERVE_NO_WORD;
	case ERR_SILENT:
		return OBSERVE_SILENT;
	case ERR_CONNECT:
	case ERR_LOST:
	case ERR_IO:
	case ERR_SYSTEM:
	case ERR_PROTOCOL:
	case ERR_FOREIGN:
	case ERR_TOO_LARGE:
		return OBSERVE_FAILED;
	default:
		return OBSERVE_NOT_ASKED;
	}
}

static void add_mean(const struct observe *observe,
		     struct observe_server *server, float usec, int64_t now)
{
	float distance;
	float most;

	if (!server->sampled_at) {
		server->mean_us = usec;
		server->deviation_us = usec / 2;
		server->sampled_at = now;
		return;
	}
	/* What faded since the last sample is gone for good. */
	server->mean_us = (float)observe_mean(observe, server);
	most = server->mean_us + DEVIATIONS_MAX * server->deviation_us;
	if (usec > most)
		usec = most;
	distance = fabsf(usec - server->mean_us);
	server->deviation_us +=
		DEVIATION_GAIN * (distance - server->deviation_us);
	server->mean_us += MEAN_GAIN * (usec - server->mean_us);
	server->sampled_at = now;
}

static void add_elapsed(struct observe *observe, struct observe_server *server,
			int64_t elapsed, int64_t now)
{
	sketch_add(&server->sketch, elapsed, now, half_life(observe));
	sketch_add(&server->service->sketch, elapsed, now, half_life(observe));
}

static void on_answered(struct observe *observe, struct observe_server *server,
			const struct observe_result *result, int64_t now)
{
	server->accepts += 1;
	server->failures_in_row = 0;
	server->refusals_in_row = 0;
	server->silences_in_row = 0;
	server->answered_at = now;
	server->back_off_until = 0;
	add_mean(observe, server,
		 (float)(result->latency_us ? result->latency_us
					    : result->elapsed_us),
		 now);
	add_elapsed(observe, server, result->elapsed_us, now);
}

/*
 * A server that sheds is left alone for as long as it asked, and for twice as
 * long with each shed in a row: instances that all came back at once would
 * keep it shedding. Refusals are no latency samples: a server that refuses at
 * once would look like the quickest and draw all the traffic.
 */
static void on_refused(struct observe *observe, struct observe_server *server,
		       const struct observe_result *result, int64_t now)
{
	int64_t most = MSEC(observe->tunables.back_off_max_ms);
	int64_t wait = result->retry_after_us ? result->retry_after_us
					      : BACK_OFF_DEFAULT_US;
	uint32_t doublings = server->refusals_in_row;

	server->refusals += 1;
	/* Requests sent together are refused together: that is one refusal. */
	if (now < server->back_off_until)
		return;
	if (doublings > BACK_OFF_DOUBLINGS_MAX)
		doublings = BACK_OFF_DOUBLINGS_MAX;
	wait <<= doublings;
	server->refusals_in_row++;
	server->back_off_until = now + (wait < most ? wait : most);
}

static void on_failed(struct observe_server *server)
{
	server->failures += 1;
	server->failures_in_row++;
}

/*
 * A silent connection is given up, not its server: only when more requests in
 * a row than it has connections found silence is the server itself at fault.
 */
static void on_silent(struct observe_server *server)
{
	server->silences_in_row++;
	server->requests -= server->requests >= 1 ? 1 : 0;
	if (server->silences_in_row > OBSERVE_SILENCES_MAX)
		on_failed(server);
}

/* It took longer than it was waited for: all that is known of it. */
static void on_no_word(struct observe *observe, struct observe_server *server,
		       const struct observe_result *result, int64_t now)
{
	server->requests -= server->requests >= 1 ? 1 : 0;
	if (result->elapsed_us < observe_mean(observe, server))
		return;
	add_elapsed(observe, server, result->elapsed_us, now);
	if (server->sampled_at)
		add_mean(observe, server, (float)result->elapsed_us, now);
}

static void take_result(struct observe *observe, struct observe_server *server,
			const struct observe_result *result, int64_t now)
{
	switch (observe_outcome_of(result->code, result->sent)) {
	case OBSERVE_ANSWERED:
		on_answered(observe, server, result, now);
		break;
	case OBSERVE_REFUSED:
		on_refused(observe, server, result, now);
		break;
	case OBSERVE_NOT_HELD:
		server->refusals += 1;
		break;
	case OBSERVE_FAILED:
		on_failed(server);
		break;
	case OBSERVE_SILENT:
		on_silent(server);
		break;
	case OBSERVE_NOT_ASKED:
		server->requests -= server->requests >= 1 ? 1 : 0;
		break;
	case OBSERVE_NO_WORD:
		on_no_word(observe, server, result, now);
		break;
	}
}

void observe_done(struct observe *observe, struct observe_server *server,
		  uint64_t instance, bool was_late,
		  const struct observe_result *result)
{
	struct observe_home *home = observe_home(server, instance);
	int64_t now = clock_now(observe->clock);

	if (server->in_flight)
		server->in_flight--;
	if (was_late && server->late)
		server->late--;
	if (home->in_flight)
		home->in_flight--;
	if (result->code != ERR_CANCELLED) {
		home->load = result->home_load;
		home->load_at = now;
	}
	fade_counts(observe, server);
	count_service(observe, server->service,
		      observe_outcome_of(result->code, result->sent));
	take_result(observe, server, result, now);
}

void observe_search_done(struct observe *observe,
			 struct observe_service *service, int64_t elapsed_us)
{
	sketch_add(&service->searches, elapsed_us, clock_now(observe->clock),
		   half_life(observe));
}

void observe_set_health(struct observe_server *server, double health)
{
	server->health = (float)health;
}

/* Of the group; a server that was not asked for long is thought as quick. */
static float quickest_mean(const struct observe_server *server)
{
	const struct observe_group *group = server->group;
	float least = server->mean_us;
	int i;

	for (i = 0; i < group->n; i++) {
		const struct observe_server *peer = group->servers[i];

		if (peer->sampled_at && (least <= 0 || peer->mean_us < least))
			least = peer->mean_us;
	}
	return least;
}

int64_t observe_mean(const struct observe *observe,
		     const struct observe_server *server)
{
	double age;
	double own;

	if (!server->sampled_at)
		return (int64_t)quickest_mean(server);
	age = (double)(clock_now(observe->clock) - server->sampled_at);
	/* Young samples need no look at the others. */
	if (age * 16 < (double)half_life(observe))
		return (int64_t)server->mean_us;
	own = exp2(-age / (double)half_life(observe));
	return (int64_t)(own * (double)server->mean_us +
			 (1 - own) * (double)quickest_mean(server));
}

uint32_t observe_load(const struct observe *observe,
		      const struct observe_server *server)
{
	int64_t now = clock_now(observe->clock);
	uint32_t told = 0;
	int i;

	for (i = 0; i < OBSERVE_HOMES_MAX; i++) {
		const struct observe_home *home = &server->homes[i];

		if (home->hash && now - home->load_at < LOAD_AGE_MAX_US)
			told += home->load;
	}
	return told > server->in_flight ? told : server->in_flight;
}

int64_t observe_quantile(const struct observe *observe,
			 const struct observe_server *server, double q)
{
	int64_t now = clock_now(observe->clock);
	double n = sketch_count(&server->sketch, now, half_life(observe));
	double own = (double)sketch_quantile(&server->sketch, q);
	double all = (double)sketch_quantile(&server->service->sketch, q);

	return (int64_t)((n * own + LEAN_SAMPLES * all) / (n + LEAN_SAMPLES));
}

double observe_accept_ratio(const struct observe *observe,
			    const struct observe_server *server)
{
	(void)observe;
	/* One imagined answer: nothing known reads as good. */
	return ((double)server->accepts + 1) /
	       ((double)(server->accepts + server->refusals +
			 server->failures) +
		1);
}

double observe_service_accept_ratio(const struct observe_service *service)
{
	return ((double)service->accepts + 1) /
	       ((double)(service->accepts + service->rejects) + 1);
}
