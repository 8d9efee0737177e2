#include "common.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <json-c/json.h>

#include "clock.h"
#include "error.h"

#define IDLE_TIMEOUT_SECONDS 600

static void on_signal(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	event_base_loopbreak(arg);
}

static int bound_port(struct evhttp_bound_socket *socket)
{
	struct sockaddr_in sin;
	socklen_t len = sizeof(sin);

	if (getsockname(evhttp_bound_socket_get_fd(socket),
			(struct sockaddr *)&sin, &len))
		return ERR_SYSTEM;
	return ntohs(sin.sin_port);
}

int common_server_init(struct common_server *server, int port)
{
	struct evhttp_bound_socket *socket;

	memset(server, 0, sizeof(*server));
	signal(SIGPIPE, SIG_IGN);
	server->base = event_base_new();
	if (!server->base)
		return ERR_SYSTEM;
	server->http = evhttp_new(server->base);
	evhttp_set_timeout(server->http, IDLE_TIMEOUT_SECONDS);
	server->sigterm_event =
		evsignal_new(server->base, SIGTERM, on_signal, server->base);
	server->sigint_event =
		evsignal_new(server->base, SIGINT, on_signal, server->base);
	event_add(server->sigterm_event, NULL);
	event_add(server->sigint_event, NULL);
	socket = evhttp_bind_socket_with_handle(server->http, COMMON_HOST,
						(uint16_t)port);
	if (!socket) {
		common_server_finish(server);
		return ERR_ADDRESS;
	}
	server->port = bound_port(socket);
	return server->port < 0 ? server->port : 0;
}

void common_server_run(struct common_server *server)
{
	printf("{\"port\":%d}\n", server->port);
	fflush(stdout);
	event_base_dispatch(server->base);
}

void common_server_finish(struct common_server *server)
{
	evhttp_free(server->http);
	event_free(server->sigterm_event);
	event_free(server->sigint_event);
	event_base_free(server->base);
	memset(server, 0, sizeof(*server));
}

struct str common_request_body(struct evhttp_request *req)
{
	struct evbuffer *buf = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(buf);

	if (!len)
		return STR("");
	return (struct str){(const char *)evbuffer_pullup(buf, -1), len};
}

struct json_object *common_request_json(struct evhttp_request *req)
{
	struct str body = common_request_body(req);
	struct json_tokener *tok = json_tokener_new();
	struct json_object *root;

	root = json_tokener_parse_ex(tok, body.data, (int)body.len);
	json_tokener_free(tok);
	if (json_object_is_type(root, json_type_object))
		return root;
	json_object_put(root);
	return NULL;
}

void common_reply(struct evhttp_request *req, int status, const char *type,
		  struct str body)
{
	if (type)
		evhttp_add_header(evhttp_request_get_output_headers(req),
				  "Content-Type", type);
	evbuffer_add(evhttp_request_get_output_buffer(req), body.data,
		     body.len);
	evhttp_send_reply(req, status, NULL, NULL);
}

void common_reply_json(struct evhttp_request *req, int status,
		       struct json_object *body)
{
	const char *text =
		json_object_to_json_string_ext(body, JSON_C_TO_STRING_PLAIN);

	common_reply(req, status, "application/json", str_from(text));
	json_object_put(body);
}

void common_reply_empty(struct evhttp_request *req, int status)
{
	common_reply(req, status, NULL, STR(""));
}

uint64_t common_query_u64(const struct evkeyvalq *query, const char *name,
			  uint64_t default_value)
{
	const char *text = evhttp_find_header(query, name);
	uint64_t n;

	if (!text || str_parse_u64(str_from(text), &n))
		return default_value;
	return n;
}

struct timeval common_timeval(int64_t usec)
{
	if (usec < 0)
		usec = 0;
	return (struct timeval){usec / USEC_PER_SEC, usec % USEC_PER_SEC};
}

int64_t common_cpu_usec(void)
{
	struct rusage usage;

	getrusage(RUSAGE_SELF, &usage);
	return (usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) * USEC_PER_SEC +
	       usage.ru_utime.tv_usec + usage.ru_stime.tv_usec;
}
