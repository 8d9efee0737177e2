#define LOG_MODULE "peer"
#include "peer.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/tcp.h>
#include <utlist.h>

#include "conn_end.h"
#include "hubs.h"
#include "log.h"
#include "loop.h"
#include "mem.h"
#include "peer.pb-c.h"

#define RECONNECT_MS 200
#define HELLO_TIMEOUT MSEC(3000)
/*
 * A link that is no longer wanted may still carry requests. It is closed once
 * it was idle for longer than a caller waits for an answer.
 */
#define UNWANTED_IDLE MSEC(10000)
#define BACKLOG_MAX_BYTES (64 * 1024 * 1024)
/* Shorter backlogs are not added up, bytes. */
#define BACKLOG_SHORT_BYTES 65536
#define STRANGERS_MAX 256
/* Time to send a hello before another connection may take the place. */
#define STRANGER_TIME MSEC(1000)
/* Of a hello and what may come right behind it, bytes. */
#define HELLO_SIZE_MAX 16384

static void free_link(struct peer_link *link)
{
	DL_DELETE(link->peers->links, link);
	bufferevent_free(link->bev);
	free(link);
}

/* Deferred, as a handler may still send on a link that has just failed. */
static void free_closed_links(evutil_socket_t fd, short what, void *arg)
{
	struct peers *peers = arg;
	struct peer_link *link;
	struct peer_link *next;

	(void)fd;
	(void)what;
	DL_FOREACH_SAFE (peers->links, link, next) {
		if (link->closed)
			free_link(link);
	}
}

/* Whether it has not told its name, and may be no instance at all. */
static bool is_stranger(const struct peer_link *link)
{
	return !link->outgoing && !link->up;
}

static void close_link(struct peer_link *link)
{
	struct peers *peers = link->peers;
	struct peer_handler *handler;

	if (link->closed)
		return;
	link->closed = true;
	if (is_stranger(link))
		peers->n_strangers--;
	bufferevent_disable(link->bev, EV_READ | EV_WRITE);
	event_active(peers->reaper, EV_TIMEOUT, 1);
	if (!link->up)
		return;
	metric_add(&peers->board->counters.peer_links, -1);
	for (handler = peers->handlers; handler; handler = handler->next) {
		if (handler->down)
			handler->down(handler->arg, link);
	}
}

size_t peer_backlog(const struct peer_link *link)
{
	return evbuffer_get_length(bufferevent_get_output(link->bev));
}

static size_t sum_backlogs(const struct peers *peers)
{
	const struct peer_link *link;
	size_t sum = 0;

	DL_FOREACH (peers->links, link)
		sum += peer_backlog(link);
	return sum;
}

/* Whether the other ends read too little, so that more would exhaust memory. */
static bool is_backlog_full(const struct peer_link *link, size_t backlog)
{
	if (backlog > BACKLOG_MAX_BYTES)
		return true;
	return backlog > BACKLOG_SHORT_BYTES &&
	       sum_backlogs(link->peers) > link->peers->backlog_max;
}

int peer_send(struct peer_link *link, enum frame_type type,
	      const ProtobufCMessage *message)
{
	struct evbuffer *out = bufferevent_get_output(link->bev);
	size_t before = evbuffer_get_length(out);
	int ret;

	if (link->closed)
		return ERR_UNAVAILABLE;
	if (is_backlog_full(link, before)) {
		metric_inc(&link->peers->board->counters.peer_frames_refused);
		return ERR_UNAVAILABLE;
	}
	ret = frame_write(out, type, message);
	link->last_sent_at = clock_now(link->peers->board->clock);
	if (!ret)
		peer_traffic_add(&link->peers->traffic, type,
				 evbuffer_get_length(out) - before);
	return ret;
}

