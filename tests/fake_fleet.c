#include "fake_fleet.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "error.h"
#include "mem.h"

#define REFUSAL_LATENCY_US 100
#define RETRY_AFTER_US MSEC(100)

enum event_kind {
	EVENT_ARRIVE,
	EVENT_DONE,
	EVENT_HEDGE,
	EVENT_TRY_SEND,
	EVENT_RETRY,
	EVENT_DEADLINE,
};

static int64_t fleet_now(const struct fake_fleet *fleet)
{
	return clock_now(&fleet->clock);
}

static void push_event(struct fake_fleet *fleet, int64_t at, int kind,
		       int index, int group)
{
	struct fake_event event = {at, kind, index, group};
	int i;

	MEM_GROW(fleet->heap, fleet->n_heap, fleet->cap_heap);
	for (i = fleet->n_heap++; i; i = (i - 1) / 2) {
		if (fleet->heap[(i - 1) / 2].at <= at)
			break;
		fleet->heap[i] = fleet->heap[(i - 1) / 2];
	}
	fleet->heap[i] = event;
}

static struct fake_event pop_event(struct fake_fleet *fleet)
{
	struct fake_event first = fleet->heap[0];
	struct fake_event last = fleet->heap[--fleet->n_heap];
	int n = fleet->n_heap;
	int i = 0;

	while (i * 2 + 1 < n) {
		int child = i * 2 + 1;

		if (child + 1 < n &&
		    fleet->heap[child + 1].at < fleet->heap[child].at)
			child++;
		if (last.at <= fleet->heap[child].at)
			break;
		fleet->heap[i] = fleet->heap[child];
		i = child;
	}
	fleet->heap[i] = last;
	return first;
}

static char *make_table_text(const struct fake_config *config)
{
	char *text = NULL;
	size_t len;
	FILE *out = open_memstream(&text, &len);
	int i;

	fprintf(out,
		"{\"markets\":{\"columns\":[\"name\"],\"rows\":[[\"m\"]]},"
		"\"services\":{\"columns\":[\"name\",\"market\"%s%s],"
		"\"rows\":[[\"s\",\"m\"%s%s]]},\"servers\":{\"columns\":["
		"\"name\",\"service\",\"data_centre\",\"address\","
		"\"replica_set\",\"slots\"],\"rows\":[",
		config->columns ? "," : "",
		config->columns ? config->columns : "",
		config->cells ? "," : "", config->cells ? config->cells : "");
	for (i = 0; i < config->groups * config->replicas; i++)
		fprintf(out,
			"%s[\"b%d\",\"s\",\"d\",\"127.0.0.1:9000\",\"r%d\","
			"%d]",
			i ? "," : "", i, i / config->replicas, config->slots);
	fprintf(out, "]}}");
	fclose(out);
	return text;
}

static void init_servers(struct fake_fleet *fleet)
{
	int i;

	fleet->n_servers = fleet->table.n_servers;
	fleet->servers =
		mem_zalloc((size_t)fleet->n_servers * sizeof(*fleet->servers));
	for (i = 0; i < fleet->n_servers; i++) {
		fleet->servers[i].slowdown = 1;
		fleet->servers[i].weight = 100;
		fleet->servers[i].observed =
			observe_server(&fleet->policy.observe,
				       str_from(fleet->table.servers[i].name));
	}
}

void fake_fleet_init(struct fake_fleet *fleet, const struct fake_config *config,
		     uint64_t seed)
{
	struct error err = {0};
	char *text = make_table_text(config);

	memset(fleet, 0, sizeof(*fleet));
	fleet->config = *config;
	clock_init_paused(&fleet->clock, USEC_PER_SEC);
	rng_init(&fleet->rng, seed);
	if (table_init(&fleet->table, text, strlen(text), 1, &err)) {
		fprintf(stderr, "%s %s\n", err.subject, err.value);
		abort();
	}
	free(text);
	policy_init(&fleet->policy, &fleet->clock, seed + 1);
	policy_set_table(&fleet->policy, &fleet->table);
	fleet->policy.ops = config->ops;
	init_servers(fleet);
}

