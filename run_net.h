/*
 * Connects tickets and the requests under them with the other instances:
 * exchanges frames and chooses backend servers.
 */
#ifndef RUN_NET_H
#define RUN_NET_H

#include "blackboard.h"
#include "peer.h"
#include "run.h"
#include "ticket.h"
#include "wake_timer.h"

struct run_forwarded;

/**
 * struct run_net - tickets and requests of one instance
 * @board: state of this instance; borrowed
 * @peers: connections to other instances; borrowed
 * @tickets: tickets issued by this incarnation
 * @runs: requests in progress
 * @handler: handler of the frames
 * @forwarded: requests that other instances forwarded to this one
 * @timer: fires when run_tick() is due
 * @table_watch: watch for changes of the limits
 * @lifecycle_watch: for the stop of this instance
 */
struct run_net {
	struct blackboard *board;
	struct peers *peers;
	struct ticket_store tickets;
	struct run_tracker runs;
	struct peer_handler handler;
	struct run_forwarded *forwarded;
	struct wake_timer timer;
	struct blackboard_watch table_watch;
	struct blackboard_watch lifecycle_watch;
};

/**
 * run_net_init() - start handling tickets and requests
 * @net: owned by the caller
 * @board: borrowed
 * @peers: borrowed
 */
void run_net_init(struct run_net *net, struct blackboard *board,
		  struct peers *peers);

/**
 * run_net_finish() - answer all waiters with ERR_UNKNOWN and free everything
 * @net: the requests
 */
void run_net_finish(struct run_net *net);

/**
 * run_net_issue() - issue a ticket
 * @net: the requests
 * @service: name of the service that the ticket is valid for
 * @text: buffer of TICKET_TEXT_SIZE bytes, filled in on success
 * @retry_after_ms: set on failure, 0 if unspecified
 *
 * Return: 0; ERR_NO_SERVICE; ERR_NOT_RUN if there is no table yet; ERR_LEAVING;
 * ERR_OVERLOAD.
 */
int run_net_issue(struct run_net *net, struct str service, char *text,
		  uint32_t *retry_after_ms);

/**
 * run_net_run() - accept a request from a caller, see run_accept()
 * @net: the requests
 * @message: its deadline is limited to that of the service
 * @waiter: as for run_accept()
 */
void run_net_run(struct run_net *net, struct run_message *message,
		 struct run_waiter *waiter);

#endif