static void send_hello(struct peer_link *link)
{
	const struct settings *settings = link->peers->board->settings;
	Peer__Hello hello = PEER__HELLO__INIT;
	char peer_address[ADDRESS_TEXT_SIZE];
	char caller_address[ADDRESS_TEXT_SIZE];

	address_format(&settings->peer_address, peer_address,
		       sizeof(peer_address));
	address_format(&settings->caller_address, caller_address,
		       sizeof(caller_address));
	hello.instance = settings->instance;
	hello.incarnation = link->peers->board->incarnation;
	hello.data_centre = settings->data_centre;
	hello.peer_address = peer_address;
	hello.caller_address = caller_address;
	hello.leaving = link->peers->board->lifecycle >= LIFECYCLE_LEAVING;
	peer_send(link, FRAME_HELLO, &hello.base);
}

/*
 * Writes as much as the socket accepts now. The link is closed next, and the
 * other end must get the last frames; bufferevent_flush() does nothing for
 * sockets.
 */
static void close_with_failure(struct peer_link *link, int code)
{
	Peer__Failure failure = PEER__FAILURE__INIT;

	metric_inc(&link->peers->board->counters.peer_frames_bad);
	LOG_WARN("link_closed", LOG_TEXT("peer", link->instance),
		 LOG_TEXT("error", error_name(code)));
	failure.code = code;
	failure.subject = (char *)"frame";
	peer_send(link, FRAME_FAILURE, &failure.base);
	conn_write(link->bev);
	close_link(link);
}

static void handle_hello(struct peer_link *link, const Peer__Hello *hello)
{
	struct peers *peers = link->peers;
	struct peer_handler *handler;

	/* A different instance has the address: the fleet was out of date. */
	if (!hello->incarnation ||
	    strlen(hello->instance) >= sizeof(link->instance) ||
	    (link->outgoing && strcmp(link->instance, hello->instance))) {
		close_with_failure(link, ERR_FOREIGN);
		return;
	}
	str_copy(link->instance, sizeof(link->instance),
		 str_from(hello->instance));
	link->incarnation = hello->incarnation;
	if (is_stranger(link))
		peers->n_strangers--;
	link->up = true;
	metric_add(&peers->board->counters.peer_links, 1);
	if (!link->outgoing)
		send_hello(link);
	for (handler = peers->handlers; handler; handler = handler->next) {
		if (handler->up)
			handler->up(handler->arg, link);
	}
}

static void handle_frame(struct peer_link *link, struct frame *frame)
{
	struct peer_handler *handler;

	metric_inc(&link->peers->board->counters.peer_frames_in);
	if (!link->up) {
		if (frame->type == FRAME_HELLO)
			handle_hello(link, (Peer__Hello *)frame->message);
		else
			close_with_failure(link, ERR_FRAME);
		return;
	}
	if (frame->type == FRAME_FAILURE) {
		const Peer__Failure *failure = (Peer__Failure *)frame->message;

		LOG_WARN("peer_failure", LOG_TEXT("peer", link->instance),
			 LOG_TEXT("error", error_name(failure->code)));
		return;
	}
	for (handler = link->peers->handlers; handler;
	     handler = handler->next) {
		if (handler->types & (1u << frame->type) && frame->message)
			handler->frame(handler->arg, link, frame);
	}
}

static void on_read(struct bufferevent *bev, void *arg)
{
	struct peer_link *link = arg;
	struct evbuffer *in = bufferevent_get_input(bev);
	struct frame frame;
	int ret = 0;

	link->last_received_at = clock_now(link->peers->board->clock);
	while (!link->closed && (ret = frame_read(in, &frame)) > 0) {
		handle_frame(link, &frame);
		/* NULL if a handler took ownership. */
		if (frame.message)
			frame_finish(&frame);
	}
	if (link->closed)
		return;
	if (ret < 0)
		close_with_failure(link, ret);
	else if (!link->up && evbuffer_get_length(in) > HELLO_SIZE_MAX)
		close_with_failure(link, ERR_TOO_LARGE);
}

