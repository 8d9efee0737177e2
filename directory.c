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
		  const struct caller_place *place, enum reach reach, int *out)
{
	uint32_t most = most_capacity(candidates, n, place, reach);
	int chosen = 0;
	int i;

	for (i = 0; i < n && chosen < DIRECTORY_MAX; i++) {
		if (candidates[i].ready &&
		    directory_is_large(candidates[i].capacity, most) &&
		    is_within(&candidates[i], place, reach))
			out[chosen++] = i;
	}
	return chosen;
}

int directory_choose(const struct directory_candidate *candidates, int n,
		     struct str data_centre, struct str region, int *out)
{
	const struct caller_place place = {data_centre, region};
	int chosen = choose(candidates, n, &place, REACH_DATA_CENTRE, out);
	int reach;

	if (chosen >= OWN_LEAST)
		return chosen;
	chosen = 0;
	for (reach = REACH_REGION; reach <= REACH_ALL && !chosen; reach++)
		chosen = choose(candidates, n, &place, (enum reach)reach, out);
	return chosen;
}
