#include "member_net.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <event2/event.h>
#include <arpa/inet.h>
#include <utlist.h>

#include "connect_probe.h"
#include "loop.h"
#include "mem.h"
#include "peer.pb-c.h"
#include "table_sync.h"

#define DATAGRAMS_PER_EVENT 64
#define CHECK_TIMEOUT MSEC(1000)
#define TICKS_PER_PERIOD 8
#define TICK_MIN_MS 5
#define TICK_MAX_MS 50

/* A TCP connection attempt, to learn if a member's peer address is refused. */
struct member_check {
	struct member_net *net;
	char instance[FLEET_NAME_SIZE];
	uint64_t incarnation;
	struct connect_probe probe;
	struct member_check *prev;
	struct member_check *next;
};

static void publish(struct member_net *net);

/* Called after all input, so that its changes take effect at once. */
static void apply_changes(struct member_net *net)
{
	share_lease_valid(&net->share);
	publish(net);
}

/* Callbacks of the membership and the shares. */

static void send_datagram(void *arg, const struct address *to, const void *data,
			  size_t len)
{
	struct member_net *net = arg;
	struct sockaddr_in sin = address_sockaddr(to);

	metric_inc(&net->board->counters.member_datagrams_out);
	metric_add(&net->board->counters.member_bytes_out, (int64_t)len);
	/* A failure is handled like a lost datagram. */
	sendto(net->fd, data, len, 0, (struct sockaddr *)&sin, sizeof(sin));
}

static struct peer_link *find_link(const struct member_net *net,
				   const struct address *address)
{
	struct peer_link *link;

	DL_FOREACH (net->peers->links, link) {
		if (link->outgoing && link->up &&
		    address_eq(&link->address, address))
			return link;
	}
	return NULL;
}

static bool is_local(const struct member_net *net, const struct peer_link *link)
{
	const struct fleet_member *member =
		fleet_find(&net->board->fleet, str_from(link->instance));

	return member &&
	       !strcmp(member->data_centre, net->board->settings->data_centre);
}

/* A random link, within the own data centre if possible. */
static struct peer_link *random_link(const struct member_net *net)
{
	struct peer_link *chosen[] = {NULL, NULL};
	uint32_t n[] = {0, 0};
	struct peer_link *link;
	uint32_t draw;

	DL_FOREACH (net->peers->links, link) {
		bool local = is_local(net, link);

		if (!link->up || link->closed)
			continue;
		evutil_secure_rng_get_bytes(&draw, sizeof(draw));
		if (draw % ++n[local] == 0)
			chosen[local] = link;
	}
	return chosen[true] ? chosen[true] : chosen[false];
}

/* A request may go to any peer; a reply uses the link of its request. */
static bool send_members(void *arg, const struct address *to,
			 const Peer__Members *message)
{
	struct member_net *net = arg;
	struct peer_link *link = find_link(net, to);

	if (!link)
		link = message->reply ? random_link(net) : net->reply_link;
	return link && !peer_send(link, FRAME_MEMBERS, &message->base);
}

static void send_view(void *arg, const struct member *to,
		      const Peer__ViewState *message)
{
	struct member_net *net = arg;
	struct peer_link *link;

	/* Without a table there are no servers whose shares to settle. */
	if (!net->board->table)
		return;
	link = peers_find(net->peers, str_from(to->instance));
	if (link)
		peer_send(link, FRAME_VIEW_STATE, &message->base);
}

static void end_check(struct member_check *check)
{
	DL_DELETE(check->net->checks, check);
	connect_probe_finish(&check->probe);
	free(check);
}

static void on_check(void *arg, enum crash_evidence evidence)
{
	struct member_check *check = arg;
	struct member_net *net = check->net;

	if (evidence == CRASH_EVIDENCE_REFUSED)
		member_table_connection_refused(&net->members, check->instance,
						check->incarnation);
	end_check(check);
	apply_changes(net);
}

