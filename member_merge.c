/* What peers say of members, and how it stands to what is known here. */
#include "member_private.h"

#include <string.h>

#include "clock.h"

/* Peers say that we are silent, or that somebody with our name is gone. */
static void merge_self(struct member_table *table, const Peer__Member *update)
{
	struct member *self = &table->self;

	if (update->incarnation != self->incarnation) {
		if (update->status == PEER__MEMBER_STATUS__GONE)
			return;
		if (member_is_tombstone(table, update->incarnation))
			return;
		/* A process before us, at our address: we prove its end. */
		member_add_tombstone(table, update->incarnation);
		self->replaces = update->incarnation;
		member_queue_update(table, self);
		return;
	}
	if (update->status == PEER__MEMBER_STATUS__GONE) {
		if (self->status != MEMBER_GONE)
			member_renew_incarnation(table);
		return;
	}
	if (update->status != PEER__MEMBER_STATUS__SUSPECT ||
	    update->counter < self->counter)
		return;
	self->counter = update->counter + 1;
	if (table->health < MEMBER_HEALTH_MAX)
		table->health++;
	member_queue_update(table, self);
}

/* Same incarnation: the higher counter wins, then the graver status. */
static void merge_status(struct member_table *table, struct member *member,
			 const Peer__Member *update)
{
	enum member_status status = (enum member_status)update->status;

	/* Not known yet of one that was met by its heartbeat. */
	if (update->capacity != member->capacity) {
		member->capacity = update->capacity;
		table->version++;
	}

	if (status == MEMBER_GONE) {
		member_mark_gone(table, member, update->proven);
		return;
	}
	if (member->status == MEMBER_GONE)
		return;
	if (update->counter < member->counter)
		return;
	if (update->counter == member->counter && status <= member->status) {
		if (status == member->status && status == MEMBER_ALIVE)
			member_update_repeated(table, member);
		return;
	}
	/* A leaving member does not come back in this incarnation. */
	if (member->status == MEMBER_LEAVING)
		status = MEMBER_LEAVING;
	member->counter = update->counter;
	if (status == MEMBER_ALIVE) {
		member->silent_since = 0;
		member->dropped = false;
	}
	if (status != member->status)
		member_set_status(table, member, status, member->incarnation);
	member_queue_update(table, member);
}

static void adopt_update(struct member_table *table, struct member *member,
			 const Peer__Member *update,
			 const struct address *peer_address,
			 const struct address *caller_address)
{
	member_set_location(member, update->data_centre, peer_address,
			    caller_address);
	member_adopt_incarnation(table, member, update->incarnation,
				 update->replaces);
	member->counter = update->counter;
	member->capacity = update->capacity;
	if (update->status != PEER__MEMBER_STATUS__ALIVE)
		member_set_status(table, member,
				  (enum member_status)update->status,
				  update->incarnation);
}

/* A peer holds a process for gone of which we knew the name at most. */
static void merge_unknown_gone(struct member_table *table,
			       struct member *member,
			       const Peer__Member *update,
			       const struct address *peer_address)
{
	member_add_tombstone(table, update->incarnation);
	if (member->incarnation ||
	    !address_eq(&member->peer_address, peer_address))
		return;
	member->incarnation = update->incarnation;
	member_mark_gone(table, member, update->proven);
}

static bool unreleased(const struct member_table *table,
		       const struct member *member)
{
	return member->status == MEMBER_GONE &&
	       clock_now(table->clock) < member->released_at;
}

static void merge_other_incarnation(struct member_table *table,
				    struct member *member,
				    const Peer__Member *update,
				    const struct address *peer_address,
				    const struct address *caller_address)
{
	if (member_present(member) && update->replaces == member->incarnation) {
		adopt_update(table, member, update, peer_address,
			     caller_address);
		return;
	}
	if (member_present(member) || unreleased(table, member)) {
		/*
		 * Which of the two lives is seen only by asking: the news may
		 * be older than what we know.
		 */
		member_probe_now(table, member);
		return;
	}
	adopt_update(table, member, update, peer_address, caller_address);
}

void member_merge(struct member_table *table, const Peer__Member *update)
{
	struct address peer_address;
	struct address caller_address;
	struct member *member;

	if (!update->incarnation || !*update->instance ||
	    update->status > PEER__MEMBER_STATUS__GONE)
		return;
	if (!strcmp(update->instance, table->self.instance)) {
		merge_self(table, update);
		return;
	}
	if (address_parse(str_from(update->peer_address), &peer_address) ||
	    address_parse(str_from(update->caller_address), &caller_address))
		return;
	member = member_table_find(table, update->instance);
	if (member && member->incarnation == update->incarnation) {
		merge_status(table, member, update);
		return;
	}
	if (update->status != PEER__MEMBER_STATUS__GONE &&
	    member_is_tombstone(table, update->incarnation))
		return;
	if (!member)
		member =
			member_add(table, update->instance, update->data_centre,
				   &peer_address, &caller_address);
	if (update->status == PEER__MEMBER_STATUS__GONE) {
		merge_unknown_gone(table, member, update, &peer_address);
		return;
	}
	merge_other_incarnation(table, member, update, &peer_address,
				&caller_address);
}
