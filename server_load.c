#include "server_load.h"

#include <stdbool.h>

#include "error.h"

/* Comma-separated numbers, and their maximum length. */
#define FIELDS_MIN 3
#define FIELDS_MAX 4
#define DIGITS_MAX 6
/* 100 times slower or faster exceeds the noise of any machine. */
#define SLOWDOWN_PCT_MIN 1
#define SLOWDOWN_PCT_MAX 10000

static bool is_space(char c)
{
	return c == ' ' || c == '\t';
}

static struct str trim(struct str text)
{
	while (text.len && is_space(text.data[0])) {
		text.data++;
		text.len--;
	}
	while (text.len && is_space(text.data[text.len - 1]))
		text.len--;
	return text;
}

static int parse_field(struct str text, int32_t *out)
{
	uint64_t n;
	int ret;

	text = trim(text);
	if (!text.len || text.len > DIGITS_MAX)
		return text.len ? ERR_RANGE : ERR_SYNTAX;
	ret = str_parse_u64(text, &n);
	*out = (int32_t)n;
	return ret;
}

/* Return: the number of fields, or an error code. */
static int parse_fields(struct str text, int32_t fields[FIELDS_MAX])
{
	int n = 0;
	size_t from = 0;
	size_t i;

	for (i = 0; i <= text.len; i++) {
		int ret;

		if (i < text.len && text.data[i] != ',')
			continue;
		if (n == FIELDS_MAX)
			return ERR_SYNTAX;
		ret = parse_field((struct str){text.data + from, i - from},
				  &fields[n++]);
		if (ret)
			return ret;
		from = i + 1;
	}
	return n;
}

int server_load_parse(struct str text, struct server_load *out)
{
	int32_t fields[FIELDS_MAX] = {0, 0, 0, SERVER_SLOWDOWN_NONE};
	int n = parse_fields(text, fields);

	if (n < 0)
		return n;
	if (n < FIELDS_MIN)
		return ERR_SYNTAX;
	if (fields[2] < 1 || fields[3] < SLOWDOWN_PCT_MIN ||
	    fields[3] > SLOWDOWN_PCT_MAX)
		return ERR_RANGE;
	out->running = fields[0];
	out->waiting = fields[1];
	out->slots = fields[2];
	out->slowdown_pct = fields[3];
	return 0;
}