void fake_fleet_finish(struct fake_fleet *fleet)
{
	int i;

	for (i = 0; i < fleet->n_servers; i++)
		free(fleet->servers[i].queue);
	for (i = 0; i < fleet->n_searches; i++)
		free(fleet->searches[i].groups);
	policy_finish(&fleet->policy);
	table_finish(&fleet->table);
	free(fleet->servers);
	free(fleet->searches);
	free(fleet->jobs);
	free(fleet->heap);
	free(fleet->latencies);
}

static const struct service *get_service(const struct fake_fleet *fleet)
{
	return &fleet->table.services[0];
}

static void fill_replicas(const struct fake_fleet *fleet,
			  const struct fake_group *state, int group,
			  struct replica *replicas)
{
	int i;

	for (i = 0; i < fleet->config.replicas; i++) {
		int server = group * fleet->config.replicas + i;

		replicas[i] = (struct replica){
			.server = fleet->servers[server].observed,
			.weight = fleet->servers[server].weight,
			.homes = {{FAKE_HOME, (uint32_t)fleet->config.slots}},
			.n_homes = 1,
			.excluded = state->tried_mask >> i & 1,
		};
	}
}

/*
 * Every replica was tried. Those that still have a job in flight may get
 * another one, except @own.
 */
static void allow_tried_replicas(const struct fake_fleet *fleet,
				 const struct fake_group *state, int own,
				 struct replica *replicas)
{
	int i;

	for (i = 0; i < fleet->config.replicas; i++)
		replicas[i].excluded =
			i == own || !(state->in_flight_mask >> i & 1);
}

static void start_job(struct fake_fleet *fleet, int index)
{
	struct fake_job *job = &fleet->jobs[index];
	struct fake_server *server = &fleet->servers[job->server];
	double usec = fleet->config.service_us *
		      (0.7 + 0.6 * rng_uniform(&fleet->rng)) * server->slowdown;

	if (rng_uniform(&fleet->rng) < fleet->config.straggler_ratio)
		usec *= fleet->config.straggler_factor;
	server->busy++;
	job->running = true;
	job->begun_at = fleet_now(fleet);
	push_event(fleet, fleet_now(fleet) + (int64_t)usec, EVENT_DONE, index,
		   0);
}

static void receive(struct fake_fleet *fleet, int index)
{
	struct fake_job *job = &fleet->jobs[index];
	struct fake_server *server = &fleet->servers[job->server];

	server->received++;
	if (server->down)
		job->fail_code = ERR_CONNECT;
	else if (rng_uniform(&fleet->rng) < server->shed_ratio)
		job->fail_code = ERR_SHED;
	if (job->fail_code) {
		push_event(fleet, fleet_now(fleet) + REFUSAL_LATENCY_US,
			   EVENT_DONE, index, 0);
		return;
	}
	if (server->busy < fleet->config.slots) {
		start_job(fleet, index);
		return;
	}
	MEM_GROW(server->queue, server->n_queue, server->cap_queue);
	server->queue[server->n_queue++] = index;
}

static void send_job(struct fake_fleet *fleet, int search, int group,
		     int replica, const struct replica *replicas)
{
	struct fake_group *state = &fleet->searches[search].groups[group];
	int index = fleet->n_jobs;
	struct fake_job *job;

	MEM_GROW(fleet->jobs, fleet->n_jobs, fleet->cap_jobs);
	fleet->n_jobs++;
	job = &fleet->jobs[index];
	memset(job, 0, sizeof(*job));
	job->search = search;
	job->group = group;
	job->server = group * fleet->config.replicas + replica;
	job->sent_at = fleet_now(fleet);
	job->pending = true;
	state->attempts++;
	state->newest = index;
	state->in_flight++;
	state->tried_mask |= 1u << replica;
	state->in_flight_mask |= 1u << replica;
	state->jobs[replica] = index;
	job->hedge_delay = fleet->policy.ops->hedge_delay(
		&fleet->policy, get_service(fleet), &replicas[replica],
		replicas, fleet->config.replicas, state->attempts > 1);
	policy_request_sent(&fleet->policy,
			    fleet->servers[job->server].observed, FAKE_HOME);
	if (job->hedge_delay != INT64_MAX)
		push_event(fleet, job->sent_at + job->hedge_delay, EVENT_HEDGE,
			   index, 0);
	receive(fleet, index);
}

