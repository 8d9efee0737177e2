#include "directory.h"

/*
 * Callers pick one of the addresses at random. With fewer instances in their
 * own data centre, all are named: the loss of one must not leave them with
 * none until they ask again.
 */
#define OWN_LEAST 2
/*
 * A sharded request costs its entry much: on a machine with a quarter of the
 * processor time it would be late. Where machines are unequal, those with less
 * than this share of the largest take no callers while a larger one lives.
 */
#define LARGE_SHARE 0.6

bool directory_is_large(uint32_t capacity, uint32_t most)
{
	return capacity >= LARGE_SHARE * most;
}

/* Where the instances are that a caller may be named, from near to far. */
enum reach {
	REACH_DATA_CENTRE,
	REACH_REGION,
	REACH_HOMES,
	REACH_ALL,
};

struct caller_place {
	struct str data_centre;
	struct str region;
};

static bool is_within(const struct directory_candidate *candidate,
		      const struct caller_place *place, enum reach reach)
{
	switch (reach) {
	case REACH_DATA_CENTRE:
		return str_eq_text(place->data_centre, candidate->data_centre);
	case REACH_REGION:
		return str_eq_text(place->region, candidate->region);
	case REACH_HOMES:
		return candidate->home;
	default:
		return true;
	}
}

/* Large is a matter of those that a caller may be named at all. */
static uint32_t most_capacity(const struct directory_candidate *candidates,
			      int n, const struct caller_place *place,
			      enum reach reach)
{
	uint32_t most = 0;
	int i;

	if (reach == REACH_DATA_CENTRE)
		reach = REACH_REGION;
	for (i = 0; i < n; i++) {
		if (candidates[i].ready && candidates[i].capacity > most &&
		    is_within(&candidates[i], place, reach))
			most = candidates[i].capacity;
	}
	return most;
}

static int choose(const struct directory_candidate *candidates, int n,
		  const struct caller_place *place, enum reach reach, int max,
		  int *out)
{
	uint32_t most = most_capacity(candidates, n, place, reach);
	int chosen = 0;
	int i;

	for (i = 0; i < n && chosen < max; i++) {
		if (candidates[i].ready &&
		    directory_is_large(candidates[i].capacity, most) &&
		    is_within(&candidates[i], place, reach))
			out[chosen++] = i;
	}
	return chosen;
}

/*
 * Callers of a data centre that is lost keep its addresses, and what they would
 * ask for others there is lost too: until it is back, none is served. So one
 * instance elsewhere is named besides, another one to each data centre.
 *
 * Return: whether there is one.
 */
static bool find_other(const struct directory_candidate *candidates, int n,
		       const struct caller_place *place, int *out)
{
	uint32_t most = most_capacity(candidates, n, place, REACH_REGION);
	uint64_t least = UINT64_MAX;
	bool found = false;
	int i;

	for (i = 0; i < n; i++) {
		const struct directory_candidate *candidate = &candidates[i];
		uint64_t score =
			str_hash_mix(str_hash(place->data_centre),
				     str_hash(str_from(candidate->instance)));

		if (!candidate->ready || score > least ||
		    !directory_is_large(candidate->capacity, most) ||
		    !is_within(candidate, place, REACH_REGION) ||
		    is_within(candidate, place, REACH_DATA_CENTRE))
			continue;
		least = score;
		found = true;
		*out = i;
	}
	return found;
}

/* Return: how many are named then; where there is no room it is the last. */
static int append_other(const struct directory_candidate *candidates, int n,
			const struct caller_place *place, int chosen, int *out)
{
	int at = chosen < DIRECTORY_ADDRESSES_MAX ? chosen
						  : DIRECTORY_ADDRESSES_MAX - 1;

	return find_other(candidates, n, place, &out[at]) ? at + 1 : chosen;
}

int directory_choose(const struct directory_candidate *candidates, int n,
		     struct str data_centre, struct str region, int *out)
{
	const struct caller_place place = {data_centre, region};
	int chosen = choose(candidates, n, &place, REACH_DATA_CENTRE,
			    DIRECTORY_ADDRESSES_MAX, out);
	int reach;

	if (chosen >= OWN_LEAST)
		return append_other(candidates, n, &place, chosen, out);
	chosen = 0;
	for (reach = REACH_REGION; reach <= REACH_ALL && !chosen; reach++)
		chosen = choose(candidates, n, &place, (enum reach)reach,
				DIRECTORY_ADDRESSES_MAX, out);
	return chosen;
}
