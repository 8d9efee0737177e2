#include "directory.h"

/*
 * Callers pick one of the addresses at random. With fewer instances in their
 * own data centre, all are named: the loss of one must not leave them with
 * none until they ask again.
 */
#define OWN_LEAST 2

static int choose(const struct directory_candidate *candidates, int n,
		  const struct str *data_centre, int *out)
{
	int chosen = 0;
	int i;

	for (i = 0; i < n && chosen < DIRECTORY_MAX; i++) {
		if (!candidates[i].ready)
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
	int chosen = choose(candidates, n, &data_centre, out);

	if (chosen < OWN_LEAST)
		chosen = choose(candidates, n, NULL, out);
	return chosen;
}
