/* Callers' requests: parsed from JSON and validated. */
#ifndef REQUEST_H
#define REQUEST_H

#include <stdbool.h>
#include <stdint.h>

#include "error.h"
#include "str.h"

#define REQUEST_ID_SIZE 65
#define REQUEST_LIMIT_MAX 1000
#define REQUEST_LIMIT_DEFAULT 20
#define REQUEST_NAME_SIZE 65
#define REQUEST_KEY_SIZE 257

enum request_mode {
	REQUEST_RECORDS,
	REQUEST_COUNT,
};

/**
 * struct search_request - a caller's search
 * @request_id: empty if the caller gave none
 * @where: filter as a JSON object in canonical form, owned; "{}": all records
 * @workspace: member of @where, or empty
 * @mode: enum request_mode
 * @limit: maximum number of records in the response
 * @deadline_ms: from its arrival; 0 if the caller gave none
 * @arrived_at: microseconds, if it was queued before it starts; 0: now
 */
struct search_request {
	char request_id[REQUEST_ID_SIZE];
	char service[REQUEST_NAME_SIZE];
	char *where;
	char workspace[REQUEST_NAME_SIZE];
	int mode;
	int64_t limit;
	int64_t deadline_ms;
	int64_t arrived_at;
};

/**
 * struct run_request - a request that must not be repeated
 * @request_id: empty if the caller gave none
 * @ticket: a ticket from POST /v1/tickets
 * @payload: JSON, owned
 * @deadline_ms: 0 if the caller gave none
 */
struct run_request {
	char request_id[REQUEST_ID_SIZE];
	char service[REQUEST_NAME_SIZE];
	char ticket[REQUEST_KEY_SIZE];
	char key[REQUEST_KEY_SIZE];
	char *payload;
	int64_t deadline_ms;
};

/**
 * struct ticket_request - a caller's request for a ticket
 * @request_id: empty if the caller gave none
 */
struct ticket_request {
	char request_id[REQUEST_ID_SIZE];
	char service[REQUEST_NAME_SIZE];
};

/**
 * request_id_is_valid() - whether a text may be used as a request id
 */
bool request_id_is_valid(struct str id);

/**
 * search_request_init() - parse the body of POST /v1/search
 * @request: release with search_request_finish() on success
 * @err: set on failure: the key and what was expected
 *
 * Return: 0; or ERR_SYNTAX, ERR_KEY_UNKNOWN, ERR_KEY_MISSING, ERR_TYPE,
 * ERR_RANGE, with nothing to release.
 */
int search_request_init(struct search_request *request, const char *text,
			size_t len, struct error *err);

/**
 * search_request_finish() - release what a search request owns
 */
void search_request_finish(struct search_request *request);

/**
 * run_request_init() - parse the body of POST /v1/run
 *
 * Parameters and errors as search_request_init().
 */
int run_request_init(struct run_request *request, const char *text, size_t len,
		     struct error *err);

/**
 * run_request_finish() - release what a run request owns
 */
void run_request_finish(struct run_request *request);

/**
 * ticket_request_init() - parse the body of POST /v1/tickets
 *
 * Parameters and errors as search_request_init(); nothing needs to be released.
 */
int ticket_request_init(struct ticket_request *request, const char *text,
			size_t len, struct error *err);

#endif
