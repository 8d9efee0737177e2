#include "cordon.h"

#include <string.h>

static struct cordon *find_cordon(const struct cordon_set *cordons,
				  struct str data_centre)
{
	int i;

	for (i = 0; i < cordons->n; i++) {
		if (str_eq_text(data_centre, cordons->list[i].data_centre))
			return (struct cordon *)&cordons->list[i];
	}
	return NULL;
}

static bool is_name(struct str data_centre)
{
	return data_centre.len && data_centre.len < CORDON_NAME_SIZE &&
	       !memchr(data_centre.data, '\0', data_centre.len);
}

bool cordon_set_add(struct cordon_set *cordons, struct str data_centre,
		    uint64_t changed_at)
{
	struct cordon *cordon = find_cordon(cordons, data_centre);

	if (cordon) {
		if (changed_at > cordon->changed_at)
			cordon->changed_at = changed_at;
		return false;
	}
	if (cordons->n == CORDONS_MAX || !is_name(data_centre))
		return false;
	cordon = &cordons->list[cordons->n++];
	str_copy(cordon->data_centre, sizeof(cordon->data_centre), data_centre);
	cordon->changed_at = changed_at;
	cordons->n_changes++;
	return true;
}

static void remove_cordon(struct cordon_set *cordons, struct cordon *cordon)
{
	*cordon = cordons->list[--cordons->n];
	cordons->n_changes++;
}

bool cordon_set_remove(struct cordon_set *cordons, struct str data_centre,
		       uint64_t changed_at)
{
	struct cordon *cordon = find_cordon(cordons, data_centre);

	if (!cordon || changed_at < cordon->changed_at)
		return false;
	remove_cordon(cordons, cordon);
	return true;
}

bool cordon_set_contains(const struct cordon_set *cordons,
			 struct str data_centre)
{
	return find_cordon(cordons, data_centre);
}

bool cordon_set_replace(struct cordon_set *cordons,
			const struct cordon_set *from)
{
	uint64_t before = cordons->n_changes;
	int i;

	if (from->revision < cordons->revision)
		return false;
	for (i = cordons->n - 1; i >= 0; i--) {
		struct cordon *cordon = &cordons->list[i];

		if (cordon->changed_at <= from->revision &&
		    !cordon_set_contains(from, str_from(cordon->data_centre)))
			remove_cordon(cordons, cordon);
	}
	for (i = 0; i < from->n; i++)
		cordon_set_add(cordons, str_from(from->list[i].data_centre),
			       from->list[i].changed_at);
	cordons->revision = from->revision;
	return cordons->n_changes != before;
}
