/*
 * The distribution tree for new tables. The members of a data centre are ranked
 * by reader_score() and form a tree with the readers at the root, so instances
 * that know the same members compute the same tree. Other data centres are
 * reached through the first reader of each.
 */
#ifndef TABLE_PEERS_H
#define TABLE_PEERS_H

#include <stdbool.h>
#include <stdint.h>

#include "str.h"

/**
 * struct table_member - member of the fleet as given by the caller
 * @instance: name, borrowed
 * @data_centre: its data centre, borrowed
 * @leaving: shutting down; not part of the tree
 */
struct table_member {
	struct str instance;
	struct str data_centre;
	bool leaving;
};

/**
 * struct table_peer - member in the tree
 * @score: reader_score() of the instance
 * @instance: name, owned
 * @data_centre: its data centre, owned
 */
struct table_peer {
	uint64_t score;
	char *instance;
	char *data_centre;
};

/**
 * struct table_peers - ranked members of the fleet
 * @self: name of this instance
 * @data_centre: data centre of this instance
 * @local: members of this data centre that are not leaving, including this
 *         instance; highest score first
 * @n_local: number of @local
 * @remote: member with the highest score in each other data centre
 * @n_remote: number of @remote
 * @rank: index of this instance in @local; n_local if it is not there
 * @n_others: members of the whole fleet except this instance
 * @members_known: table_peers_set() was called at least once
 */
struct table_peers {
	char *self;
	char *data_centre;
	struct table_peer *local;
	int n_local;
	struct table_peer *remote;
	int n_remote;
	int rank;
	int n_others;
	bool members_known;
};

void table_peers_init(struct table_peers *peers, const char *self,
		      const char *data_centre);
void table_peers_finish(struct table_peers *peers);

/**
 * table_peers_set() - replace the members
 * @peers: ranked anew
 * @members: with or without this instance; copied
 * @n: number of @members
 */
void table_peers_set(struct table_peers *peers,
		     const struct table_member *members, int n);

/**
 * table_peers_children() - return the children of this instance in the tree
 * @peers: ranked members
 * @fanout: maximum number of children of each instance
 * @first: set to the index of the first child in @peers->local
 *
 * Return: the number of children.
 */
int table_peers_children(const struct table_peers *peers, int fanout,
			 int *first);

#endif
