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

static uint32_t most_capacity(const struct directory_candidate *candidates,
			      int n)
{
	uint32_t most = 0;
	int i;

	for (i = 0; i < n; i++) {
		if (candidates[i].ready && candidates[i].capacity > most)
			most = candidates[i].capacity;
	}
	return most;
}

static int choose(const struct directory_candidate *candidates, int n,
		  uint32_t most, const struct str *data_centre, int *out)
{
	int chosen = 0;
	int i;

	for (i = 0; i < n && chosen < DIRECTORY_MAX; i++) {
		if (!candidates[i].ready ||
		    !directory_is_large(candidates[i].capacity, most))
			continue;
		if (data_centre &&
		    !str_eq_text(*data_centre, candidates[i].data_centre))
			continue;
		out[chosen++] = i;
	}
	return chosen;
}

int directory_choose(const struct directory_candidate *candidates, int n,
		     struct str data_centre, int *out)
{
	uint32_t most = most_capacity(candidates, n);
	int chosen = choose(candidates, n, most, &data_centre, out);

	if (chosen < OWN_LEAST)
		chosen = choose(candidates, n, most, NULL, out);
	return chosen;
}
