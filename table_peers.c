#include "table_peers.h"

#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "reader.h"

void table_peers_init(struct table_peers *peers, const char *self,
		      const char *data_centre)
{
	memset(peers, 0, sizeof(*peers));
	peers->self = mem_dup(self);
	peers->data_centre = mem_dup(data_centre);
}

static void free_peers(struct table_peer *list, int n)
{
	int i;

	for (i = 0; i < n; i++) {
		free(list[i].instance);
		free(list[i].data_centre);
	}
	free(list);
}

void table_peers_finish(struct table_peers *peers)
{
	free_peers(peers->local, peers->n_local);
	free_peers(peers->remote, peers->n_remote);
	free(peers->self);
	free(peers->data_centre);
	memset(peers, 0, sizeof(*peers));
}

/* Highest score first; the name breaks ties. */
static int compare_peers(const void *a, const void *b)
{
	const struct table_peer *x = a;
	const struct table_peer *y = b;

	if (x->score != y->score)
		return x->score > y->score ? -1 : 1;
	return strcmp(x->instance, y->instance);
}

static struct table_peer new_peer(struct str instance, struct str dc)
{
	return (struct table_peer){
		.score = reader_score(instance),
		.instance = mem_dup_len(instance.data, instance.len),
		.data_centre = mem_dup_len(dc.data, dc.len),
	};
}

static void add_local(struct table_peers *peers, int *cap, struct str instance)
{
	MEM_GROW(peers->local, peers->n_local, *cap);
	peers->local[peers->n_local++] =
		new_peer(instance, str_from(peers->data_centre));
}

static void add_remote(struct table_peers *peers, int *cap,
		       const struct table_member *member)
{
	struct table_peer peer =
		new_peer(member->instance, member->data_centre);
	struct table_peer old;
	int i;

	for (i = 0; i < peers->n_remote; i++) {
		if (strcmp(peers->remote[i].data_centre, peer.data_centre))
			continue;
		old = peers->remote[i];
		if (compare_peers(&peer, &old) < 0) {
			peers->remote[i] = peer;
			peer = old;
		}
		free(peer.instance);
		free(peer.data_centre);
		return;
	}
	MEM_GROW(peers->remote, peers->n_remote, *cap);
	peers->remote[peers->n_remote++] = peer;
}

static int find_rank(const struct table_peers *peers)
{
	int i;

	for (i = 0; i < peers->n_local; i++) {
		if (!strcmp(peers->local[i].instance, peers->self))
			break;
	}
	return i;
}

static void clear_peers(struct table_peers *peers)
{
	free_peers(peers->local, peers->n_local);
	free_peers(peers->remote, peers->n_remote);
	peers->local = NULL;
	peers->n_local = 0;
	peers->remote = NULL;
	peers->n_remote = 0;
	peers->n_others = 0;
}

void table_peers_set(struct table_peers *peers,
		     const struct table_member *members, int n)
{
	bool self_leaving = false;
	int local_cap = 0;
	int remote_cap = 0;
	int i;

	clear_peers(peers);
	peers->members_known = true;
	for (i = 0; i < n; i++) {
		if (str_eq_text(members[i].instance, peers->self)) {
			self_leaving = members[i].leaving;
			continue;
		}
		peers->n_others++;
		if (members[i].leaving)
			continue;
		if (str_eq_text(members[i].data_centre, peers->data_centre))
			add_local(peers, &local_cap, members[i].instance);
		else
			add_remote(peers, &remote_cap, &members[i]);
	}
	if (!self_leaving)
		add_local(peers, &local_cap, str_from(peers->self));
	if (peers->n_local)
		qsort(peers->local, (size_t)peers->n_local,
		      sizeof(*peers->local), compare_peers);
	if (peers->n_remote)
		qsort(peers->remote, (size_t)peers->n_remote,
		      sizeof(*peers->remote), compare_peers);
	peers->rank = find_rank(peers);
}

int table_peers_children(const struct table_peers *peers, int fanout,
			 int *first)
{
	int n;

	*first = peers->rank * fanout + 1;
	if (peers->rank == peers->n_local || *first >= peers->n_local)
		return 0;
	n = peers->n_local - *first;
	return n < fanout ? n : fanout;
}