static void notify_refused(struct peer_link *link)
{
	struct peer_handler *handler;

	for (handler = link->peers->handlers; handler;
	     handler = handler->next) {
		if (handler->refused)
			handler->refused(handler->arg, str_from(link->instance),
					 link->incarnation);
	}
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	struct peer_link *link = arg;

	(void)bev;
	if (what & BEV_EVENT_CONNECTED) {
		send_hello(link);
		return;
	}
	if (what & BEV_EVENT_ERROR && link->outgoing && !link->up &&
	    EVUTIL_SOCKET_ERROR() == ECONNREFUSED)
		notify_refused(link);
	close_link(link);
}

static struct peer_link *add_link(struct peers *peers, evutil_socket_t fd,
				  bool outgoing)
{
	struct peer_link *link = mem_zalloc(sizeof(*link));

	link->peers = peers;
	link->outgoing = outgoing;
	link->opened_at = clock_now(peers->board->clock);
	link->last_received_at = link->opened_at;
	link->last_sent_at = link->opened_at;
	link->bev = bufferevent_socket_new(peers->board->base, fd,
					   BEV_OPT_CLOSE_ON_FREE);
	bufferevent_priority_set(link->bev, LOOP_STATE);
	bufferevent_setcb(link->bev, on_read, NULL, on_event, link);
	bufferevent_enable(link->bev, EV_READ | EV_WRITE);
	DL_APPEND(peers->links, link);
	return link;
}

