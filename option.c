#include "option.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include "address.h"
#include "mem.h"

static void *field(const struct option_spec *option, void *base)
{
	return (char *)base + option->offset;
}

int option_find(const struct option_spec *options, int n, const char *name)
{
	int i;

	for (i = 0; i < n; i++) {
		if (!strcmp(options[i].name, name))
			return i;
	}
	return ERR_KEY_UNKNOWN;
}

static int fail(struct error *err, int code, const char *subject,
		struct json_object *value, const char *expected)
{
	return error_set(err, code, subject,
			 value ? json_object_to_json_string_ext(
					 value, JSON_C_TO_STRING_PLAIN)
			       : "null",
			 expected);
}

static int read_string(const struct option_spec *option,
		       struct json_object *value, void *base,
		       const char *subject, struct error *err)
{
	char **slot = field(option, base);
	size_t len;

	if (!json_object_is_type(value, json_type_string))
		return fail(err, ERR_TYPE, subject, value, "a string");
	len = (size_t)json_object_get_string_len(value);
	if ((double)len < option->min || (double)len > option->max)
		return fail(err, ERR_RANGE, subject, value,
			    "a string of another length");
	/* Names end up in URLs, logs and C strings. */
	if (strlen(json_object_get_string(value)) != len)
		return fail(err, ERR_RANGE, subject, value,
			    "a string without NUL");
	free(*slot);
	*slot = mem_dup(json_object_get_string(value));
	return 0;
}

static int read_number(const struct option_spec *option,
		       struct json_object *value, void *base,
		       const char *subject, struct error *err)
{
	bool whole = option->type == OPTION_INT;
	double number;

	if (!json_object_is_type(value, json_type_int) &&
	    (whole || !json_object_is_type(value, json_type_double)))
		return fail(err, ERR_TYPE, subject, value,
			    whole ? "a whole number" : "a number");
	number = json_object_get_double(value);
	if (!isfinite(number) || number < option->min || number > option->max)
		return fail(err, ERR_RANGE, subject, value,
			    "a number within its bounds");
	if (whole)
		*(int64_t *)field(option, base) = json_object_get_int64(value);
	else
		*(double *)field(option, base) = number;
	return 0;
}

static int read_enum(const struct option_spec *option,
		     struct json_object *value, void *base, const char *subject,
		     struct error *err)
{
	const char *text;
	int i;

	if (!json_object_is_type(value, json_type_string))
		return fail(err, ERR_TYPE, subject, value, "one of the names");
	text = json_object_get_string(value);
	for (i = 0; option->names[i]; i++) {
		if (strcmp(option->names[i], text))
			continue;
		*(int *)field(option, base) = i;
		return 0;
	}
	return fail(err, ERR_RANGE, subject, value, "one of the names");
}

static int read_address(const struct option_spec *option,
			struct json_object *value, void *base,
			const char *subject, struct error *err)
{
	if (!json_object_is_type(value, json_type_string))
		return fail(err, ERR_TYPE, subject, value, "\"IP:PORT\"");
	if (address_parse(str_from(json_object_get_string(value)),
			  field(option, base)))
		return fail(err, ERR_ADDRESS, subject, value, "\"IP:PORT\"");
	return 0;
}

int option_read(const struct option_spec *option, struct json_object *value,
		void *base, const char *subject, struct error *err)
{
	switch (option->type) {
	case OPTION_STRING:
		return read_string(option, value, base, subject, err);
	case OPTION_INT:
	case OPTION_DOUBLE:
		return read_number(option, value, base, subject, err);
	case OPTION_ENUM:
		return read_enum(option, value, base, subject, err);
	case OPTION_ADDRESS:
		return read_address(option, value, base, subject, err);
	}
	return ERR_TYPE;
}

int option_read_addresses(struct json_object *list, struct address *out,
			  int max, int *n, const char *subject,
			  struct error *err)
{
	const struct option_spec option = {.type = OPTION_ADDRESS};
	char where[ERROR_SUBJECT_SIZE];
	size_t len;
	size_t i;
	int ret;

