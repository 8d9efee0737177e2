#include "cordon.h"

#include <string.h>

static struct cordon *find(const struct cordons *cordons,
			   struct str data_centre)
{
	int i;

	for (i = 0; i < cordons->n; i++) {
		if (str_eq_text(data_centre, cordons->list[i].data_centre))
			return (struct cordon *)&cordons->list[i];
	}
	return NULL;
}

bool cordon_set_add(struct cordons *cordons, struct str data_centre,
		    uint64_t changed_at)
{
	struct cordon *cordon = find(cordons, data_centre);

	if (cordon) {
		if (changed_at > cordon->changed_at)
			cordon->changed_at = changed_at;
		return false;
	}
	if (cordons->n == CORDONS_MAX)
		return false;
	cordon = &cordons->list[cordons->n++];
	str_copy(cordon->data_centre, sizeof(cordon->data_centre), data_centre);
	cordon->changed_at = changed_at;
	cordons->n_changes++;
	return true;
}

static void drop(struct cordons *cordons, struct cordon *cordon)
{
	*cordon = cordons->list[--cordons->n];
	cordons->n_changes++;
}

bool cordon_set_remove(struct cordons *cordons, struct str data_centre,
		       uint64_t changed_at)
{
	struct cordon *cordon = find(cordons, data_centre);

	if (!cordon || changed_at < cordon->changed_at)
		return false;
	drop(cordons, cordon);
	return true;
}

bool cordon_set_contains(const struct cordons *cordons, struct str data_centre)
{
	return find(cordons, data_centre);
}

bool cordon_set_replace(struct cordons *cordons, const struct cordons *from)
{
	uint64_t before = cordons->n_changes;
	int i;

	if (from->at < cordons->at)
		return false;
	for (i = cordons->n - 1; i >= 0; i--) {
		struct cordon *cordon = &cordons->list[i];

		if (cordon->changed_at <= from->at &&
		    !cordon_set_contains(from, str_from(cordon->data_centre)))
			drop(cordons, cordon);
	}
	for (i = 0; i < from->n; i++)
		cordon_set_add(cordons, str_from(from->list[i].data_centre),
			       from->list[i].changed_at);
	cordons->at = from->at;
	return cordons->n_changes != before;
}
