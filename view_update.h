/* Builds the messages that carry an instance's view of the store. */
#ifndef VIEW_UPDATE_H
#define VIEW_UPDATE_H

#include "cordon.h"
#include "view_share.h"

/**
 * struct view_update - a message and the memory it points to
 * @message: borrows from the fields below and from the view
 * @cordons: rows of @message
 * @cordon_pointers: to @cordons
 * @rows: servers in @message
 * @row_pointers: to @rows
 * @addresses: text of the address of each row
 * @packed: compressed routes and servers, or NULL; owned
 * @n_rows: rows in use
 * @max: rows that were allocated for
 */
struct view_update {
	Peer__ViewUpdate message;
	Peer__ViewCordon cordons[CORDONS_MAX];
	Peer__ViewCordon *cordon_pointers[CORDONS_MAX];
	Peer__ViewServer *rows;
	Peer__ViewServer **row_pointers;
	char (*addresses)[ADDRESS_TEXT_SIZE];
	uint8_t *packed;
	int n_rows;
	int max;
};

/**
 * view_update_count_changes() - count changes since a revision of the store
 *
 * Return: their number; -1 if some of them are not recorded.
 */
int view_update_count_changes(const struct view_share *share, uint64_t since);

/**
 * view_update_changes() - begin a message with the last @n changes
 * @since: the store's revision that the receiver must have
 */
void view_update_changes(struct view_share *share, struct view_update *update,
			 uint64_t since, int n);

/**
 * view_update_snapshot() - begin a message with all servers
 */
void view_update_snapshot(struct view_share *share, struct view_update *update);

/**
 * view_update_failure() - a message that a call of the store failed, and no
 * more
 */
void view_update_failure(const struct view_share *share,
			 struct view_update *update);

/**
 * view_update_fill_ages() - add versions, ages and cordons, which every message
 * contains
 */
void view_update_fill_ages(const struct view_share *share,
			   struct view_update *update);

/**
 * view_update_add_state() - complete a message: add versions, ages, cordons and
 * rows, optionally the routes, and compress it
 */
void view_update_add_state(const struct view_share *share,
			   struct view_update *update, bool with_routes);

/**
 * view_update_finish() - free all memory
 */
void view_update_finish(struct view_update *update);

#endif
