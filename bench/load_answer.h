/* Parses answers to callers and checks them against expected results. */
#ifndef BENCH_LOAD_ANSWER_H
#define BENCH_LOAD_ANSWER_H

#include <stdbool.h>
#include <stdint.h>

#include "str.h"

struct json_object;

#define LOAD_ID_SIZE 65
#define LOAD_TICKET_SIZE 256

/* X(symbol, name): outcomes of the protocol, then those set by the client. */
#define LOAD_OUTCOMES(X)                                                       \
	X(LOAD_DONE, "done")                                                   \
	X(LOAD_BAD_REQUEST, "bad_request")                                     \
	X(LOAD_NOT_RUN, "not_run")                                             \
	X(LOAD_TOO_LATE, "too_late")                                           \
	X(LOAD_UNKNOWN, "unknown")                                             \
	X(LOAD_CUT_OFF, "cut_off")                                             \
	X(LOAD_SILENT, "silent")                                               \
	X(LOAD_UNREACHABLE, "unreachable")                                     \
	X(LOAD_MALFORMED, "malformed")                                         \
	X(LOAD_UNFINISHED, "unfinished")

#define LOAD_OUTCOME_ENUM(symbol, name) symbol,
enum load_outcome {
	LOAD_OUTCOMES(LOAD_OUTCOME_ENUM) LOAD_N_OUTCOMES
};
#undef LOAD_OUTCOME_ENUM

const char *load_outcome_name(enum load_outcome outcome);

/**
 * struct load_work - what an instance reports to have spent on a search
 * @homes: home instances of the servers that were searched
 * @requests: requests to backend servers
 * @hedges: those sent as hedges
 * @retries: those sent as retries
 * @restarts: times the search started again on another map
 */
struct load_work {
	uint64_t homes;
	uint64_t requests;
	uint64_t hedges;
	uint64_t retries;
	uint64_t restarts;
};

/**
 * struct load_answer - one parsed answer
 * @outcome: LOAD_MALFORMED if the answer violates the protocol
 * @request_id: as echoed by the instance, "" if missing
 * @error: error name, "" if missing
 * @retry_after_ms: 0 if missing
 * @snapshot: version of the data that was searched
 * @count: matching records
 * @n_records: length of the record list, -1 if there is none
 * @has_coverage: @covered, @total and @sufficient are set
 * @covered: records held by the shards that answered
 * @total: records held by all shards
 * @sufficient: the coverage meets the service's requirement
 * @table_revision: configuration table used by the instance
 * @work: resources spent
 * @result_hash: hash of the result of a run
 * @ticket: "" unless it answers a ticket request
 */
struct load_answer {
	enum load_outcome outcome;
	char request_id[LOAD_ID_SIZE];
	char error[32];
	int64_t retry_after_ms;
	uint64_t snapshot;
	uint64_t count;
	int64_t n_records;
	bool has_coverage;
	uint64_t covered;
	uint64_t total;
	bool sufficient;
	uint64_t table_revision;
	struct load_work work;
	uint64_t result_hash;
	char ticket[LOAD_TICKET_SIZE];
};

/**
 * load_answer_read() - parse the answer to a search or run
 * @answer: overwritten
 * @status: HTTP status, which must match the outcome
 * @body: JSON text; anything else gives LOAD_MALFORMED
 */
void load_answer_read(struct load_answer *answer, int status, struct str body);

/**
 * load_answer_read_ticket() - parse the answer to a ticket request
 * @answer: overwritten; LOAD_DONE if it has a ticket
 * @status: HTTP status; unless 200, parsed as load_answer_read() does
 * @body: JSON text
 */
void load_answer_read_ticket(struct load_answer *answer, int status,
			     struct str body);

/**
 * load_answer_check() - check a search answer for consistency and correctness
 * @answer: of a search with the outcome LOAD_DONE
 * @expect: {"count":N,"total":N}, or {"by_snapshot":{"41":{...}}}, or NULL if
 *	the expected result is unknown
 * @limit: "limit" of the request
 *
 * Return: NULL if it is correct, else a constant name of the mismatch.
 */
const char *load_answer_check(const struct load_answer *answer,
			      struct json_object *expect, int64_t limit);

#endif
