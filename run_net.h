/*
 * Runs the tickets of this instance and the requests under them: frames from
 * and to other instances, and the choice of a server.
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
 * struct run_net - the wiring of struct run_tracker
 * @forwarded: requests that other instances handed to this one
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
};

void run_net_init(struct run_net *net, struct blackboard *board,
		  struct peers *peers);

/**
 * run_net_finish() - tell those who wait that the outcome is not known
 */
void run_net_finish(struct run_net *net);

/**
 * run_net_issue() - issue a ticket
 * @text: of TICKET_TEXT_SIZE bytes
 * @retry_after_ms: set on failure
 *
 * Return: 0; ERR_NO_SERVICE; ERR_LEAVING; ERR_OVERLOAD.
 */
int run_net_issue(struct run_net *net, struct str service, char *text,
		  uint32_t *retry_after_ms);

/**
 * run_net_run() - take a caller's request, see run_accept()
 *
 * Its deadline is bounded by that of the service.
 */
void run_net_run(struct run_net *net, struct run_message *message,
		 struct run_waiter *wait);

#endif
