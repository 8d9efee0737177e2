/*
 * Options: descriptions of values with their names, types, units, bounds and
 * defaults. They are used to read the settings and the sheets of the table, and
 * to generate their documentation.
 */
#ifndef OPTION_H
#define OPTION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "error.h"

struct address;
struct json_object;

enum option_type {
	OPTION_STRING,	/* char *, owned */
	OPTION_INT,	/* int64_t */
	OPTION_DOUBLE,	/* double */
	OPTION_ENUM,	/* int, index into names */
	OPTION_ADDRESS, /* struct address */
};

/**
 * struct option_spec - description of one value
 * @name: key or column
 * @type: type of the value and of the field at @offset
 * @offset: of the field in the struct that is filled
 * @required: must be given; has no default
 * @min: lower bound of a number; minimum length of a string, bytes
 * @max: upper bound of a number; maximum length of a string, bytes
 * @def: default number, or index of an enum
 * @def_text: default string, or NULL
 * @names: allowed names of an enum, terminated by NULL
 * @unit: "ms", "requests", ... or NULL
 * @help: one-line description of its effect
 */
struct option_spec {
	const char *name;
	enum option_type type;
	size_t offset;
	bool required;
	double min;
	double max;
	double def;
	const char *def_text;
	const char *const *names;
	const char *unit;
	const char *help;
};

/**
 * option_find() - find an option by name
 * @options: descriptions
 * @n: number of @options
 * @name: key or column
 *
 * Return: its index, or ERR_KEY_UNKNOWN.
 */
int option_find(const struct option_spec *options, int n, const char *name);

/**
 * option_read() - check a JSON value and store it
 * @option: description of the value
 * @value: JSON
 * @base: the struct that is filled
 * @subject: location of the value, for @err
 * @err: filled on failure
 *
 * Return: 0, or ERR_TYPE, ERR_RANGE or ERR_ADDRESS.
 */
int option_read(const struct option_spec *option, struct json_object *value,
		void *base, const char *subject, struct error *err);

/**
 * option_read_addresses() - read an array of "IP:PORT"
 * @list: JSON
 * @out: array of @max elements
 * @max: maximum number of addresses
 * @n: set to the number of addresses on success
 * @subject: key of the array, for @err
 * @err: filled on failure
 *
 * Return: 0, or ERR_TYPE, ERR_RANGE (none, or more than @max) or ERR_ADDRESS.
 */
int option_read_addresses(struct json_object *list, struct address *out,
			  int max, int *n, const char *subject,
			  struct error *err);

/**
 * option_check_required() - check that every required key has a value
 * @options: descriptions
 * @n: number of @options
 * @root: JSON object with the keys
 * @err: filled on failure
 *
 * Return: 0, or ERR_KEY_MISSING.
 */
int option_check_required(const struct option_spec *options, int n,
			  struct json_object *root, struct error *err);

/**
 * option_set_defaults() - store every default
 * @options: descriptions
 * @n: number of @options
 * @base: the struct that is filled; previous strings are not freed
 *
 * Strings without a default become NULL; addresses are zeroed.
 */
void option_set_defaults(const struct option_spec *options, int n, void *base);

/**
 * option_finish() - free the strings of a struct and set them to NULL
 * @options: descriptions
 * @n: number of @options
 * @base: the struct
 */
void option_finish(const struct option_spec *options, int n, void *base);

/**
 * option_parse_document() - parse JSON with comments
 * @text: the document
 * @len: of @text, bytes
 * @out: the root object on success; release with json_object_put()
 * @err: filled with the line on failure
 *
 * Return: 0, ERR_SYNTAX, ERR_TOO_LARGE (2 GiB or more), or ERR_TYPE if the root
 * is not an object.
 */
int option_parse_document(const char *text, size_t len,
			  struct json_object **out, struct error *err);

#endif
