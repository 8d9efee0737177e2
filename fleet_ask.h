/* One GET of many instances at once, for the command line. */
#ifndef FLEET_ASK_H
#define FLEET_ASK_H

#include <stdbool.h>

#include "address.h"

struct json_object;

/**
 * struct fleet_response - one instance and its answer
 * @instance: name, empty if it is not known yet
 * @status: HTTP status, 0 if there was no whole answer
 * @ret: 0, or ERR_CONNECT, ERR_LOST, ERR_PROTOCOL (the body is no JSON)
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
 * struct fleet_list - the instances to ask
 */
struct fleet_list {
	struct fleet_response *asks;
	int n;
	int cap;
};

/**
 * fleet_list_init() - the instances that one of them names
 * @first: this one is always in the list, and first
 *
 * Members of its status page, those it holds for gone included, as what these
 * knew is lost; should that fail, what it tells callers.
 *
 * Return: 0, or ERR_CONNECT, ERR_LOST or ERR_PROTOCOL if it did not answer;
 * the list then has only @first.
 */
int fleet_list_init(struct fleet_list *list, const struct address *first,
		    int timeout_ms);
void fleet_list_finish(struct fleet_list *list);

/**
 * fleet_list_fetch_one() - send a GET to one instance and wait for its answer
 */
void fleet_list_fetch_one(struct fleet_list *list, int index, const char *path,
			  int timeout_ms);

/**
 * fleet_list_fetch() - send a GET to several and wait for all answers
 * @from: index of the first; the ones before are left alone
 */
void fleet_list_fetch(struct fleet_list *list, int from, const char *path,
		      int timeout_ms);

#endif