static struct member_check *find_check(const struct member_net *net,
				       const struct member *member)
{
	struct member_check *check;

	DL_FOREACH (net->checks, check) {
		if (!strcmp(check->instance, member->instance))
			return check;
	}
	return NULL;
}

static void check_address(void *arg, const struct member *member)
{
	struct member_net *net = arg;
	struct member_check *check;

	if (find_check(net, member))
		return;
	check = mem_zalloc(sizeof(*check));
	if (connect_probe_start(&check->probe, net->board->base,
				&member->peer_address, CHECK_TIMEOUT, on_check,
				check)) {
		free(check);
		return;
	}
	check->net = net;
	check->incarnation = member->incarnation;
	str_copy(check->instance, sizeof(check->instance),
		 str_from(member->instance));
	DL_APPEND(net->checks, check);
}

static void confirmed(void *arg, int64_t sent_at)
{
	struct member_net *net = arg;

	share_confirm_lease(&net->share, sent_at);
}

static void receive_beacon(void *arg, const struct member *member,
			   const struct member_beacon *beacon)
{
	struct member_net *net = arg;

	if (beacon->table_revision)
		net->on_beacon(net->arg, member->instance, beacon);
}

static uint64_t random_bits(void *arg)
{
	uint64_t bits;

	(void)arg;
	evutil_secure_rng_get_bytes(&bits, sizeof(bits));
	return bits;
}

static const struct member_ops member_ops = {
	.send_datagram = send_datagram,
	.send_members = send_members,
	.check_address = check_address,
	.confirmed = confirmed,
	.beacon = receive_beacon,
	.random = random_bits,
};

static void shares_changed(void *arg)
{
	struct member_net *net = arg;

	if (!net->applying_table)
		blackboard_notify(net->board, BLACKBOARD_SHARES);
}

static void report_use(void *arg)
{
	struct member_net *net = arg;

	blackboard_notify(net->board, BLACKBOARD_USAGE);
}

static const struct share_ops share_ops = {
	.send_view = send_view,
	.changed = shares_changed,
	.report = report_use,
};

/* Exchange with the blackboard. */

static void update_fleet_member(struct fleet *fleet,
				const struct member *member,
				enum fleet_status status)
{
	struct fleet_member *entry =
		fleet_find_or_add(fleet, str_from(member->instance));

	str_copy(entry->data_centre, sizeof(entry->data_centre),
		 str_from(member->data_centre));
	entry->peer_address = member->peer_address;
	entry->caller_address = member->caller_address;
	entry->incarnation = member->incarnation;
	entry->capacity = member->capacity;
	entry->status = status;
	entry->seen = true;
}

/* A member never heard is connected to, but not listed to callers. */
static enum fleet_status fleet_status(const struct member *member)
{
	if (member->status == MEMBER_LEAVING || member->listed_leaving)
		return FLEET_LEAVING;
	if (member->status == MEMBER_ALIVE)
		return FLEET_ALIVE;
	return FLEET_SUSPECT;
}

static void publish(struct member_net *net)
{
	struct fleet *fleet = &net->board->fleet;
	const struct member *member;
	struct fleet_member *entry;
	struct fleet_member *next;

	if (net->published_version == net->members.version)
		return;
	net->published_version = net->members.version;
	HASH_ITER (hh, fleet->members, entry, next)
		entry->seen = false;
	update_fleet_member(fleet, &net->members.self,
			    fleet_status(&net->members.self));
	for (member = member_table_next(&net->members, NULL); member;
	     member = member_table_next(&net->members, member)) {
		if (member->status != MEMBER_GONE && !member->address_only)
			update_fleet_member(fleet, member,
					    fleet_status(member));
	}
	HASH_ITER (hh, fleet->members, entry, next) {
		if (!entry->seen)
			fleet_remove(fleet, entry);
	}
	blackboard_notify(net->board, BLACKBOARD_FLEET);
}