static void end_search(struct fake_fleet *fleet, struct fake_search *search)
{
	int64_t elapsed = fleet_now(fleet) - search->begun_at;

	search->done = true;
	if (search->covered == fleet->config.groups ||
	    fleet_now(fleet) >= search->deadline)
		policy_search_done(&fleet->policy, get_service(fleet), elapsed);
	MEM_GROW(fleet->latencies, fleet->n_latencies, fleet->cap_latencies);
	fleet->latencies[fleet->n_latencies++] = elapsed;
	fleet->coverage += (double)search->covered / fleet->config.groups;
}

static void end_group(struct fake_fleet *fleet, int search, int group,
		      bool covered)
{
	struct fake_search *s = &fleet->searches[search];

	if (s->groups[group].done)
		return;
	s->groups[group].done = true;
	s->groups[group].covered = covered;
	s->covered += covered;
	if (!--s->groups_left)
		end_search(fleet, s);
}

static void try_send(struct fake_fleet *fleet, int search, int group,
		     bool urgent)
{
	struct fake_search *s = &fleet->searches[search];
	struct fake_group *state = &s->groups[group];
	struct replica replicas[FAKE_REPLICAS_MAX];
	struct replica_pick pick;
	int64_t when = 0;
	int ret;

	if (state->done || state->in_flight)
		return;
	fill_replicas(fleet, state, group, replicas);
	ret = fleet->policy.ops->choose(&fleet->policy, replicas,
					fleet->config.replicas, urgent, &pick,
					&when);
	if (!ret) {
		fleet->retries += urgent;
		send_job(fleet, search, group, pick.replica, replicas);
	} else if (ret == ERR_NO_REPLICA && state->tried_mask) {
		/* Every replica has failed once: try all of them again. */
		state->tried_mask = 0;
		try_send(fleet, search, group, urgent);
	} else if (ret == ERR_SHED && when < s->deadline) {
		push_event(fleet, when, EVENT_TRY_SEND, search, group);
	} else {
		end_group(fleet, search, group, false);
	}
}

static void release_slot(struct fake_fleet *fleet, struct fake_job *job)
{
	struct fake_server *server = &fleet->servers[job->server];

	if (!job->running)
		return;
	job->running = false;
	server->busy--;
	while (server->n_queue && server->busy < fleet->config.slots) {
		int next = server->queue[0];

		memmove(server->queue, server->queue + 1,
			(size_t)--server->n_queue * sizeof(int));
		if (fleet->jobs[next].pending)
			start_job(fleet, next);
	}
}

static void end_job(struct fake_fleet *fleet, int index, int code)
{
	struct fake_job *job = &fleet->jobs[index];
	struct fake_group *state =
		&fleet->searches[job->search].groups[job->group];
	struct fake_server *server = &fleet->servers[job->server];
	struct observe_result result = {
		.code = code,
		.sent = true,
		.elapsed_us = fleet_now(fleet) - job->sent_at,
		.latency_us =
			job->running ? fleet_now(fleet) - job->begun_at : 0,
		.home_load = (uint32_t)(server->busy + server->n_queue),
		.retry_after_us = code == ERR_SHED ? RETRY_AFTER_US : 0,
	};

	job->pending = false;
	state->in_flight--;
	state->in_flight_mask &= ~(1u << job->server % fleet->config.replicas);
	policy_request_done(&fleet->policy, server->observed, FAKE_HOME,
			    job->late, &result);
	release_slot(fleet, job);
}

