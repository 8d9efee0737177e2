#include "load_query.h"

#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include "error.h"
#include "mem.h"

#define DEFAULT_LIMIT 20

void load_queries_add(struct load_queries *queries, struct json_object *body)
{
	struct load_query *query;
	struct json_object *value;
	bool count_only;

	MEM_GROW(queries->items, queries->n, queries->cap);
	query = &queries->items[queries->n++];
	query->body = body;
	query->expect = NULL;
	query->limit = DEFAULT_LIMIT;
	if (json_object_object_get_ex(body, "limit", &value))
		query->limit = json_object_get_int64(value);
	count_only = json_object_object_get_ex(body, "mode", &value) &&
		     !strcmp(json_object_get_string(value), "count");
	if (count_only)
		query->limit = 0;
	if (!json_object_object_get_ex(body, "expect", &value))
		return;
	query->expect = json_object_get(value);
	json_object_object_del(body, "expect");
}

int load_queries_read(struct load_queries *queries, const char *path)
{
	FILE *file = fopen(path, "r");
	char *line = NULL;
	size_t size = 0;
	int ret = 0;

	if (!file)
		return ERR_SYSTEM;
	while (!ret && getline(&line, &size, file) > 0) {
		struct json_object *body;

		if (strspn(line, " \t\r\n") == strlen(line))
			continue;
		body = json_tokener_parse(line);
		if (json_object_is_type(body, json_type_object)) {
			load_queries_add(queries, body);
		} else {
			json_object_put(body);
			ret = ERR_SYNTAX;
		}
	}
	free(line);
	fclose(file);
	return ret;
}

void load_queries_set(struct load_queries *queries, const char *key,
		      struct json_object *value)
{
	int i;

	for (i = 0; i < queries->n; i++) {
		struct json_object *body = queries->items[i].body;

		if (json_object_object_get_ex(body, key, NULL))
			continue;
		json_object_object_add(body, key, json_object_get(value));
	}
	json_object_put(value);
}

void load_queries_finish(struct load_queries *queries)
{
	int i;

	for (i = 0; i < queries->n; i++) {
		json_object_put(queries->items[i].body);
		json_object_put(queries->items[i].expect);
	}
	free(queries->items);
	memset(queries, 0, sizeof(*queries));
}
