/* A listener that rests when a connection cannot be accepted. */
#ifndef ACCEPT_GUARD_H
#define ACCEPT_GUARD_H

struct event;
struct event_base;
struct evconnlistener;

struct accept_backoff {
	struct evconnlistener *listener;
	struct event *timer;
};

/**
 * accept_backoff_init() - guard a listener
 *
 * The caller calls accept_backoff_start() from the listener's error callback,
 * which evconnlistener_set_error_cb() sets.
 */
void accept_backoff_init(struct accept_backoff *guard, struct event_base *base,
			 struct evconnlistener *listener);
void accept_backoff_finish(struct accept_backoff *guard);

/**
 * accept_backoff_start() - stop listening for a moment
 *
 * Without descriptors the next connection stays in the kernel's queue, and
 * the listener would call back for it without end.
 */
void accept_backoff_start(struct accept_backoff *guard);

#endif
