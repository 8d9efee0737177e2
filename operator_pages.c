#include "operator_pages.h"

#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/http.h>
#include <evhtp.h>
#include <json-c/json.h>

#include "answer.h"
#include "burn_json.h"
#include "json_value.h"
#include "request.h"
#include "trace_json.h"

/* Maximum records per answer: a caller may reuse a request id many times. */
#define TRACES_MAX 16

static void send_json_reply(evhtp_request_t *http, int status)
{
	evhtp_headers_add_header(http->headers_out,
				 evhtp_header_new("Content-Type",
						  "application/json", 0, 0));
	evhtp_send_reply(http, (evhtp_res)status);
}

/* Takes ownership of @root. */
static void send_json_object(evhtp_request_t *http, struct json_object *root,
			     int status)
{
	const char *text = json_object_to_json_string_ext(
		root, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE);

	evbuffer_add(http->buffer_out, text, strlen(text));
	evbuffer_add(http->buffer_out, "\n", 1);
	json_object_put(root);
	send_json_reply(http, status);
}

static bool is_get(evhtp_request_t *http)
{
	if (evhtp_request_get_method(http) == htp_method_GET)
		return true;
	answer_error(http->buffer_out, STR(""), ERR_BAD_REQUEST, false, 0,
		     NULL);
	send_json_reply(http, EVHTP_RES_METHNALLOWED);
	return false;
}

static int http_status(int code)
{
	if (!code)
		return EVHTP_RES_OK;
	if (code == ERR_TRACE_EVICTED)
		return EVHTP_RES_GONE;
	return code == ERR_NO_TRACE ? EVHTP_RES_NOTFOUND : EVHTP_RES_BADREQ;
}

static void add_traces(struct json_object *root,
		       const struct trace_store *store, struct str request_id)
{
	struct json_object *list = json_object_new_array();
	const struct trace *trace = NULL;
	int i;

	for (i = 0; i < TRACES_MAX; i++) {
		if (trace_store_find(store, request_id, trace, &trace))
			break;
		json_object_array_add(list, trace_json(trace));
	}
	json_object_object_add(root, "traces", list);
}

/* Decodes the parameter "request_id". Returns NULL or a text to be freed. */
static char *request_id_param(evhtp_request_t *http)
{
	const char *text = NULL;
	char *id;

	if (http->uri->query)
		text = evhtp_kv_find(http->uri->query, "request_id");
	id = text ? evhttp_uridecode(text, 0, NULL) : NULL;
	/* The id is repeated in the JSON answer, which must be UTF-8. */
	if (!id || request_id_is_valid(str_from(id)))
		return id;
	free(id);
	return NULL;
}

static void on_explain(evhtp_request_t *http, void *arg)
{
	struct blackboard *board = arg;
	const struct trace_store *store = &board->traces;
	struct json_object *root;
	const struct trace *trace;
	char *id = request_id_param(http);
	int64_t retention;
	int code = ERR_BAD_REQUEST;

	if (!is_get(http)) {
		free(id);
		return;
	}
	if (id)
		code = trace_store_find(store, str_from(id), NULL, &trace);
	retention = clock_now(board->clock) - trace_store_oldest(store);
	root = json_object_new_object();
	json_value_add_text(root, "instance", board->settings->instance);
	json_value_add_text(root, "data_centre", board->settings->data_centre);
	json_value_add_text(root, "request_id", id ? id : "");
	json_value_add_text(root, "error", error_name(code));
	json_value_add_text(root, "text", error_text(code));
	json_object_object_add(root, "kept_ms",
			       json_object_new_int64(retention /
						     USEC_PER_MSEC));
	if (!code)
		add_traces(root, store, str_from(id));
	free(id);
	send_json_object(http, root, http_status(code));
}

static void on_burn(evhtp_request_t *http, void *arg)
{
	if (is_get(http))
		send_json_object(http, burn_json(arg), EVHTP_RES_OK);
}

void operator_pages_add(struct evhtp *http, struct blackboard *board)
{
	evhtp_set_cb(http, "/v1/explain", on_explain, board);
	evhtp_set_cb(http, "/v1/burn", on_burn, board);
}
