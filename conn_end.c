#include "conn_end.h"

#include <sys/ioctl.h>
#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

/* Input that is discarded, bytes and times. */
#define DISCARD_SIZE 16384
#define DISCARDS_MAX 1024

size_t conn_unsent(const struct bufferevent *bev)
{
	return evbuffer_get_length(
		bufferevent_get_output((struct bufferevent *)bev));
}

void conn_write(struct bufferevent *bev)
{
	struct evbuffer *out = bufferevent_get_output(bev);
	int n = 1;

	/* Only the bufferevent may remove from its output otherwise. */
	evbuffer_unfreeze(out, 1);
	while (n > 0 && evbuffer_get_length(out))
		n = evbuffer_write(out, bufferevent_getfd(bev));
	evbuffer_freeze(out, 1);
}

static void grow_send_buffer(struct bufferevent *bev)
{
	evutil_socket_t fd = bufferevent_getfd(bev);
	int size = 0;
	socklen_t len = sizeof(size);

	if (getsockopt(fd, SOL_SOCKET, SO_SNDBUF, &size, &len))
		return;
	size += (int)conn_unsent(bev);
	setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &size, sizeof(size));
}

size_t conn_write_last(struct bufferevent *bev)
{
	if (!conn_unsent(bev))
		return 0;
	bufferevent_disable(bev, EV_WRITE);
	conn_write(bev);
	if (!conn_unsent(bev))
		return 0;
	grow_send_buffer(bev);
	conn_write(bev);
	return conn_unsent(bev);
}

void conn_read(struct bufferevent *bev)
{
	struct evbuffer *in = bufferevent_get_input(bev);
	int n = 1;

	evbuffer_unfreeze(in, 0);
	while (n > 0)
		n = evbuffer_read(in, bufferevent_getfd(bev), -1);
	evbuffer_freeze(in, 0);
}

static size_t received(const struct bufferevent *bev)
{
	return evbuffer_get_length(
		bufferevent_get_input((struct bufferevent *)bev));
}

static size_t kernel_unread(const struct bufferevent *bev)
{
	evutil_socket_t fd = bufferevent_getfd((struct bufferevent *)bev);
	int unread = 0;

	if (ioctl(fd, FIONREAD, &unread) || unread < 0)
		return 0;
	return (size_t)unread;
}

size_t conn_unread(const struct bufferevent *bev)
{
	return received(bev) + kernel_unread(bev);
}

bool conn_has_input(const struct bufferevent *bev)
{
	return received(bev) || kernel_unread(bev);
}

void conn_discard_input(const struct bufferevent *bev)
{
	evutil_socket_t fd = bufferevent_getfd((struct bufferevent *)bev);
	char discarded[DISCARD_SIZE];
	int i;

	for (i = 0; i < DISCARDS_MAX; i++) {
		if (recv(fd, discarded, sizeof(discarded), MSG_DONTWAIT) <= 0)
			return;
	}
}