static void on_instances(void *arg)
{
	struct member_net *net = arg;
	struct fleet *listed = &net->board->platform_list;
	struct member_entry *entries =
		mem_zalloc(HASH_COUNT(listed->members) * sizeof(*entries));
	struct fleet_member *member;
	struct fleet_member *next;
	int n = 0;

	HASH_ITER (hh, listed->members, member, next) {
		entries[n].instance = member->instance;
		entries[n].data_centre = member->data_centre;
		entries[n].peer_address = member->peer_address;
		entries[n].caller_address = member->caller_address;
		entries[n].leaving = member->status == FLEET_LEAVING;
		n++;
	}
	member_table_apply_list(&net->members, entries, n);
	free(entries);
	/* The flags set by the list don't raise the version. */
	net->published_version = 0;
	apply_changes(net);
}

static void arm_timer(struct member_net *net)
{
	int64_t ms = blackboard_tunables(net->board)->probe_period_ms /
		     TICKS_PER_PERIOD;
	struct timeval tv = {0, 0};

	if (ms < TICK_MIN_MS)
		ms = TICK_MIN_MS;
	if (ms > TICK_MAX_MS)
		ms = TICK_MAX_MS;
	tv.tv_usec = ms * USEC_PER_MSEC;
	evtimer_add(net->timer, &tv);
}

static void on_table(void *arg)
{
	struct member_net *net = arg;
	const struct tunables *tunables = blackboard_tunables(net->board);

	member_table_set_periods(&net->members, MSEC(tunables->probe_period_ms),
				 MSEC(tunables->lease_ms));
	share_set_lease(&net->share, MSEC(tunables->lease_ms));
	net->applying_table = true;
	share_table_changed(&net->share, net->board->table);
	net->applying_table = false;
	blackboard_notify(net->board, BLACKBOARD_SHARES);
}

static void on_lifecycle(void *arg)
{
	struct member_net *net = arg;

	if (net->board->lifecycle < LIFECYCLE_LEAVING)
		return;
	member_table_leave(&net->members);
	apply_changes(net);
}

/* Event handlers. */

static void set_beacon(struct member_net *net)
{
	struct member_beacon *beacon = &net->members.beacon;

	if (!net->board->table || !net->board->table_sync)
		return;
	beacon->table_revision = net->board->table->revision;
	beacon->table_digest = net->board->table->digest;
	beacon->table_age_ms = table_sync_age_ms(net->board->table_sync);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct member_net *net = arg;

	(void)fd;
	(void)what;
	set_beacon(net);
	member_table_tick(&net->members);
	share_tick(&net->share);
	publish(net);
	arm_timer(net);
}

static bool read_datagram(struct member_net *net)
{
	uint8_t data[MEMBER_DATAGRAM_MAX + 1];
	struct sockaddr_in sin;
	socklen_t sin_len = sizeof(sin);
	struct address from = {.port = 0};
	ssize_t len = recvfrom(net->fd, data, sizeof(data), MSG_DONTWAIT,
			       (struct sockaddr *)&sin, &sin_len);

	if (len < 0)
		return errno != EAGAIN && errno != EWOULDBLOCK;
	inet_ntop(AF_INET, &sin.sin_addr, from.ip, sizeof(from.ip));
	from.port = ntohs(sin.sin_port);
	if (member_table_receive_datagram(&net->members, &from, data,
					  (size_t)len))
		metric_inc(&net->board->counters.member_datagrams_bad);
	return true;
}

static void on_readable(evutil_socket_t fd, short what, void *arg)
{
	struct member_net *net = arg;
	int n = 0;

	(void)fd;
	(void)what;
	set_beacon(net);
	while (n++ < DATAGRAMS_PER_EVENT && read_datagram(net))
		;
	apply_changes(net);
}

static void on_frame(void *arg, struct peer_link *link, struct frame *frame)
{
	struct member_net *net = arg;

	net->reply_link = link;
	if (frame->type == FRAME_VIEW_STATE)
		share_receive_view_state(&net->share, (const Peer__ViewState *)
							      frame->message);
	else
		member_table_receive_members(
			&net->members, (const Peer__Members *)frame->message);
	net->reply_link = NULL;
	apply_changes(net);
}

