/* Shared by the files of the dispatch module. */
#ifndef DISPATCH_PRIVATE_H
#define DISPATCH_PRIVATE_H

#include "dispatch.h"

/* One server may crash of its own while a request runs there. */
#define DISPATCH_CRASHES_MIN 2

/**
 * dispatch_may_crash_servers() - whether nobody has answered the request, and
 * it is not known to run well
 *
 * Return: false for one on trial, and without evidence.
 */
bool dispatch_may_crash_servers(const struct dispatch *dispatch);

/**
 * dispatch_part_in_flight() - whether a send of the part has no result yet
 */
bool dispatch_part_in_flight(const struct dispatch_part *part);

/**
 * dispatch_part_count_unread() - count the part's second sends that servers may
 * still receive
 */
void dispatch_part_count_unread(struct dispatch_part *part);

/**
 * dispatch_start_part() - send a part for the first time, unless it has failed
 */
void dispatch_start_part(struct dispatch_part *part);

/**
 * dispatch_start_trial() - send the only part that is sent before the others
 */
void dispatch_start_trial(struct dispatch *dispatch);

/**
 * dispatch_continue_trial() - try another part if the one before failed without
 * having run
 */
void dispatch_continue_trial(struct dispatch *dispatch);

/**
 * dispatch_try_after_crashes() - run a request that has crashed servers on one
 * more, as a trial, instead of ending it
 *
 * What only ran beside another request is answered then; one that crashes
 * servers is banned, without another sending of its caller. Called again when
 * the wait for the trial is over.
 *
 * Return: whether it waits for its trial or is on it.
 */
bool dispatch_try_after_crashes(struct dispatch *dispatch);

/**
 * dispatch_has_failed_trial() - whether the part that was sent first failed
 */
bool dispatch_has_failed_trial(const struct dispatch *dispatch);

/**
 * dispatch_servers_max() - number of servers that may run a part
 */
int64_t dispatch_servers_max(const struct dispatch *dispatch);

/**
 * dispatch_part_retry_or_fail() - schedule another attempt to send a part, or
 * mark it as failed
 * @code: why it was not sent
 */
void dispatch_part_retry_or_fail(struct dispatch_part *part, int code);

/**
 * dispatch_part_fail() - mark a pending part as failed
 */
void dispatch_part_fail(struct dispatch_part *part);

/**
 * dispatch_part_pick() - choose the server that a part would be sent to
 * @preferred_only: skip servers that should rather be avoided
 *
 * Return: borrowed; NULL if there is none.
 */
struct registry_server *dispatch_part_pick(const struct dispatch_part *part,
					   bool preferred_only);

/**
 * dispatch_part_has_spare_server() - whether the part could be sent to two more
 * servers, even if one should rather be avoided
 */
bool dispatch_part_has_spare_server(const struct dispatch_part *part);

/**
 * dispatch_is_temporary() - whether to wait until a server accepts the part
 * @code: why it does not now: no connection is free, it is cold, or it cannot
 *	serve the part in time behind more urgent ones
 *
 * A part of a sharded request delays nobody as long as other parts are pending.
 * A caller of a single server that is cold or overloaded gets the error at
 * once.
 */
bool dispatch_is_temporary(const struct dispatch *dispatch, int code);

/**
 * dispatch_part_queued_send() - find a send that is still queued here
 *
 * Return: NULL if there is none.
 */
struct dispatch_send *
dispatch_part_queued_send(const struct dispatch_part *part);

/**
 * dispatch_part_move() - send a queued part to another server instead
 *
 * Return: 0 with @queued abandoned; or an error of dispatch_part_send_again(),
 * the send stays queued.
 */
int dispatch_part_move(struct dispatch_part *part,
		       struct dispatch_send *queued);

/**
 * dispatch_part_send() - send a part to the best server that accepts it
 * @why: for logs
 * @preferred_only: skip servers that should rather be avoided
 *
 * Return: 0; ERR_NO_REPLICA if all servers were tried; ERR_BUDGET if one may
 * accept it later, see dispatch_is_temporary().
 */
int dispatch_part_send(struct dispatch_part *part, const char *why,
		       bool preferred_only);

/**
 * dispatch_part_send_first() - send a part that was not sent yet
 *
 * It earns the service's budget its share once a server has received it.
 *
 * Return: as of dispatch_part_send().
 */
int dispatch_part_send_first(struct dispatch_part *part);

/**
 * dispatch_part_send_again() - hedge or retry a part
 * @why: for logs
 * @hedge: it is a hedge, limited to half of the budget and to preferred servers
 *
 * Return: 0; ERR_NO_REPLICA if no server or attempt is left, or the answer
 * would be too late; ERR_BUDGET if the service's budget does not allow it now,
 * or no server accepts it now.
 */
int dispatch_part_send_again(struct dispatch_part *part, const char *why,
			     bool hedge);

/**
 * dispatch_load_add_demand() - set a request's cost and priority level, and
 * count it as demand on its service
 */
void dispatch_load_add_demand(struct dispatch *dispatch);

/**
 * dispatch_load_admit() - check a request against its service's load limit
 *
 * Return: whether it may be sent.
 */
bool dispatch_load_admit(struct dispatch *dispatch);

/**
 * dispatch_load_report() - raise or lower the load limit by a request's outcome
 * @code: 0, or its error
 *
 * Only the first call for a request has an effect.
 */
void dispatch_load_report(struct dispatch *dispatch, int code);

/**
 * dispatch_load_release() - end a request's share of the load limit
 */
void dispatch_load_release(struct dispatch *dispatch);

#endif
