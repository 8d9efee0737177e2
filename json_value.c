#include "json_value.h"

#include <math.h>

#include <json-c/json.h>

#include "str.h"

struct json_object *json_value_parse(struct str text)
{
	struct json_tokener *tokener = json_tokener_new();
	struct json_object *root =
		json_tokener_parse_ex(tokener, text.data, (int)text.len);

	json_tokener_free(tokener);
	if (json_object_is_type(root, json_type_object))
		return root;
	json_object_put(root);
	return NULL;
}

const char *json_value_text(struct json_object *object, const char *key)
{
	struct json_object *value;

	if (!json_object_object_get_ex(object, key, &value) || !value)
		return "-";
	return json_object_get_string(value);
}

struct str json_value_str(struct json_object *object, const char *key)
{
	struct json_object *value = json_object_object_get(object, key);

	if (!json_object_is_type(value, json_type_string))
		return STR("");
	return (struct str){json_object_get_string(value),
			    (size_t)json_object_get_string_len(value)};
}

int64_t json_value_int(struct json_object *object, const char *key)
{
	return json_object_get_int64(json_object_object_get(object, key));
}

double json_value_number(struct json_object *object, const char *key)
{
	return json_object_get_double(json_object_object_get(object, key));
}

struct json_object *json_value_list(struct json_object *object, const char *key)
{
	struct json_object *list = json_object_object_get(object, key);

	return json_object_is_type(list, json_type_array) ? list : NULL;
}

void json_value_copy(struct json_object *object, const char *key, char *out,
		     size_t size)
{
	struct json_object *value = json_object_object_get(object, key);

	if (json_object_is_type(value, json_type_string))
		str_copy(out, size, str_from(json_object_get_string(value)));
}

void json_value_add_text(struct json_object *object, const char *key,
			 const char *value)
{
	json_object_object_add(object, key, json_object_new_string(value));
}

void json_value_add_int(struct json_object *object, const char *key,
			int64_t value)
{
	json_object_object_add(object, key, json_object_new_int64(value));
}

void json_value_add_number(struct json_object *object, const char *key,
			   double value)
{
	json_object_object_add(object, key,
			       isfinite(value) ? json_object_new_double(value)
					       : NULL);
}
