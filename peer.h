/*
 * Connections between instances. Each instance opens one to every member of
 * the fleet, itself included, or to those that the owner names; queries go out
 * on it and results come back. Connections opened by others carry their
 * queries.
 */
#ifndef PEER_H
#define PEER_H

#include <stdbool.h>
#include <stdint.h>

#include "accept_backoff.h"
#include "blackboard.h"
#include "fleet.h"
#include "frame.h"
#include "peer_traffic.h"

struct bufferevent;
struct event;
struct evconnlistener;
struct hub_links;
struct peers;

#define PEER_TOPIC_HANDLERS_MAX 4

/**
 * struct peer_link - one connection
 * @outgoing: opened by this instance
 * @up: Hello was exchanged; nothing else passes before
 * @instance: the other end, once up; for outgoing ones from the start
 * @last_received_at: when bytes last came
 * @used_at: when a frame was last sent
 */
struct peer_link {
	struct peers *peers;
	bool outgoing;
	bool up;
	bool doomed;
	char instance[FLEET_NAME_SIZE];
	uint64_t incarnation;
	struct address address;
	struct bufferevent *bev;
	int64_t last_received_at;
	int64_t used_at;
	int64_t opened_at;
	struct peer_link *prev;
	struct peer_link *next;
};

/**
 * struct peer_handler - who takes links and frames
 * @up: a link is ready; may be NULL
 * @down: a link that was up is gone; may be NULL
 * @frame: a frame of one of @types came
 * @refused: nothing listens at a member's peer address; may be NULL
 * @types: bit (1 << type) for each type taken
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
 * struct peers - all of an instance
 * @wanted: instances to connect to, set by the owner; NULL: all members
 * @traffic: what was sent
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
	struct peer_traffic traffic;
	struct blackboard_watch fleet_watch;
};

/**
 * peers_init() - listen and connect
 *
 * Return: 0, or ERR_ADDRESS if the peer address cannot be bound.
 */
int peers_init(struct peers *peers, struct blackboard *board);
void peers_finish(struct peers *peers);

/**
 * peers_add_handler() - hand links and frames to a module
 * @handler: owned by the caller, outlives @peers
 */
void peers_add_handler(struct peers *peers, struct peer_handler *handler);

/**
 * peers_find() - the outgoing link to an instance that is up, or NULL
 */
struct peer_link *peers_find(struct peers *peers, struct str instance);

/**
 * peers_find_any() - a link to or from an instance that is up, or NULL
 *
 * For what may go either way; of several the newest, for an older one may be
 * of a process that has ended.
 */
struct peer_link *peers_find_any(struct peers *peers, struct str instance);

/**
 * peers_update_links() - connect to those that are wanted now
 */
void peers_update_links(struct peers *peers);

/**
 * peer_backlog() - bytes that were sent on a link and not yet taken by it
 */
size_t peer_backlog(const struct peer_link *link);

/**
 * peer_send() - send a frame on a link
 *
 * Return: 0, or ERR_TOO_LARGE or ERR_UNAVAILABLE and nothing is sent.
 */
int peer_send(struct peer_link *link, enum frame_type type,
	      const ProtobufCMessage *message);

#endif
