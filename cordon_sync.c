#define LOG_MODULE "cordon"
#include "cordon_sync.h"

#include <string.h>

#include "log.h"

void cordon_sync_init(struct cordon_sync *sync, const struct clock *clock,
		      struct registry *registry)
{
	memset(sync, 0, sizeof(*sync));
	sync->clock = clock;
	sync->registry = registry;
}

void cordon_sync_begin_list(struct cordon_sync *sync)
{
	sync->listed.n = 0;
}

static void log_set(const struct cordon_set *cordons, const char *from)
{
	int i;

	LOG_INFO("cordons_changed", LOG_TEXT("from", from),
		 LOG_I64("hold", cordons->n),
		 LOG_U64("store_revision", cordons->revision));
	for (i = 0; i < cordons->n; i++)
		LOG_INFO("cordon_holds",
			 LOG_TEXT("data_centre", cordons->list[i].data_centre),
			 LOG_U64("store_revision",
				 cordons->list[i].changed_at));
}

static void apply(struct cordon_sync *sync, const char *from)
{
	log_set(&sync->registry->cordons, from);
	registry_apply_cordons(sync->registry, clock_now(sync->clock));
}

static void add_existing(struct cordon_sync *sync, struct cordon_set *set)
{
	const struct cordon_set *known = &sync->registry->cordons;
	int i;

	for (i = 0; i < known->n; i++) {
		const struct cordon *cordon = &known->list[i];

		sync->retained |=
			cordon_set_add(set, str_from(cordon->data_centre),
				       cordon->changed_at);
	}
}

static void replace_set(struct cordon_sync *sync, const struct cordon_set *from,
			const char *why)
{
	struct cordon_set set = *from;

	if (clock_now(sync->clock) < sync->retain_until)
		add_existing(sync, &set);
	if (cordon_set_replace(&sync->registry->cordons, &set))
		apply(sync, why);
}

void cordon_sync_end_list(struct cordon_sync *sync, uint64_t at)
{
	sync->listed.revision = at;
	replace_set(sync, &sync->listed, "list");
}

void cordon_sync_apply_item(struct cordon_sync *sync,
			    const struct store_item *item)
{
	struct cordon_set *cordons = &sync->registry->cordons;
	struct str name = store_key_str(&item->name);
	bool changed;

	if (item->removed) {
		changed = cordon_set_remove(cordons, name, item->changed_at);
	} else {
		cordon_set_add(&sync->listed, name, item->changed_at);
		changed = cordon_set_add(cordons, name, item->changed_at);
	}
	if (!changed && !cordon_set_contains(cordons, name) && !item->removed)
		LOG_ERROR("cordon_refused", LOG_STR("data_centre", name),
			  LOG_I64("hold", cordons->n));
	if (changed)
		apply(sync, "change");
}

void cordon_sync_confirm(struct cordon_sync *sync, uint64_t at)
{
	if (at > sync->registry->cordons.revision)
		sync->registry->cordons.revision = at;
}

void cordon_sync_apply_peer_set(struct cordon_sync *sync,
				const struct cordon_set *from)
{
	replace_set(sync, from, "peer");
}

void cordon_sync_enter_era(struct cordon_sync *sync, int64_t until)
{
	struct cordon_set *cordons = &sync->registry->cordons;
	int i;

	cordons->revision = 0;
	for (i = 0; i < cordons->n; i++)
		cordons->list[i].changed_at = 0;
	sync->listed.n = 0;
	sync->retain_until = until;
	sync->retained = false;
}

bool cordon_sync_needs_list(struct cordon_sync *sync)
{
	bool wants =
		sync->retained && clock_now(sync->clock) >= sync->retain_until;

	sync->retained &= !wants;
	return wants;
}
