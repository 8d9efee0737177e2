#include "connect_probe.h"

#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

#include <event2/event.h>

#include "error.h"

static void on_connected(evutil_socket_t fd, short what, void *arg)
{
	struct connect_probe *probe = arg;
	int error = probe->error;
	socklen_t len = sizeof(error);

	if (what & EV_TIMEOUT)
		error = ETIMEDOUT;
	else if (!error && getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len))
		error = errno;
	connect_probe_finish(probe);
	probe->done(probe->arg, crash_evidence_of(error));
}

int connect_probe_start(struct connect_probe *probe, struct event_base *base,
			const struct address *address, int64_t timeout,
			connect_probe_cb done, void *arg)
{
	struct timeval tv = {timeout / USEC_PER_SEC, timeout % USEC_PER_SEC};
	struct sockaddr_in sin = address_sockaddr(address);

	probe->done = done;
	probe->arg = arg;
	probe->error = 0;
	probe->fd =
		socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (probe->fd < 0)
		return ERR_SYSTEM;
	if (connect(probe->fd, (struct sockaddr *)&sin, sizeof(sin)) &&
	    errno != EINPROGRESS)
		probe->error = errno;
	probe->event =
		event_new(base, probe->fd, EV_WRITE, on_connected, probe);
	if (probe->error)
		event_active(probe->event, EV_WRITE, 1);
	else
		event_add(probe->event, timeout ? &tv : NULL);
	return 0;
}

void connect_probe_finish(struct connect_probe *probe)
{
	if (!probe->event)
		return;
	event_free(probe->event);
	probe->event = NULL;
	close(probe->fd);
}
