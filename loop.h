/*
 * The event loop of a gateway. What decisions rest on, such as the view of the
 * store and the members, is handled before requests, however many wait.
 */
#ifndef LOOP_H
#define LOOP_H

struct event_base;

/* Priorities of events; those of libevent by default are LOOP_REQUESTS. */
enum loop_priority {
	LOOP_STATE,
	LOOP_REQUESTS,
	LOOP_PRIORITIES,
};

/**
 * loop_new() - make an event loop with these priorities
 *
 * Return: the loop, to be freed with event_base_free(); NULL if out of memory.
 */
struct event_base *loop_new(void);

/**
 * loop_free() - free an event loop whose users have finished
 *
 * Connections are freed in their loop's next turn, which event_base_free() does
 * not make up for if reading was suspended.
 */
void loop_free(struct event_base *base);

#endif