	if (!json_object_is_type(list, json_type_array))
		return error_set(err, ERR_TYPE, subject, NULL,
				 "a list of \"IP:PORT\"");
	len = json_object_array_length(list);
	if (!len || len > (size_t)max)
		return error_set(err, ERR_RANGE, subject, NULL,
				 "1 to 8 addresses");
	for (i = 0; i < len; i++) {
		snprintf(where, sizeof(where), "%s[%zu]", subject, i);
		ret = option_read(&option, json_object_array_get_idx(list, i),
				  &out[i], where, err);
		if (ret)
			return ret;
	}
	*n = (int)len;
	return 0;
}

int option_check_required(const struct option_spec *options, int n,
			  struct json_object *root, struct error *err)
{
	struct json_object *value;
	int i;

	for (i = 0; i < n; i++) {
		if (!options[i].required)
			continue;
		if (!json_object_object_get_ex(root, options[i].name, &value) ||
		    !value)
			return error_set(err, ERR_KEY_MISSING, options[i].name,
					 NULL, options[i].help);
	}
	return 0;
}

static void set_default(const struct option_spec *option, void *base)
{
	void *slot = field(option, base);

	switch (option->type) {
	case OPTION_STRING:
		*(char **)slot =
			option->def_text ? mem_dup(option->def_text) : NULL;
		break;
	case OPTION_INT:
		*(int64_t *)slot = (int64_t)option->def;
		break;
	case OPTION_DOUBLE:
		*(double *)slot = option->def;
		break;
	case OPTION_ENUM:
		*(int *)slot = (int)option->def;
		break;
	case OPTION_ADDRESS:
		memset(slot, 0, sizeof(struct address));
		break;
	}
}

void option_set_defaults(const struct option_spec *options, int n, void *base)
{
	int i;

	for (i = 0; i < n; i++)
		set_default(&options[i], base);
}

void option_finish(const struct option_spec *options, int n, void *base)
{
	int i;

	for (i = 0; i < n; i++) {
		if (options[i].type != OPTION_STRING)
			continue;
		free(*(char **)field(&options[i], base));
		*(char **)field(&options[i], base) = NULL;
	}
}

static int line_of(const char *text, size_t offset)
{
	int line = 1;
	size_t i;

	for (i = 0; i < offset; i++)
		line += text[i] == '\n';
	return line;
}

static int fail_at(struct error *err, int code, const char *text, size_t offset,
		   const char *value, const char *expected)
{
	error_set(err, code, "document", value, expected);
	if (err)
		err->line = line_of(text, offset);
	return code;
}

/* Only white space and comments may follow the root object. */
static bool only_blanks(const char *text, size_t len)
{
	size_t i = 0;

	while (i < len) {
		const char *end;

		if (strchr(" \t\r\n", text[i]) && text[i]) {
			i++;
			continue;
		}
		if (i + 1 >= len || text[i] != '/')
			return false;
		if (text[i + 1] == '/') {
			end = memchr(text + i, '\n', len - i);
			if (!end)
				return true;
			i = (size_t)(end - text) + 1;
			continue;
		}
		if (text[i + 1] != '*')
			return false;
		end = memmem(text + i + 2, len - i - 2, "*/", 2);
		if (!end)
			return false;
		i = (size_t)(end - text) + 2;
	}
	return true;
}

int option_parse_document(const char *text, size_t len,
			  struct json_object **out, struct error *err)
{
	struct json_tokener *tok = json_tokener_new();
	enum json_tokener_error status;
	struct json_object *root;
	size_t end;

	*out = NULL;
	if (len > INT32_MAX) {
		json_tokener_free(tok);
		return error_set(err, ERR_TOO_LARGE, "document", NULL,
				 "less than 2 GiB");
	}
	/* What is read here goes out again in JSON and protocol buffers. */
	json_tokener_set_flags(tok, JSON_TOKENER_VALIDATE_UTF8);
	root = json_tokener_parse_ex(tok, text, (int)len);
	status = json_tokener_get_error(tok);
	end = json_tokener_get_parse_end(tok);
	json_tokener_free(tok);
	if (status != json_tokener_success) {
		json_object_put(root);
		return fail_at(err, ERR_SYNTAX, text, end,
			       json_tokener_error_desc(status), "JSON");
	}
	if (!only_blanks(text + end, len - end)) {
		json_object_put(root);
		return fail_at(err, ERR_SYNTAX, text, end,
			       "text after the root object", "the end");
	}
	if (!json_object_is_type(root, json_type_object)) {
		json_object_put(root);
		return fail_at(err, ERR_TYPE, text, 0, "no object",
			       "an object");
	}
	*out = root;
	return 0;
}