static void set_nodelay(evutil_socket_t fd)
{
	int on = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

/* Instances tell their name at once, but many may connect at the same time. */
static bool replace_stranger(struct peers *peers)
{
	int64_t latest = clock_now(peers->board->clock) - STRANGER_TIME;
	struct peer_link *link;

	DL_FOREACH (peers->links, link) {
		if (!is_stranger(link) || link->closed ||
		    link->opened_at > latest)
			continue;
		metric_inc(&peers->board->counters.peer_strangers_closed);
		close_link(link);
		return true;
	}
	return false;
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *sa, int len, void *arg)
{
	struct peers *peers = arg;

	(void)listener;
	(void)sa;
	(void)len;
	set_nodelay(fd);
	if (peers->n_strangers >= peers->strangers_max &&
	    !replace_stranger(peers)) {
		metric_inc(&peers->board->counters.peer_strangers_closed);
		evutil_closesocket(fd);
		return;
	}
	peers->n_strangers++;
	add_link(peers, fd, false);
}

static struct peer_link *find_outgoing(struct peers *peers, struct str instance)
{
	struct peer_link *link;

	DL_FOREACH (peers->links, link) {
		if (link->outgoing && !link->closed &&
		    str_eq_text(instance, link->instance))
			return link;
	}
	return NULL;
}

struct peer_link *peers_find(struct peers *peers, struct str instance)
{
	struct peer_link *link = find_outgoing(peers, instance);

	return link && link->up ? link : NULL;
}

struct peer_link *peers_find_any(struct peers *peers, struct str instance)
{
	struct peer_link *found = peers_find(peers, instance);
	struct peer_link *link;

	if (found)
		return found;
	DL_FOREACH (peers->links, link) {
		if (link->up && !link->closed &&
		    str_eq_text(instance, link->instance))
			found = link;
	}
	return found;
}

static void connect_to(struct peers *peers, const struct fleet_member *member)
{
	struct sockaddr_in sin = address_sockaddr(&member->peer_address);
	struct peer_link *link = add_link(peers, -1, true);

	str_copy(link->instance, sizeof(link->instance),
		 str_from(member->instance));
	link->incarnation = member->incarnation;
	link->address = member->peer_address;
	if (bufferevent_socket_connect(link->bev, (struct sockaddr *)&sin,
				       sizeof(sin))) {
		close_link(link);
		return;
	}
	/* A new socket takes the default. */
	bufferevent_priority_set(link->bev, LOOP_STATE);
	set_nodelay(bufferevent_getfd(link->bev));
}

/* The news that an instance has ended may overtake its last frames. */
static void read_last(struct peer_link *link)
{
	if (!link->up)
		return;
	conn_read(link->bev);
	on_read(link->bev, link);
}

static bool is_unwanted(const struct peers *peers, const struct peer_link *link,
			int64_t now)
{
	return peers->wanted && now - link->last_received_at >= UNWANTED_IDLE &&
	       now - link->last_sent_at >= UNWANTED_IDLE &&
	       !hub_links_contain(peers->wanted, link->instance);
}

static void close_unneeded(struct peers *peers)
{
	int64_t now = clock_now(peers->board->clock);
	struct peer_link *link;

	DL_FOREACH (peers->links, link) {
		struct fleet_member *member;

		if (link->closed)
			continue;
		if (!link->up && now - link->opened_at > HELLO_TIMEOUT)
			close_link(link);
		if (!link->outgoing)
			continue;
		member = fleet_find(&peers->board->fleet,
				    str_from(link->instance));
		if (!member ||
		    !address_eq(&member->peer_address, &link->address) ||
		    is_unwanted(peers, link, now)) {
			read_last(link);
			close_link(link);
		}
	}
}

static void connect_wanted(struct peers *peers)
{
	const struct hub_links *wanted = peers->wanted;
	int i;

	for (i = 0; i < wanted->n; i++) {
		struct str name = str_from(wanted->names[i]);
		struct fleet_member *member =
			fleet_find(&peers->board->fleet, name);

		if (member && !find_outgoing(peers, name))
			connect_to(peers, member);
	}
}

static void connect_missing(struct peers *peers)
{
	struct fleet_member *member;
	struct fleet_member *next;

	if (peers->wanted) {
		connect_wanted(peers);
		return;
	}
	HASH_ITER (hh, peers->board->fleet.members, member, next) {
		if (!find_outgoing(peers, str_from(member->instance)))
			connect_to(peers, member);
	}
}

void peers_update_links(struct peers *peers)
{
	close_unneeded(peers);
	connect_missing(peers);
}

static void on_fleet(void *arg)
{
	peers_update_links(arg);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	on_fleet(arg);
}

static void on_accept_error(struct evconnlistener *listener, void *arg)
{
	struct peers *peers = arg;

	(void)listener;
	accept_backoff_start(&peers->guard);
}

int peers_init(struct peers *peers, struct blackboard *board)
{
	static const struct timeval period = {0, RECONNECT_MS * 1000};
	struct sockaddr_in sin =
		address_sockaddr(&board->settings->peer_address);

	memset(peers, 0, sizeof(*peers));
	peers->board = board;
	peers->backlog_max = BACKLOG_MAX_BYTES;
	peers->strangers_max = STRANGERS_MAX;
	peers->listener = evconnlistener_new_bind(board->base, on_accept, peers,
						  LEV_OPT_CLOSE_ON_FREE |
							  LEV_OPT_REUSEABLE,
						  -1, (struct sockaddr *)&sin,
						  sizeof(sin));
	if (!peers->listener)
		return ERR_ADDRESS;
	accept_backoff_init(&peers->guard, board->base, peers->listener);
	evconnlistener_set_error_cb(peers->listener, on_accept_error);
	peers->timer = event_new(board->base, -1, EV_PERSIST, on_timer, peers);
	peers->reaper = evtimer_new(board->base, free_closed_links, peers);
	event_add(peers->timer, &period);
	blackboard_watch(board, BLACKBOARD_FLEET, &peers->fleet_watch, on_fleet,
			 peers);
	return 0;
}

void peers_flush(struct peers *peers)
{
	struct peer_link *link;

	DL_FOREACH (peers->links, link) {
		if (link->up && !link->closed)
			conn_write(link->bev);
	}
}

void peers_finish(struct peers *peers)
{
	struct peer_link *link;
	struct peer_link *next;

	peers_flush(peers);
	DL_FOREACH_SAFE (peers->links, link, next)
		free_link(link);
	accept_backoff_finish(&peers->guard);
	evconnlistener_free(peers->listener);
	event_free(peers->timer);
	event_free(peers->reaper);
}

void peers_add_handler(struct peers *peers, struct peer_handler *handler)
{
	handler->next = peers->handlers;
	peers->handlers = handler;
}
