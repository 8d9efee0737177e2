/*
 * Searches sent directly to the backend servers, as by a client that knows all
 * of them: no limits, retries or hedges. The baseline of experiments.
 */
#ifndef BENCH_LOAD_DIRECT_H
#define BENCH_LOAD_DIRECT_H

#include <stdbool.h>
#include <stdint.h>

#include "load_answer.h"
#include "load_pool.h"

struct json_object;
struct load_server;
struct load_shard_map;

/**
 * struct load_direct - all backend servers
 * @pool: targets and connections, borrowed
 * @servers: each with its holdings
 * @n: number of @servers
 * @n_answered: servers whose holdings request has finished
 * @n_failed: those among them that returned no holdings
 * @shard_maps: by service, built on the first search of it
 * @seed: state of erand48(), which selects replicas
 */
struct load_direct {
	struct load_pool *pool;
	struct load_server *servers;
	int n;
	int n_answered;
	int n_failed;
	struct load_shard_map *shard_maps;
	unsigned short seed[3];
};

/* @answer is valid only during the call. */
typedef void (*load_direct_done_fn)(void *arg, struct load_answer *answer);

/**
 * load_direct_init() - request the holdings of each server
 * @direct: to initialise; release with load_direct_finish(), also on error
 * @pool: borrowed
 * @addresses: "IP:PORT,..."
 *
 * Return: 0, or ERR_ADDRESS.
 */
int load_direct_init(struct load_direct *direct, struct load_pool *pool,
		     const char *addresses);
void load_direct_finish(struct load_direct *direct);

/**
 * load_direct_ready() - whether all servers have returned their holdings
 * @direct: initialised
 */
bool load_direct_ready(const struct load_direct *direct);

/**
 * load_direct_search() - search all shards of the newest version
 * @direct: initialised and ready
 * @body: search body as sent to an instance, borrowed
 * @request_id: copied
 * @done: called once, when all requests have finished
 * @arg: passed to @done
 *
 * Selects a random replica of each shard and sends one request to each selected
 * server. The outcome is LOAD_DONE if any shard was searched, else
 * LOAD_TOO_LATE.
 */
void load_direct_search(struct load_direct *direct, struct json_object *body,
			const char *request_id, load_direct_done_fn done,
			void *arg);

#endif
