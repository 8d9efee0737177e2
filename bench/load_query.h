/* Search bodies that the generator selects from. */
#ifndef BENCH_LOAD_QUERY_H
#define BENCH_LOAD_QUERY_H

#include <stdint.h>

struct json_object;

/**
 * struct load_query - one search body and its expected result, if known
 * @body: without "expect"
 * @expect: see load_answer_check(); may be NULL
 * @limit: maximum number of records, 0 if only their count is requested
 */
struct load_query {
	struct json_object *body;
	struct json_object *expect;
	int64_t limit;
};

struct load_queries {
	struct load_query *items;
	int n;
	int cap;
};

/**
 * load_queries_add() - add a search body
 * @queries: to extend
 * @body: owned by @queries afterwards
 *
 * A field "expect" is moved from the body into the query.
 */
void load_queries_add(struct load_queries *queries, struct json_object *body);

/**
 * load_queries_read() - add the bodies in a file of JSON lines
 * @queries: to extend
 * @path: file name
 *
 * Return: 0, ERR_SYSTEM if the file cannot be read, or ERR_SYNTAX.
 */
int load_queries_read(struct load_queries *queries, const char *path);

/**
 * load_queries_set() - set a field in all bodies that lack it
 * @queries: whose bodies change
 * @key: name of the field
 * @value: owned by @queries afterwards
 */
void load_queries_set(struct load_queries *queries, const char *key,
		      struct json_object *value);
void load_queries_finish(struct load_queries *queries);

#endif
