/* The messages by which an instance tells its view of the store. */
#ifndef VIEW_UPDATE_H
#define VIEW_UPDATE_H

#include "cordon.h"
#include "view_share.h"

/**
 * struct view_update - a message and what it points to
 * @packed: its long parts, or NULL
 */
struct view_update {
	Peer__ViewUpdate message;
	Peer__ViewCordon cordons[CORDONS_MAX];
	Peer__ViewCordon *cordon_pointers[CORDONS_MAX];
	Peer__ViewServer *rows;
	Peer__ViewServer **pointers;
	char (*addresses)[ADDRESS_TEXT_SIZE];
	uint8_t *packed;
	int n;
	int max;
};

/**
 * view_update_count_changes() - changes since a revision of the store
 *
 * Return: how many; -1 if some of them are not kept.
 */
int view_update_count_changes(const struct view_share *share, uint64_t since);

/**
 * view_update_changes() - begin a message with the last @n changes
 * @since: the revision that they follow
 */
void view_update_changes(struct view_share *share, struct view_update *update,
			 uint64_t since, int n);

/**
 * view_update_snapshot() - begin a message with all servers
 */
void view_update_snapshot(struct view_share *share, struct view_update *update);

/**
 * view_update_fill_ages() - add what is short and told each time: versions,
 * ages, and the cordons that hold
 */
void view_update_fill_ages(const struct view_share *share,
			   struct view_update *update);

/**
 * view_update_add_state() - end a message: the above, and its rows and the
 * routes, packed
 */
void view_update_add_state(const struct view_share *share,
			   struct view_update *update, bool with_routes);
void view_update_finish(struct view_update *update);

#endif