static void cancel_others(struct fake_fleet *fleet, int search, int group,
			  int code)
{
	struct fake_group *state = &fleet->searches[search].groups[group];
	int i;

	for (i = 0; i < fleet->config.replicas; i++) {
		if (state->in_flight_mask >> i & 1)
			end_job(fleet, state->jobs[i], code);
	}
}

static void retry(struct fake_fleet *fleet, int search, int group)
{
	struct fake_group *state = &fleet->searches[search].groups[group];
	int64_t when = INT64_MAX;
	int ret;

	if (state->done || state->in_flight)
		return;
	ret = fleet->policy.ops->retry(&fleet->policy, get_service(fleet),
				       &state->failure, &when);
	if (!ret)
		push_event(fleet, when, EVENT_TRY_SEND, search, group);
	else if (ret == ERR_BUDGET && when != INT64_MAX)
		push_event(fleet, when, EVENT_RETRY, search, group);
	else
		end_group(fleet, search, group, false);
}

static void on_failure(struct fake_fleet *fleet, int index)
{
	struct fake_job *job = &fleet->jobs[index];
	int search = job->search;
	int group = job->group;
	struct fake_group *state = &fleet->searches[search].groups[group];
	struct policy_failure failure = {
		.code = job->fail_code,
		.sent = true,
		.attempts = state->attempts,
		.deadline = fleet->searches[search].deadline,
	};

	end_job(fleet, index, failure.code);
	state->failure = failure;
	retry(fleet, search, group);
}

static void on_done(struct fake_fleet *fleet, int index)
{
	struct fake_job *job = &fleet->jobs[index];
	int search = job->search;
	int group = job->group;

	if (!job->pending)
		return;
	if (job->fail_code) {
		on_failure(fleet, index);
		return;
	}
	fleet->servers[job->server].answered++;
	end_job(fleet, index, 0);
	cancel_others(fleet, search, group, ERR_CANCELLED);
	end_group(fleet, search, group, true);
}

/*
 * Chooses the replica for a hedge of @job: one that was not tried, else one
 * that has another job in flight.
 */
static int choose_hedge(struct fake_fleet *fleet, const struct fake_job *job,
			struct replica *replicas, struct replica_pick *pick)
{
	struct fake_group *state =
		&fleet->searches[job->search].groups[job->group];
	int own = job->server % fleet->config.replicas;
	int64_t when;
	int ret;

	fill_replicas(fleet, state, job->group, replicas);
	ret = fleet->policy.ops->choose(&fleet->policy, replicas,
					fleet->config.replicas, true, pick,
					&when);
	if (ret != ERR_NO_REPLICA)
		return ret;
	allow_tried_replicas(fleet, state, own, replicas);
	return fleet->policy.ops->choose(&fleet->policy, replicas,
					 fleet->config.replicas, true, pick,
					 &when);
}

static void on_hedge(struct fake_fleet *fleet, int index)
{
	struct fake_job *job = &fleet->jobs[index];
	int search = job->search;
	int group = job->group;
	struct replica replicas[FAKE_REPLICAS_MAX];
	struct replica_pick pick;
	struct fake_group *state = &fleet->searches[search].groups[group];

	if (!job->pending)
		return;
	if (!job->late)
		observe_mark_late(fleet->servers[job->server].observed);
	job->late = true;
	if (state->newest != index)
		return;
	if (choose_hedge(fleet, job, replicas, &pick) ||
	    !fleet->policy.ops->hedge(&fleet->policy, get_service(fleet),
				      &replicas[pick.replica], state->attempts,
				      true, fleet->searches[search].deadline)) {
		push_event(fleet, fleet_now(fleet) + job->hedge_delay / 4,
			   EVENT_HEDGE, index, 0);
		return;
	}
	fleet->hedges++;
	if (state->in_flight_mask >> pick.replica & 1)
		end_job(fleet, state->jobs[pick.replica], ERR_CANCELLED);
	send_job(fleet, search, group, pick.replica, replicas);
}

