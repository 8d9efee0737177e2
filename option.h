/*
 * Described values: one list of names, types, units, bounds and defaults reads
 * the settings, the sheets of the table, and prints their documentation.
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
 * struct option_spec - one described value
 * @name: key or column
 * @type: what it is, and what stands at @offset
 * @offset: in the struct that is filled
 * @required: without a default
 * @min: lower bound of a number; least length of a string
 * @max: upper bound of a number; greatest length of a string
 * @def: default number, or index of an enum
 * @def_text: default string, or NULL
 * @names: of an enum, ended by NULL
 * @unit: "ms", "requests", ... or NULL
 * @help: one line on its effect
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
 * option_find() - the option of that name
 *
 * Return: its index, or ERR_KEY_UNKNOWN.
 */
int option_find(const struct option_spec *options, int n, const char *name);

/**
 * option_read() - check a JSON value and store it
 * @option: what it must be
 * @value: JSON
 * @base: the struct that is filled
 * @subject: where it stands, for @err
 * @err: filled on failure
 *
 * Return: 0, or ERR_TYPE, ERR_RANGE or ERR_ADDRESS.
 */
int option_read(const struct option_spec *option, struct json_object *value,
		void *base, const char *subject, struct error *err);

/**
 * option_read_addresses() - read a list of "IP:PORT"
 * @out: room for @max
 * @n: set to how many there are
 * @subject: the list's key, for @err
 *
 * Return: 0, or ERR_TYPE, ERR_RANGE (none, or more than @max) or ERR_ADDRESS.
 */
int option_read_addresses(struct json_object *list, struct address *out,
			  int max, int *n, const char *subject,
			  struct error *err);

/**
 * option_check_required() - every required key has a value
 *
 * Return: 0, or ERR_KEY_MISSING.
 */
int option_check_required(const struct option_spec *options, int n,
			  struct json_object *root, struct error *err);

/**
 * option_set_defaults() - store every default
 *
 * Strings without a default become NULL, addresses port 0.
 */
void option_set_defaults(const struct option_spec *options, int n, void *base);

/**
 * option_finish() - free the strings of a struct
 */
void option_finish(const struct option_spec *options, int n, void *base);

/**
 * option_parse_document() - parse JSON with comments
 * @text: the document
 * @out: the root object on success; release with json_object_put()
 * @err: filled with the line on failure
 *
 * Return: 0, ERR_SYNTAX, or ERR_TYPE if the root is no object.
 */
int option_parse_document(const char *text, size_t len,
			  struct json_object **out, struct error *err);

#endif
