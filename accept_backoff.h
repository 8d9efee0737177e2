/* Pauses a listening socket after a failed accept. */
#ifndef ACCEPT_BACKOFF_H
#define ACCEPT_BACKOFF_H

struct event;
struct event_base;
struct evconnlistener;

struct accept_backoff {
	struct evconnlistener *listener;
	struct event *timer;
};

/**
 * accept_backoff_init() - prepare the backoff of a listener
 * @backoff: finished with accept_backoff_finish()
 * @base: event loop of the timer
 * @listener: borrowed; outlives @backoff
 *
 * The caller calls accept_backoff_start() from the listener's error callback,
 * which evconnlistener_set_error_cb() sets.
 */
void accept_backoff_init(struct accept_backoff *backoff,
			 struct event_base *base,
			 struct evconnlistener *listener);
void accept_backoff_finish(struct accept_backoff *backoff);

/**
 * accept_backoff_start() - log the error and stop accepting for 100 ms
 * @backoff: initialised by accept_backoff_init()
 *
 * When the process is out of file descriptors, the pending connection stays in
 * the kernel's queue, and the listener would report the error in a busy loop.
 */
void accept_backoff_start(struct accept_backoff *backoff);

#endif
