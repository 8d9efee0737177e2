#include "hubs.h"

#include <stdlib.h>
#include <string.h>

#include "directory.h"
#include "mem.h"

/* A data centre while members are counted. */
struct centre {
	const char *name;
	uint32_t most;
	int n;
};

static int by_rank(const void *a, const void *b)
{
	const struct hub_member *x = a;
	const struct hub_member *y = b;

	if (x->capacity != y->capacity)
		return x->capacity < y->capacity ? 1 : -1;
	return x->score < y->score ? 1 : x->score > y->score ? -1 : 0;
}

static struct centre *centre_of(struct centre *centres, int *n,
				const struct hub_member *member)
{
	int i;

	for (i = 0; i < *n; i++) {
		if (!strcmp(centres[i].name, member->data_centre))
			return &centres[i];
	}
	centres[i].name = member->data_centre;
	centres[i].most = member->capacity;
	centres[i].n = 0;
	(*n)++;
	return &centres[i];
}

void hubs_choose(struct hub_member *members, int n)
{
	struct centre *centres = mem_zalloc((size_t)(n + 1) * sizeof(*centres));
	int n_centres = 0;
	int i;

	qsort(members, (size_t)n, sizeof(*members), by_rank);
	for (i = 0; i < n; i++) {
		struct hub_member *member = &members[i];
		struct centre *centre = centre_of(centres, &n_centres, member);

		member->place = centre->n++;
		member->hub =
			member->place < HUBS_PER_DC_MAX &&
			directory_is_large(member->capacity, centre->most);
	}
	free(centres);
}

void hub_links_init(struct hub_links *links)
{
	memset(links, 0, sizeof(*links));
}

void hub_links_finish(struct hub_links *links)
{
	free(links->names);
}

void hub_links_clear(struct hub_links *links)
{
	links->n = 0;
}

void hub_links_add(struct hub_links *links, const char *instance)
{
	MEM_GROW(links->names, links->n, links->cap);
	memcpy(links->names[links->n++], instance, FLEET_NAME_SIZE);
}

void hub_links_plan(struct hub_links *links, const struct hub_member *members,
		    int n, int self)
{
	const struct hub_member *me = &members[self];
	bool far = me->hub ||
		   directory_is_large(me->capacity, members[0].capacity);
	int i;

	hub_links_clear(links);
	for (i = 0; i < n; i++) {
		const struct hub_member *member = &members[i];
		bool near = !strcmp(member->data_centre, me->data_centre);

		if (i == self || !member->hub)
			continue;
		if (near ? me->hub || member->place < LOCAL_HUBS_PER_MEMBER
			 : far)
			hub_links_add(links, member->instance);
	}
}

bool hub_links_contain(const struct hub_links *links, const char *instance)
{
	int i;

	for (i = 0; i < links->n; i++) {
		if (!strcmp(links->names[i], instance))
			return true;
	}
	return false;
}
