#include "losses.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include "clock.h"
#include "error.h"
#include "json_value.h"
#include "mem.h"

/* Of a time as "2026-05-05T13:16:38.552783Z": up to whole seconds. */
#define SECOND_LEN 19

#define LOSS_CAUSE_NAME(cause, name, text) name,
static const char *const names[] = {LOSS_CAUSE_LIST(LOSS_CAUSE_NAME)};
#undef LOSS_CAUSE_NAME

#define LOSS_CAUSE_TEXT(cause, name, text) text,
static const char *const texts[] = {LOSS_CAUSE_LIST(LOSS_CAUSE_TEXT)};
#undef LOSS_CAUSE_TEXT

/* Why a request was not answered, by the name of its error. */
static const struct {
	int code;
	enum loss_cause cause;
} by_error[] = {
	{ERR_NO_REPLICA, LOSS_NO_SERVER}, {ERR_CONNECT, LOSS_NO_SERVER},
	{ERR_DRAINING, LOSS_NO_SERVER},	  {ERR_SHED, LOSS_FULL},
	{ERR_BUDGET, LOSS_FULL},	  {ERR_OVERLOAD, LOSS_OVERLOAD},
	{ERR_TOO_LATE, LOSS_TIMEOUT},	  {ERR_CANCELLED, LOSS_LEFT},
	{ERR_BANNED, LOSS_REQUEST},	  {ERR_LEFT_OUT, LOSS_OVERLOAD},
};

const char *loss_cause_name(enum loss_cause cause)
{
	return names[cause];
}

void losses_init(struct losses *losses)
{
	memset(losses, 0, sizeof(*losses));
}

static void free_rows(struct losses_row **rows)
{
	struct losses_row *row;
	struct losses_row *next;

	HASH_ITER (hh, *rows, row, next) {
		HASH_DEL(*rows, row);
		free(row);
	}
}

void losses_finish(struct losses *losses)
{
	free_rows(&losses->by_second);
	free_rows(&losses->by_route);
}

static struct losses_row *row_of(struct losses_row **rows, struct str key)
{
	char name[LOSSES_KEY_SIZE];
	struct losses_row *row;

	str_copy(name, sizeof(name), key);
	HASH_FIND_STR(*rows, name, row);
	if (row)
		return row;
	row = mem_zalloc(sizeof(*row));
	memcpy(row->key, name, sizeof(name));
	HASH_ADD_STR(*rows, key, row);
	return row;
}

static enum loss_cause cause_of_error(const char *error)
{
	size_t i;

	for (i = 0; i < sizeof(by_error) / sizeof(*by_error); i++) {
		if (!strcmp(error, error_name(by_error[i].code)))
			return by_error[i].cause;
	}
	return LOSS_BROKEN;
}

static enum loss_cause cause_of_answer(struct json_object *line)
{
	int64_t goal = MSEC(json_value_int(line, "goal_ms"));

	if (goal && json_value_int(line, "took_us") > goal)
		return LOSS_LATE;
	if (json_value_int(line, "parts_in") < json_value_int(line, "parts"))
		return LOSS_PARTS;
	return LOSS_NONE;
}

static enum loss_cause cause_of_request(struct json_object *line)
{
	int64_t status = json_value_int(line, "status");

	if (!status)
		return LOSS_LEFT;
	/* Answers of the service's own pass, whatever they say. */
	if (status / 100 == 2 ||
	    !strcmp(json_value_text(line, "error"), error_name(ERR_NONE)))
		return cause_of_answer(line);
	return cause_of_error(json_value_text(line, "error"));
}

static enum loss_cause cause_of_refusal(struct json_object *line)
{
	const char *why = json_value_text(line, "why");

	if (!strcmp(why, "starting") || !strcmp(why, "routes_may_be_old"))
		return LOSS_NO_ROUTES;
	return !strcmp(why, "early") ? LOSS_EARLY : LOSS_REQUEST;
}

static void count(struct losses_row *row, enum loss_cause cause,
		  struct json_object *line)
{
	row->causes[cause]++;
	if (cause != LOSS_NONE && cause != LOSS_PARTS)
		return;
	row->parts += (uint64_t)json_value_int(line, "parts");
	row->parts_in += (uint64_t)json_value_int(line, "parts_in");
}

