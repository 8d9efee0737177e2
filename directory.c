#include "directory.h"

/*
 * Callers pick one of the addresses at random. With fewer instances than this
 * in their data centre they get those of the whole region: the loss of one must
 * not leave them without any until they ask again.
 */
#define LOCAL_INSTANCES_MIN 2
/*
 * A sharded request takes much processor time on its entry: on a machine with a
 * quarter of the capacity it would be late. Machines with less than this share
 * of the largest one's capacity get no callers while a larger one is ready.
 */
#define LARGE_CAPACITY_RATIO 0.6

bool directory_is_large(uint32_t capacity, uint32_t max_capacity)
{
	return capacity >= LARGE_CAPACITY_RATIO * max_capacity;
}

/* Which instances are considered for a caller, from near to far. */
enum scope {
	SCOPE_DATA_CENTRE,
	SCOPE_REGION,
	SCOPE_ALLOWED_REGIONS,
	SCOPE_ALL,
};

struct caller_location {
	struct str data_centre;
	struct str region;
};

static bool is_within(const struct directory_candidate *candidate,
		      const struct caller_location *location, enum scope scope)
{
	switch (scope) {
	case SCOPE_DATA_CENTRE:
		return str_eq_text(location->data_centre,
				   candidate->data_centre);
	case SCOPE_REGION:
		return str_eq_text(location->region, candidate->region);
	case SCOPE_ALLOWED_REGIONS:
		return candidate->region_allowed;
	default:
		return true;
	}
}

/*
 * The greatest capacity among the ready instances in @scope, at least those of
 * the caller's region.
 */
static uint32_t find_max_capacity(const struct directory_candidate *candidates,
				  int n, const struct caller_location *location,
				  enum scope scope)
{
	uint32_t max_capacity = 0;
	int i;

	if (scope == SCOPE_DATA_CENTRE)
		scope = SCOPE_REGION;
	for (i = 0; i < n; i++) {
		if (candidates[i].ready &&
		    candidates[i].capacity > max_capacity &&
		    is_within(&candidates[i], location, scope))
			max_capacity = candidates[i].capacity;
	}
	return max_capacity;
}

static int choose(const struct directory_candidate *candidates, int n,
		  const struct caller_location *location, enum scope scope,
		  int max, int *out)
{
	uint32_t max_capacity =
		find_max_capacity(candidates, n, location, scope);
	int chosen = 0;
	int i;

	for (i = 0; i < n && chosen < max; i++) {
		if (candidates[i].ready &&
		    directory_is_large(candidates[i].capacity, max_capacity) &&
		    is_within(&candidates[i], location, scope))
			out[chosen++] = i;
	}
	return chosen;
}

/*
 * Finds an instance of the caller's region outside its data centre. Callers of
 * a data centre that fails have only addresses there, and the instances that
 * they would ask for others are down too: none would be served until it is
 * back. Rendezvous hashing chooses a different instance for each data centre.
 *
 * Return: whether there is one.
 */
static bool find_remote(const struct directory_candidate *candidates, int n,
			const struct caller_location *location, int *out)
{
	uint32_t max_capacity =
		find_max_capacity(candidates, n, location, SCOPE_REGION);
	uint64_t lowest_score = UINT64_MAX;
	bool found = false;
	int i;

	for (i = 0; i < n; i++) {
		const struct directory_candidate *candidate = &candidates[i];
		uint64_t score =
			str_hash_mix(str_hash(location->data_centre),
				     str_hash(str_from(candidate->instance)));

		if (!candidate->ready || score > lowest_score ||
		    !directory_is_large(candidate->capacity, max_capacity) ||
		    !is_within(candidate, location, SCOPE_REGION) ||
		    is_within(candidate, location, SCOPE_DATA_CENTRE))
			continue;
		lowest_score = score;
		found = true;
		*out = i;
	}
	return found;
}

/* Return: new length of @out; if it is full, the last one is replaced. */
static int append_remote(const struct directory_candidate *candidates, int n,
			 const struct caller_location *location, int chosen,
			 int *out)
{
	int at = chosen < DIRECTORY_ADDRESSES_MAX ? chosen
						  : DIRECTORY_ADDRESSES_MAX - 1;

	return find_remote(candidates, n, location, &out[at]) ? at + 1 : chosen;
}

int directory_choose(const struct directory_candidate *candidates, int n,
		     struct str data_centre, struct str region, int *out)
{
	const struct caller_location location = {data_centre, region};
	int chosen = choose(candidates, n, &location, SCOPE_DATA_CENTRE,
			    DIRECTORY_ADDRESSES_MAX, out);
	int scope;

	if (chosen >= LOCAL_INSTANCES_MIN)
		return append_remote(candidates, n, &location, chosen, out);
	chosen = 0;
	for (scope = SCOPE_REGION; scope <= SCOPE_ALL && !chosen; scope++)
		chosen = choose(candidates, n, &location, (enum scope)scope,
				DIRECTORY_ADDRESSES_MAX, out);
	return chosen;
}
