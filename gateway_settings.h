/* Settings file of a gateway instance; see garnetreach-gateway(5). */
#ifndef GATEWAY_SETTINGS_H
#define GATEWAY_SETTINGS_H

#include "address.h"
#include "error.h"
#include "regions.h"
#include "settings.h"

#define GATEWAY_SEEDS_MAX 8

/**
 * struct load_control - overload mechanisms, each enabled by its own name
 * @priorities: admit requests by the priorities of their routes
 * @returns: reserve capacity for a refused caller's retry and send it the time
 * @turns: queue requests here, instead of at the server
 * @left_out: do not send parts that would be answered too late
 * @pace: choose servers by the service times that all senders observe
 */
struct load_control {
	bool priorities;
	bool returns;
	bool turns;
	bool left_out;
	bool pace;
};

/**
 * struct gateway_settings - contents of the settings file
 * @instance: name of this instance, unique in the fleet
 * @data_centre: data centre this instance runs in
 * @caller_address: listening address for callers' requests
 * @ready_address: listening address of the readiness endpoint
 * @directory_address: listening address of the directory endpoint
 * @control_address: listening address of the operators' status endpoint
 * @metrics_address: listening address of the metrics endpoint; port 0 if none
 * @peer_ports: first and last port reserved for traffic between instances, the
 *	same on all of them
 * @seeds: instances to ask for the list of members; may be stale
 * @n_seeds: number of @seeds
 * @store_address: store that publishes routes and servers
 * @descriptors_max: file descriptor limit of the process, 0 if unlimited
 * @memory_max_mb: memory limit of the process, megabytes
 * @cpu_quota: processor time, cores
 * @stop_max_s: time from SIGTERM until the process is killed, seconds
 * @config_apply_ms: time until new routes apply on all instances, milliseconds
 * @retry_ratio: second sends (retries and hedges) to a service, as a fraction
 *	of its requests, over all instances
 * @retry_slack: second sends allowed above @retry_ratio per @retry_window_s,
 *	over all instances
 * @retry_window_s: window of @retry_slack, seconds
 * @address_lifetime_max_s: longest time callers may cache a directory answer,
 *	seconds
 * @cold_overrun: limit on requests per second to a cold server, over all
 *	instances, as a multiple of the rate it handles
 * @cold_slack: requests per second allowed above that
 * @regions: region of each data centre
 * @load_control: enabled overload mechanisms
 * @log_level: index of the lowest level that is logged, 0 is debug
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
	int64_t memory_max_mb;
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
 * gateway_settings_init() - parse settings from JSON with comments
 * @settings: filled in; released with gateway_settings_finish()
 * @text: the document, @len bytes
 * @err: set on failure; may be NULL
 *
 * Return: 0; or ERR_SYNTAX, ERR_KEY_UNKNOWN, ERR_KEY_MISSING, ERR_TYPE,
 * ERR_RANGE, ERR_ADDRESS. On failure @settings is already released.
 */
int gateway_settings_init(struct gateway_settings *settings, const char *text,
			  size_t len, struct error *err);
/**
 * gateway_settings_update() - apply the settings that may change at run time
 * @from: settings file as read again; not modified
 *
 * Names, listening addresses and the limits of the machine keep their values
 * from startup.
 */
void gateway_settings_update(struct gateway_settings *settings,
			     const struct gateway_settings *from);

/**
 * gateway_settings_finish() - free the contents of @settings
 */
void gateway_settings_finish(struct gateway_settings *settings);

#endif