static void on_deadline(struct fake_fleet *fleet, int search)
{
	int i;

	for (i = 0; i < fleet->config.groups; i++) {
		cancel_others(fleet, search, i, ERR_TOO_LATE);
		end_group(fleet, search, i, false);
	}
}

static void on_arrive(struct fake_fleet *fleet)
{
	int64_t deadline = MSEC(get_service(fleet)->deadline_ms);
	struct fake_search *search;
	int index = fleet->n_searches;
	int i;

	MEM_GROW(fleet->searches, fleet->n_searches, fleet->cap_searches);
	fleet->n_searches++;
	search = &fleet->searches[index];
	memset(search, 0, sizeof(*search));
	search->begun_at = fleet_now(fleet);
	search->deadline = search->begun_at + deadline;
	search->groups_left = fleet->config.groups;
	search->groups = mem_zalloc((size_t)fleet->config.groups *
				    sizeof(*search->groups));
	fleet->needed += (uint64_t)fleet->config.groups;
	policy_count_needed(&fleet->policy, get_service(fleet),
			    fleet->config.groups);
	push_event(fleet, search->deadline, EVENT_DEADLINE, index, 0);
	for (i = 0; i < fleet->config.groups; i++)
		try_send(fleet, index, i, false);
}

static void handle_event(struct fake_fleet *fleet,
			 const struct fake_event *event)
{
	if (event->at > fleet_now(fleet))
		clock_advance(&fleet->clock, event->at - fleet_now(fleet));
	switch (event->kind) {
	case EVENT_ARRIVE:
		on_arrive(fleet);
		break;
	case EVENT_DONE:
		on_done(fleet, event->index);
		break;
	case EVENT_HEDGE:
		on_hedge(fleet, event->index);
		break;
	case EVENT_TRY_SEND:
		try_send(fleet, event->index, event->group, true);
		break;
	case EVENT_RETRY:
		retry(fleet, event->index, event->group);
		break;
	case EVENT_DEADLINE:
		if (!fleet->searches[event->index].done)
			on_deadline(fleet, event->index);
		break;
	}
}

void fake_fleet_run(struct fake_fleet *fleet, int n)
{
	int64_t at = fleet_now(fleet);
	int i;

	/* The intervals are random, as with many independent callers. */
	for (i = 0; i < n; i++) {
		at += (int64_t)(2 * rng_uniform(&fleet->rng) * USEC_PER_SEC /
				fleet->config.rate);
		push_event(fleet, at, EVENT_ARRIVE, 0, 0);
	}
	while (fleet->n_heap) {
		struct fake_event event = pop_event(fleet);

		handle_event(fleet, &event);
	}
}

void fake_fleet_reset(struct fake_fleet *fleet)
{
	int i;

	for (i = 0; i < fleet->n_servers; i++) {
		fleet->servers[i].received = 0;
		fleet->servers[i].answered = 0;
	}
	fleet->needed = 0;
	fleet->hedges = 0;
	fleet->retries = 0;
	fleet->n_latencies = 0;
	fleet->coverage = 0;
}

uint64_t fake_fleet_received(const struct fake_fleet *fleet)
{
	uint64_t sum = 0;
	int i;

	for (i = 0; i < fleet->n_servers; i++)
		sum += fleet->servers[i].received;
	return sum;
}

double fake_fleet_load(const struct fake_fleet *fleet)
{
	return (double)fake_fleet_received(fleet) / (double)fleet->needed;
}

double fake_fleet_coverage(const struct fake_fleet *fleet)
{
	return fleet->coverage / fleet->n_latencies;
}

static int compare(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return x < y ? -1 : x > y;
}

int64_t fake_fleet_quantile(struct fake_fleet *fleet, double q)
{
	qsort(fleet->latencies, (size_t)fleet->n_latencies,
	      sizeof(*fleet->latencies), compare);
	return fleet->latencies[(int)(q * (fleet->n_latencies - 1))];
}
