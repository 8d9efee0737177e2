/*
 * Connections between instances. Each instance opens one to every member of
 * the fleet, itself included, or to the members that its owner selects. It
 * sends queries on these and receives the results; connections opened by other
 * instances carry their queries.
 */
#ifndef PEER_H
#define PEER_H

#include <stdbool.h>
#include <stdint.h>

#include "accept_backoff.h"
#include "blackboard.h"
#include "fleet.h"
#include "frame.h"
#include "link_delay.h"
#include "peer_traffic.h"

struct bufferevent;
struct event;
struct evconnlistener;
struct hub_links;
struct peers;

/**
 * struct peer_link - one connection
 * @peers: owner
 * @outgoing: opened by this instance
 * @up: Hello was exchanged; no other frames are accepted before
 * @closed: failed or no longer needed; freed in the next loop iteration
 * @instance: the other end; set at creation if @outgoing, else with its Hello
 * @incarnation: of the other end
 * @address: connected to, if @outgoing
 * @bev: owned
 * @last_received_at: when bytes were last received
 * @last_sent_at: when a frame was last sent
 * @opened_at: when the link was created
 * @delay: of part requests received
 */
struct peer_link {
	struct peers *peers;
	bool outgoing;
	bool up;
	bool closed;
	char instance[FLEET_NAME_SIZE];
	uint64_t incarnation;
	struct address address;
	struct bufferevent *bev;
	int64_t last_received_at;
	int64_t last_sent_at;
	int64_t opened_at;
	struct link_delay delay;
	struct peer_link *prev;
	struct peer_link *next;
};

/**
 * struct peer_handler - callbacks of a module for links and frames
 * @up: a link completed its handshake; may be NULL
 * @down: a link that was up was closed; may be NULL
 * @frame: a frame of one of @types was received; the handler may set
 *	@frame->message to NULL to take ownership of the message
 * @refused: a member's peer address refused the connection; may be NULL
 * @types: bit (1 << type) for each type to be passed to @frame
 * @arg: passed to the callbacks
 */
struct peer_handler {
	void (*up)(void *arg, struct peer_link *link);
	void (*down)(void *arg, struct peer_link *link);
	void (*frame)(void *arg, struct peer_link *link, struct frame *frame);
	void (*refused)(void *arg, struct str instance, uint64_t incarnation);
	uint32_t types;
	void *arg;
	struct peer_handler *next;
};

/**
 * struct peers - all links of an instance
 * @board: borrowed
 * @wanted: instances to connect to, set by the owner; NULL: all members
 * @listener: at the peer address
 * @guard: pauses @listener when accept() fails
 * @timer: closes and opens links periodically
 * @reaper: frees closed links
 * @links: incoming and outgoing
 * @handlers: registered by peers_add_handler()
 * @n_strangers: incoming links that have not said hello
 * @strangers_max: of them; beyond it, the first of them makes place
 * @backlog_max: bytes that all other ends together have not read; beyond it,
 *	nothing is sent to those that read least
 * @traffic: frames and bytes sent
 * @fleet_watch: for changes of the fleet
 */
struct peers {
	struct blackboard *board;
	const struct hub_links *wanted;
	struct evconnlistener *listener;
	struct accept_backoff guard;
	struct event *timer;
	struct event *reaper;
	struct peer_link *links;
	struct peer_handler *handlers;
	int n_strangers;
	int strangers_max;
	size_t backlog_max;
	struct peer_traffic traffic;
	struct blackboard_watch fleet_watch;
};

/**
 * peers_init() - listen at the peer address and start connecting
 *
 * Return: 0, or ERR_ADDRESS if the peer address cannot be bound.
 */
int peers_init(struct peers *peers, struct blackboard *board);

/**
 * peers_flush() - write what is queued on the links, as far as their sockets
 * accept it now
 * @peers: the links
 *
 * Frames of peer_send() are otherwise written by the event loop, and lost if it
 * does not run again.
 */
void peers_flush(struct peers *peers);

/**
 * peers_finish() - as peers_flush(), and close the links
 * @peers: the links
 */
void peers_finish(struct peers *peers);

/**
 * peers_add_handler() - register callbacks
 * @handler: owned by the caller, outlives @peers
 */
void peers_add_handler(struct peers *peers, struct peer_handler *handler);

/**
 * peers_find() - find an outgoing link that is up
 *
 * Return: the link to @instance, or NULL.
 */
struct peer_link *peers_find(struct peers *peers, struct str instance);

/**
 * peers_find_any() - find a link that is up, in either direction
 *
 * Return: the outgoing link to @instance or else the newest incoming one, as an
 * older one may belong to a process that has ended; or NULL.
 */
struct peer_link *peers_find_any(struct peers *peers, struct str instance);

/**
 * peers_update_links() - close unneeded links and open missing ones
 */
void peers_update_links(struct peers *peers);

/**
 * peer_backlog() - bytes queued on a link that its socket has not accepted yet
 */
size_t peer_backlog(const struct peer_link *link);

/**
 * peer_send() - queue a frame on a link
 *
 * Return: 0, or an error of frame_write(), or ERR_UNAVAILABLE if the link is
 * closed or its backlog is full; nothing is sent after an error.
 */
int peer_send(struct peer_link *link, enum frame_type type,
	      const ProtobufCMessage *message);

#endif
