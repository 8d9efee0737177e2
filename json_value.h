/* Helpers to read and add members of json-c objects. */
#ifndef JSON_VALUE_H
#define JSON_VALUE_H

#include <stddef.h>
#include <stdint.h>

#include "str.h"

struct json_object;

/**
 * json_value_parse() - parse an object from text that need not end with a NUL
 * @text: JSON
 *
 * Return: the object, to be released with json_object_put(); NULL if the text
 * is not an object.
 */
struct json_object *json_value_parse(struct str text);

/**
 * json_value_text() - a member as text
 * @object: the object
 * @key: name of the member
 *
 * Return: borrowed from the object; "-" if the member is missing or null.
 */
const char *json_value_text(struct json_object *object, const char *key);

/**
 * json_value_str() - a member that is a string, with its length
 * @object: the object
 * @key: name of the member
 *
 * Return: borrowed from the object, and may hold a NUL; empty if the member is
 * missing or no string.
 */
struct str json_value_str(struct json_object *object, const char *key);

/**
 * json_value_int() - a member as an integer, 0 if it is missing
 * @object: the object
 * @key: name of the member
 */
int64_t json_value_int(struct json_object *object, const char *key);

/**
 * json_value_number() - a member as a number, 0 if it is missing
 * @object: the object
 * @key: name of the member
 */
double json_value_number(struct json_object *object, const char *key);

/**
 * json_value_list() - a member that is an array; NULL if it is not one
 * @object: the object
 * @key: name of the member
 *
 * Return: borrowed from the object.
 */
struct json_object *json_value_list(struct json_object *object,
				    const char *key);

/**
 * json_value_copy() - copy a member that is a string, truncated to fit
 * @object: the object
 * @key: name of the member
 * @out: NUL-terminated; unchanged if the member is not a string
 * @size: of @out, bytes
 */
void json_value_copy(struct json_object *object, const char *key, char *out,
		     size_t size);

void json_value_add_text(struct json_object *object, const char *key,
			 const char *value);
void json_value_add_int(struct json_object *object, const char *key,
			int64_t value);

/**
 * json_value_add_number() - add a number, or null if it is not finite
 * @object: the object
 * @key: name of the member
 * @value: the number
 */
void json_value_add_number(struct json_object *object, const char *key,
			   double value);

#endif
