/* What a gateway instance is told when it starts; see garnetreach-gateway(5).
 */
#ifndef GATEWAY_SETTINGS_H
#define GATEWAY_SETTINGS_H

#include "address.h"
#include "error.h"
#include "regions.h"
#include "settings.h"

#define GATEWAY_SEEDS_MAX 8

/**
 * struct load_control - mechanisms that an operator may switch on
 * @priorities: requests are admitted by their routes' priorities
 * @returns: refused callers are told when there is room, and find it
 * @turns: requests wait here for their turn at a server, and not in its queue
 * @left_out: parts that cannot come in time are not sent
 * @pace: servers are chosen by what all senders see of them
 */
struct load_control {
	bool priorities;
	bool returns;
	bool turns;
	bool left_out;
	bool pace;
};

/**
 * struct gateway_settings - a read settings file
 * @caller_address: requests of callers
 * @ready_address: whether this instance is ready
 * @directory_address: which addresses callers should use
 * @control_address: status for operators
 * @metrics_address: counters as text; port 0 if there is none
 * @peer_ports: first and last port free for traffic between instances, the
 *	same at all of them
 * @seeds: instances that may be asked for the others; may be stale
 * @store_address: where routes and servers are published
 * @descriptors_max: limit of the process, 0 if there is none
 * @cpu_quota: cores
 * @stop_max_s: after SIGTERM the process is killed
 * @config_apply_ms: routes are in force everywhere after so long
 * @retry_ratio: second sends to a service, of its requests, all instances
 * @retry_slack: second sends above that, in @retry_window_s, all instances
 * @address_lifetime_max_s: callers keep the directory's answer no longer
 * @cold_overrun: a cold server gets in a second at most so many times what it
 *	bears, from all instances
 * @cold_slack: and so many requests more
 * @regions: of all data centres
 * @load_control: what is done where servers are short
 */
struct gateway_settings {
	char *instance;
	char *data_centre;
	struct address caller_address;
	struct address ready_address;
	struct address directory_address;
	struct address control_address;
	struct address metrics_address;
	int64_t peer_ports[2];
	struct address seeds[GATEWAY_SEEDS_MAX];
	int n_seeds;
	struct address store_address;
	int64_t descriptors_max;
	double cpu_quota;
	double stop_max_s;
	int64_t config_apply_ms;
	double retry_ratio;
	double retry_slack;
	double retry_window_s;
	double address_lifetime_max_s;
	double cold_overrun;
	double cold_slack;
	struct regions regions;
	struct load_control load_control;
	int log_level;
};

/**
 * gateway_settings_init() - read settings from JSON with comments
 *
 * Return: 0; or ERR_SYNTAX, ERR_KEY_UNKNOWN, ERR_KEY_MISSING, ERR_TYPE,
 * ERR_RANGE, ERR_ADDRESS with @settings finished.
 */
int gateway_settings_init(struct gateway_settings *settings, const char *text,
			  size_t len, struct error *err);
/**
 * gateway_settings_update() - take what may change while an instance runs
 *
 * Names, addresses and the machine's limits stay as they were at the start.
 */
void gateway_settings_update(struct gateway_settings *settings,
			     const struct gateway_settings *from);
void gateway_settings_finish(struct gateway_settings *settings);

#endif
