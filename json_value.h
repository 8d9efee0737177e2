/* Members of json-c objects, read and added with less ado. */
#ifndef JSON_VALUE_H
#define JSON_VALUE_H

#include <stddef.h>
#include <stdint.h>

#include "str.h"

struct json_object;

/**
 * json_value_parse() - read an object from bytes without a NUL behind
 *
 * Return: the object, to be released with json_object_put(); NULL if the bytes
 * are no object.
 */
struct json_object *json_value_parse(struct str text);

/**
 * json_value_text() - a member as text
 *
 * Return: valid as long as the object; "-" if there is none.
 */
const char *json_value_text(struct json_object *object, const char *key);

/**
 * json_value_int() - a member as a whole number, 0 if there is none
 */
int64_t json_value_int(struct json_object *object, const char *key);

/**
 * json_value_number() - a member as a number, 0 if there is none
 */
double json_value_number(struct json_object *object, const char *key);

/**
 * json_value_list() - a member that is a list, or NULL
 */
struct json_object *json_value_list(struct json_object *object,
				    const char *key);

/**
 * json_value_copy() - copy a member that is a string; cut to fit
 * @out: left alone if there is none
 */
void json_value_copy(struct json_object *object, const char *key, char *out,
		     size_t size);

void json_value_add_text(struct json_object *object, const char *key,
			 const char *value);
void json_value_add_int(struct json_object *object, const char *key,
			int64_t value);

/**
 * json_value_add_number() - add a number; null if it is infinite
 */
void json_value_add_number(struct json_object *object, const char *key,
			   double value);

#endif
