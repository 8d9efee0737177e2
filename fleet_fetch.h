/* Sends a GET to many instances in parallel, for the command line. */
#ifndef FLEET_FETCH_H
#define FLEET_FETCH_H

#include <stdbool.h>

#include "address.h"

struct json_object;

/**
 * struct fleet_response - one instance and its response
 * @address: for callers
 * @instance: name, empty while unknown
 * @data_centre: name, empty while unknown
 * @status: HTTP status, 0 without a complete response
 * @ret: 0, or ERR_CONNECT, ERR_LOST or ERR_PROTOCOL (the body isn't JSON)
 * @body: owned, NULL unless @ret is 0
 */
struct fleet_response {
	struct address address;
	char instance[65];
	char data_centre[65];
	int status;
	int ret;
	struct json_object *body;
};

/**
 * struct fleet_list - the instances to send requests to
 * @responses: owned; one for each instance
 * @n: number of @responses
 * @cap: allocated length of @responses
 */
struct fleet_list {
	struct fleet_response *responses;
	int n;
	int cap;
};

/**
 * fleet_list_init() - list the instances that one instance knows
 * @list: to be finished with fleet_list_finish()
 * @first: the instance to query; always the first of the list
 * @timeout_ms: of each request
 *
 * Uses the members on its status page, including those marked as gone: what
 * they knew is lost, and they show up in the list as unreachable. If the page
 * can't be read, uses the addresses that it gives to callers.
 *
 * Return: 0, or ERR_CONNECT, ERR_LOST or ERR_PROTOCOL if there was no valid
 * response; the list then has only @first.
 */
int fleet_list_init(struct fleet_list *list, const struct address *first,
		    int timeout_ms);
void fleet_list_finish(struct fleet_list *list);

/**
 * fleet_list_fetch_one() - send a GET to one instance, wait for its response
 * @list: the list
 * @index: of the instance in the list
 * @path: of the request
 * @timeout_ms: of the request
 */
void fleet_list_fetch_one(struct fleet_list *list, int index, const char *path,
			  int timeout_ms);

/**
 * fleet_list_fetch() - send a GET to several instances, wait for all responses
 * @list: the list
 * @from: index of the first; those before it keep their responses
 * @path: of the requests
 * @timeout_ms: of each request
 */
void fleet_list_fetch(struct fleet_list *list, int from, const char *path,
		      int timeout_ms);

#endif
