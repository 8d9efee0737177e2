#define LOG_MODULE "instances"
#include "instances.h"

#include <json-c/json.h>

#include "error.h"
#include "log.h"

static struct str member_text(struct json_object *item, const char *key)
{
	struct json_object *value;

	if (!json_object_object_get_ex(item, key, &value) ||
	    !json_object_is_type(value, json_type_string))
		return STR("");
	return str_from(json_object_get_string(value));
}

static void take_instance(struct fleet *fleet, struct json_object *item)
{
	struct str name = member_text(item, "instance");
	struct str dc = member_text(item, "data_centre");
	struct fleet_member *member;
	struct address peer;
	struct address caller;

	if (!name.len || name.len >= FLEET_NAME_SIZE || !dc.len ||
	    dc.len >= FLEET_NAME_SIZE ||
	    address_parse(member_text(item, "peer_address"), &peer) ||
	    address_parse(member_text(item, "caller_address"), &caller)) {
		LOG_WARN("instance_bad", LOG_STR("name", name));
		return;
	}
	member = fleet_find_or_add(fleet, name);
	str_copy(member->data_centre, sizeof(member->data_centre), dc);
	member->peer_address = peer;
	member->caller_address = caller;
	member->status = str_eq_text(member_text(item, "state"), "leaving")
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
		take_instance(fleet, json_object_array_get_idx(list, i));
	HASH_ITER (hh, fleet->members, member, next) {
		if (!member->seen)
			fleet_remove(fleet, member);
	}
	json_object_put(list);
	return 0;
}