static void take(struct losses *losses, struct json_object *line)
{
	const char *event = json_value_text(line, "event");
	struct str second = {json_value_text(line, "time"), SECOND_LEN};
	enum loss_cause cause;

	if (strlen(second.data) < SECOND_LEN)
		return;
	/* Seconds in which any instance wrote have a row. */
	row_of(&losses->by_second, second);
	if (!strcmp(event, "request"))
		cause = cause_of_request(line);
	else if (!strcmp(event, "request_refused"))
		cause = cause_of_refusal(line);
	else
		return;
	count(row_of(&losses->by_second, second), cause, line);
	count(row_of(&losses->by_route,
		     str_from(json_value_text(line, "route"))),
	      cause, line);
	count(&losses->total, cause, line);
}

void losses_add_line(struct losses *losses, struct str line)
{
	const char *brace = memchr(line.data, '{', line.len);
	struct json_object *root = NULL;

	losses->lines++;
	if (brace) {
		line.len -= (size_t)(brace - line.data);
		line.data = brace;
		root = json_value_parse(line);
	}
	if (!root) {
		losses->unreadable++;
		return;
	}
	take(losses, root);
	json_object_put(root);
}

static int by_key(const struct losses_row *a, const struct losses_row *b)
{
	return strcmp(a->key, b->key);
}

static uint64_t sum(const struct losses_row *row)
{
	uint64_t n = 0;
	int i;

	for (i = 0; i < LOSS_CAUSES; i++)
		n += row->causes[i];
	return n;
}

static void print_head(const char *title, FILE *out)
{
	int i;

	fprintf(out, "%-20s", title);
	for (i = 0; i < LOSS_CAUSES; i++)
		fprintf(out, " %9s", names[i]);
	fprintf(out, " %9s\n", "shards in");
}

static void print_row(const struct losses_row *row, const char *key, FILE *out)
{
	int i;

	fprintf(out, "%-20s", key);
	for (i = 0; i < LOSS_CAUSES; i++)
		fprintf(out, " %9" PRIu64, row->causes[i]);
	if (row->parts)
		fprintf(out, " %9.3f\n",
			(double)row->parts_in / (double)row->parts);
	else
		fprintf(out, " %9s\n", "-");
}

void losses_text(struct losses *losses, FILE *out)
{
	const struct losses_row *row;
	int i;

	HASH_SORT(losses->by_second, by_key);
	HASH_SORT(losses->by_route, by_key);
	fprintf(out, "%" PRIu64 " requests in %" PRIu64 " lines",
		sum(&losses->total), losses->lines);
	if (losses->unreadable)
		fprintf(out, ", %" PRIu64 " of which cannot be read",
			losses->unreadable);
	fprintf(out, "\n\n");
	for (i = 0; i < LOSS_CAUSES; i++)
		fprintf(out, "%-10s %s\n", names[i], texts[i]);
	fprintf(out, "\n");
	print_head("second", out);
	for (row = losses->by_second; row; row = row->hh.next)
		print_row(row, row->key, out);
	fprintf(out, "\n");
	print_head("route", out);
	for (row = losses->by_route; row; row = row->hh.next)
		print_row(row, row->key, out);
	print_row(&losses->total, "all", out);
}

static struct json_object *row_json(const struct losses_row *row)
{
	struct json_object *object = json_object_new_object();
	int i;

	for (i = 0; i < LOSS_CAUSES; i++)
		json_value_add_int(object, names[i], (int64_t)row->causes[i]);
	json_value_add_int(object, "shards_asked", (int64_t)row->parts);
	json_value_add_int(object, "shards_in", (int64_t)row->parts_in);
	return object;
}

static struct json_object *rows_json(const struct losses_row *rows)
{
	struct json_object *object = json_object_new_object();
	const struct losses_row *row;

	for (row = rows; row; row = row->hh.next)
		json_object_object_add(object, row->key, row_json(row));
	return object;
}

struct json_object *losses_json(struct losses *losses)
{
	struct json_object *root = json_object_new_object();

	HASH_SORT(losses->by_second, by_key);
	HASH_SORT(losses->by_route, by_key);
	json_value_add_int(root, "lines", (int64_t)losses->lines);
	json_value_add_int(root, "unreadable", (int64_t)losses->unreadable);
	json_object_object_add(root, "seconds", rows_json(losses->by_second));
	json_object_object_add(root, "routes", rows_json(losses->by_route));
	json_object_object_add(root, "all", row_json(&losses->total));
	return root;
}
