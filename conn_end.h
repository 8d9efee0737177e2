/*
 * The end of a connection: what was written to its bufferevent reaches the
 * other end, also if the process exits right after.
 */
#ifndef CONN_END_H
#define CONN_END_H

#include <stdbool.h>
#include <stddef.h>

struct bufferevent;

/**
 * conn_unsent() - bytes of output that the kernel has not accepted yet
 */
size_t conn_unsent(const struct bufferevent *bev);

/**
 * conn_write() - pass output to the kernel, as far as it has room
 * @bev: keeps the rest
 */
void conn_write(struct bufferevent *bev);

/**
 * conn_write_last() - as conn_write(), with as much room as the output needs
 * @bev: is not written to by the event loop any more
 *
 * The kernel sends what it has accepted after the process has ended.
 *
 * Return: the bytes that were not accepted.
 */
size_t conn_write_last(struct bufferevent *bev);

/**
 * conn_read() - read what has arrived into the input of a bufferevent
 */
void conn_read(struct bufferevent *bev);

/**
 * conn_unread() - received bytes that were not read yet, the kernel's included
 */
size_t conn_unread(const struct bufferevent *bev);

/**
 * conn_has_input() - whether bytes were received that nobody has read
 */
bool conn_has_input(const struct bufferevent *bev);

/**
 * conn_discard_input() - read and drop what was received, up to a limit
 *
 * Closing a connection with unread input resets it, and the other end loses
 * what it has not read of the output.
 */
void conn_discard_input(const struct bufferevent *bev);

#endif