static void on_down(void *arg, struct peer_link *link)
{
	struct member_net *net = arg;

	if (link->outgoing)
		member_table_link_lost(&net->members, link->instance);
}

static void on_refused(void *arg, struct str instance, uint64_t incarnation)
{
	struct member_net *net = arg;
	char name[FLEET_NAME_SIZE];

	str_copy(name, sizeof(name), instance);
	member_table_connection_refused(&net->members, name, incarnation);
	apply_changes(net);
}

static int open_socket(struct member_net *net)
{
	struct sockaddr_in sin =
		address_sockaddr(&net->board->settings->peer_address);

	net->fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (net->fd < 0)
		return ERR_SYSTEM;
	if (bind(net->fd, (struct sockaddr *)&sin, sizeof(sin))) {
		evutil_closesocket(net->fd);
		return ERR_ADDRESS;
	}
	return 0;
}

static void init_modules(struct member_net *net)
{
	struct blackboard *board = net->board;
	const struct tunables *tunables = blackboard_tunables(board);
	const struct member_config config = {
		.instance = board->settings->instance,
		.data_centre = board->settings->data_centre,
		.peer_address = board->settings->peer_address,
		.caller_address = board->settings->caller_address,
		.incarnation = board->incarnation,
		.capacity = board->settings->capacity,
		.probe_period = MSEC(tunables->probe_period_ms),
		.lease = MSEC(tunables->lease_ms),
	};

	member_table_init(&net->members, board->clock, &member_ops, net,
			  &config);
	share_init(&net->share, board->clock, &net->members, &share_ops, net,
		   config.lease, &share_settled);
	board->share = &net->share;
	board->members = &net->members;
}

static void watch_board(struct member_net *net)
{
	struct blackboard *board = net->board;

	blackboard_watch(board, BLACKBOARD_INSTANCES, &net->instances_watch,
			 on_instances, net);
	blackboard_watch(board, BLACKBOARD_TABLE, &net->table_watch, on_table,
			 net);
	blackboard_watch(board, BLACKBOARD_LIFECYCLE, &net->lifecycle_watch,
			 on_lifecycle, net);
}

static void add_handler(struct member_net *net)
{
	net->handler.down = on_down;
	net->handler.refused = on_refused;
	net->handler.frame = on_frame;
	net->handler.types = 1u << FRAME_VIEW_STATE | 1u << FRAME_MEMBERS;
	net->handler.arg = net;
	peers_add_handler(net->peers, &net->handler);
}

int member_net_init(struct member_net *net, struct blackboard *board,
		    struct peers *peers, member_net_beacon_cb on_beacon,
		    void *arg)
{
	int ret;

	memset(net, 0, sizeof(*net));
	net->board = board;
	net->peers = peers;
	net->on_beacon = on_beacon;
	net->arg = arg;
	ret = open_socket(net);
	if (ret)
		return ret;
	init_modules(net);
	net->readable = event_new(board->base, net->fd, EV_READ | EV_PERSIST,
				  on_readable, net);
	net->timer = evtimer_new(board->base, on_timer, net);
	event_priority_set(net->readable, LOOP_STATE);
	event_priority_set(net->timer, LOOP_STATE);
	event_add(net->readable, NULL);
	add_handler(net);
	watch_board(net);
	apply_changes(net);
	arm_timer(net);
	return 0;
}

void member_net_finish(struct member_net *net)
{
	struct member_check *check;
	struct member_check *next;

	member_table_release(&net->members);
	DL_FOREACH_SAFE (net->checks, check, next)
		end_check(check);
	net->board->share = NULL;
	net->board->members = NULL;
	share_finish(&net->share);
	member_table_finish(&net->members);
	event_free(net->readable);
	event_free(net->timer);
	evutil_closesocket(net->fd);
}
