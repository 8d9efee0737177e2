/*
 * Row differences between two tables, which are stored and sent to peers
 * instead of the full text.
 */
#ifndef TABLE_DELTA_H
#define TABLE_DELTA_H

#include "peer.pb-c.h"
#include "table.h"

/**
 * struct table_delta - changes that turn one table into another
 * @base_revision: revision of the table that the delta applies to
 * @base_digest: digest of that table
 * @revision: revision of the result
 * @digest: digest of the result
 * @changes: sorted by sheet and name, each row at most once; owned
 * @n: number of @changes
 * @bytes: total length of all names and cells
 */
struct table_delta {
	uint64_t base_revision;
	uint64_t base_digest;
	uint64_t revision;
	uint64_t digest;
	struct table_change *changes;
	int n;
	size_t bytes;
};

/**
 * table_delta_init() - compute the changes from one table to another
 * @delta: initialized on success; release with table_delta_finish()
 * @from: base table
 * @to: resulting table
 *
 * Return: 0; ERR_TOO_LARGE if the full text should be sent instead, because
 * the columns of a sheet differ or the changes exceed half the text.
 */
int table_delta_init(struct table_delta *delta, const struct table *from,
		     const struct table *to);

/**
 * table_delta_join() - combine two consecutive deltas into one
 * @out: initialized in any case; release with table_delta_finish()
 * @first: its result must be the base of @second
 * @second: wins where both change a row
 *
 * Return: 0, or ERR_VERSION if the deltas are not consecutive.
 */
int table_delta_join(struct table_delta *out, const struct table_delta *first,
		     const struct table_delta *second);

/**
 * table_delta_apply() - create the resulting table
 * @delta: changes to apply
 * @table: initialized on success; release with table_finish()
 * @from: base table
 * @err: set as by table_init()
 *
 * Return: 0; ERR_VERSION if @from is not the base; ERR_PROTOCOL if the digest
 * of the result is not that of @delta; or an error of table_init().
 */
int table_delta_apply(const struct table_delta *delta, struct table *table,
		      const struct table *from, struct error *err);

/**
 * table_delta_read() - read a delta from a peer's message
 * @delta: initialized on success; release with table_delta_finish()
 * @message: copied
 *
 * Return: 0, or ERR_PROTOCOL for an unknown sheet or unsorted rows.
 */
int table_delta_read(struct table_delta *delta,
		     const Peer__TableUpdate *message);

/**
 * table_delta_write() - write a delta to a message
 * @delta: must outlive @message
 * @message: borrows from @delta; release with table_delta_write_finish()
 */
void table_delta_write(const struct table_delta *delta,
		       Peer__TableUpdate *message);
void table_delta_write_finish(Peer__TableUpdate *message);
void table_delta_finish(struct table_delta *delta);

#endif
