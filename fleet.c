#include "fleet.h"

#include <stdlib.h>

#include "mem.h"

void fleet_init(struct fleet *fleet)
{
	fleet->members = NULL;
}

void fleet_finish(struct fleet *fleet)
{
	struct fleet_member *member;
	struct fleet_member *tmp;

	HASH_ITER (hh, fleet->members, member, tmp)
		fleet_remove(fleet, member);
}

struct fleet_member *fleet_find(const struct fleet *fleet, struct str instance)
{
	struct fleet_member *member;

	HASH_FIND(hh, fleet->members, instance.data, instance.len, member);
	return member;
}

struct fleet_member *fleet_find_or_add(struct fleet *fleet, struct str instance)
{
	struct fleet_member *member = fleet_find(fleet, instance);

	if (member)
		return member;
	member = mem_zalloc(sizeof(*member));
	str_copy(member->instance, sizeof(member->instance), instance);
	HASH_ADD_STR(fleet->members, instance, member);
	return member;
}

void fleet_remove(struct fleet *fleet, struct fleet_member *member)
{
	HASH_DEL(fleet->members, member);
	free(member);
}
