#define LOG_MODULE "instances"
#include "instances.h"

#include <string.h>

#include <json-c/json.h>

#include "error.h"
#include "json_value.h"
#include "log.h"

/* Names are kept as C strings of limited size. */
static bool is_name(struct str text)
{
	return text.len && text.len < FLEET_NAME_SIZE &&
	       !memchr(text.data, '\0', text.len);
}

static void apply_instance(struct fleet *fleet, struct json_object *item)
{
	struct str name = json_value_str(item, "instance");
	struct str dc = json_value_str(item, "data_centre");
	struct fleet_member *member;
	struct address peer;
	struct address caller;

	if (!is_name(name) || !is_name(dc) ||
	    address_parse(json_value_str(item, "peer_address"), &peer) ||
	    address_parse(json_value_str(item, "caller_address"), &caller)) {
		LOG_WARN("instance_bad", LOG_STR("name", name));
		return;
	}
	member = fleet_find_or_add(fleet, name);
	str_copy(member->data_centre, sizeof(member->data_centre), dc);
	member->peer_address = peer;
	member->caller_address = caller;
	member->status = str_eq_text(json_value_str(item, "state"), "leaving")
				 ? FLEET_LEAVING
				 : FLEET_ALIVE;
	member->seen = true;
}

int instances_apply(struct fleet *fleet, struct str text)
{
	struct json_tokener *tok = json_tokener_new();
	struct json_object *list;
	struct fleet_member *member;
	struct fleet_member *next;
	size_t i;

	list = json_tokener_parse_ex(tok, text.data, (int)text.len);
	json_tokener_free(tok);
	if (!json_object_is_type(list, json_type_array)) {
		json_object_put(list);
		return ERR_SYNTAX;
	}
	HASH_ITER (hh, fleet->members, member, next)
		member->seen = false;
	for (i = 0; i < json_object_array_length(list); i++)
		apply_instance(fleet, json_object_array_get_idx(list, i));
	HASH_ITER (hh, fleet->members, member, next) {
		if (!member->seen)
			fleet_remove(fleet, member);
	}
	json_object_put(list);
	return 0;
}
