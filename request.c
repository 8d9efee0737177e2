#include "request.h"

#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include "mem.h"
#include "option.h"

#define DEADLINE_MAX_MS 600000

static const char *const mode_names[] = {"records", "count", NULL};

/* Members of any kind of request as parsed, before they are copied. */
struct parsed_request {
	char *request_id;
	char *service;
	char *ticket;
	char *key;
	char workspace[REQUEST_NAME_SIZE];
	int mode;
	int64_t limit;
	int64_t deadline_ms;
};

#define OFFSET_OF(member) offsetof(struct parsed_request, member)
#define ID_OPTION                                                              \
	{                                                                      \
		.name = "request_id", .type = OPTION_STRING,                   \
		.offset = OFFSET_OF(request_id), .min = 1,                     \
		.max = REQUEST_ID_SIZE - 1                                     \
	}
#define SERVICE_OPTION                                                         \
	{                                                                      \
		.name = "service", .type = OPTION_STRING,                      \
		.offset = OFFSET_OF(service), .required = true, .min = 1,      \
		.max = REQUEST_NAME_SIZE - 1                                   \
	}
#define DEADLINE_OPTION                                                        \
	{                                                                      \
		.name = "deadline_ms", .type = OPTION_INT,                     \
		.offset = OFFSET_OF(deadline_ms), .min = 1,                    \
		.max = DEADLINE_MAX_MS                                         \
	}

static const struct option_spec search_options[] = {
	ID_OPTION,
	SERVICE_OPTION,
	DEADLINE_OPTION,
	{.name = "mode",
	 .type = OPTION_ENUM,
	 .offset = OFFSET_OF(mode),
	 .names = mode_names},
	{.name = "limit",
	 .type = OPTION_INT,
	 .offset = OFFSET_OF(limit),
	 .min = 1,
	 .max = REQUEST_LIMIT_MAX,
	 .def = REQUEST_LIMIT_DEFAULT},
};

static const struct option_spec run_options[] = {
	ID_OPTION,
	SERVICE_OPTION,
	DEADLINE_OPTION,
	{.name = "ticket",
	 .type = OPTION_STRING,
	 .offset = OFFSET_OF(ticket),
	 .required = true,
	 .min = 1,
	 .max = REQUEST_KEY_SIZE - 1},
	{.name = "key",
	 .type = OPTION_STRING,
	 .offset = OFFSET_OF(key),
	 .required = true,
	 .min = 1,
	 .max = REQUEST_KEY_SIZE - 1},
};

static const struct option_spec ticket_options[] = {
	ID_OPTION,
	SERVICE_OPTION,
};

#undef OFFSET_OF

#define N_TICKET_OPTIONS (int)(sizeof(ticket_options) / sizeof(*ticket_options))
#define N_SEARCH_OPTIONS (int)(sizeof(search_options) / sizeof(*search_options))
#define N_RUN_OPTIONS (int)(sizeof(run_options) / sizeof(*run_options))

/**
 * struct request_schema - the members of a kind of request
 * @options: members that are converted
 * @n: number of @options
 * @json_member: name of the member that is kept as JSON, or NULL
 * @json_member_required: whether that member is required
 * @json_member_type: its JSON type; json_type_null: any
 */
struct request_schema {
	const struct option_spec *options;
	int n;
	const char *json_member;
	bool json_member_required;
	enum json_type json_member_type;
};

static const struct request_schema search_schema = {
	search_options, N_SEARCH_OPTIONS, "where", false, json_type_object,
};
static const struct request_schema run_schema = {
	run_options, N_RUN_OPTIONS, "payload", true, json_type_null,
};

static const struct request_schema ticket_schema = {
	ticket_options, N_TICKET_OPTIONS, NULL, false, json_type_null,
};

static int read_json_member(const struct request_schema *schema,
			    struct json_object *value, char **json_text,
			    struct error *err)
{
	if (schema->json_member_type != json_type_null &&
	    !json_object_is_type(value, schema->json_member_type))
		return error_set(err, ERR_TYPE, schema->json_member, NULL,
				 "an object");
	free(*json_text);
	*json_text = mem_dup(json_object_to_json_string_ext(
		value,
		JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
	return 0;
}

/*
 * A longer name is truncated: it only groups requests for fair queueing under
 * overload.
 */
static void read_workspace(struct json_object *where,
			   struct parsed_request *parsed)
{
	struct json_object *value;

	*parsed->workspace = '\0';
	if (json_object_object_get_ex(where, "workspace", &value) &&
	    json_object_is_type(value, json_type_string))
		str_copy(parsed->workspace, sizeof(parsed->workspace),
			 str_from(json_object_get_string(value)));
}

static int read_members(const struct request_schema *schema,
			struct json_object *root, struct parsed_request *parsed,
			char **json_text, struct error *err)
{
	json_object_object_foreach(root, key, value)
	{
		int ret;
		int i;

		if (schema->json_member && !strcmp(key, schema->json_member)) {
			ret = read_json_member(schema, value, json_text, err);
			if (ret)
				return ret;
			if (schema == &search_schema)
				read_workspace(value, parsed);
			continue;
		}
		i = option_find(schema->options, schema->n, key);
		if (i < 0)
			return error_set(err, ERR_KEY_UNKNOWN, key, NULL,
					 "a member of docs/PROTOCOL.md");
		ret = option_read(&schema->options[i], value, parsed, key, err);
		if (ret)
			return ret;
	}
	return 0;
}

static int check_required(const struct request_schema *schema,
			  struct json_object *root, struct error *err)
{
	int i;

	for (i = 0; i < schema->n; i++) {
		if (schema->options[i].required &&
		    !json_object_object_get_ex(root, schema->options[i].name,
					       NULL))
			return error_set(err, ERR_KEY_MISSING,
					 schema->options[i].name, NULL,
					 "a required member");
	}
	if (schema->json_member_required &&
	    !json_object_object_get_ex(root, schema->json_member, NULL))
		return error_set(err, ERR_KEY_MISSING, schema->json_member,
				 NULL, "a required member");
	return 0;
}

/* Ids go into headers and logs: printable ASCII without quotes or spaces. */
bool request_id_is_valid(struct str id)
{
	size_t i;

	for (i = 0; i < id.len; i++) {
		char c = id.data[i];

		if (c <= ' ' || c > '~' || c == '"' || c == '\\')
			return false;
	}
	return id.len && id.len < REQUEST_ID_SIZE;
}

static int check_id(const char *id, struct error *err)
{
	if (!id || request_id_is_valid(str_from(id)))
		return 0;
	return error_set(err, ERR_RANGE, "request_id", NULL,
			 "printable characters");
}

static int read_request(const struct request_schema *schema, const char *text,
			size_t len, struct parsed_request *parsed,
			char **json_text, struct error *err)
{
	struct json_object *root;
	int ret;

	ret = option_parse_document(text, len, &root, err);
	if (ret)
		return ret;
	ret = read_members(schema, root, parsed, json_text, err);
	if (!ret)
		ret = check_required(schema, root, err);
	if (!ret)
		ret = check_id(parsed->request_id, err);
	json_object_put(root);
	return ret;
}

static void copy_text(char *dst, size_t size, const char *text)
{
	if (text)
		str_copy(dst, size, str_from(text));
}

int search_request_init(struct search_request *request, const char *text,
			size_t len, struct error *err)
{
	struct parsed_request parsed = {0};
	int ret;

	memset(request, 0, sizeof(*request));
	option_set_defaults(search_options, N_SEARCH_OPTIONS, &parsed);
	ret = read_request(&search_schema, text, len, &parsed, &request->where,
			   err);
	if (!ret && !request->where)
		request->where = mem_dup("{}");
	copy_text(request->request_id, sizeof(request->request_id),
		  parsed.request_id);
	copy_text(request->service, sizeof(request->service), parsed.service);
	copy_text(request->workspace, sizeof(request->workspace),
		  parsed.workspace);
	request->mode = parsed.mode;
	request->limit = parsed.limit;
	request->deadline_ms = parsed.deadline_ms;
	option_finish(search_options, N_SEARCH_OPTIONS, &parsed);
	if (ret)
		search_request_finish(request);
	return ret;
}

void search_request_finish(struct search_request *request)
{
	free(request->where);
	request->where = NULL;
}

int run_request_init(struct run_request *request, const char *text, size_t len,
		     struct error *err)
{
	struct parsed_request parsed = {0};
	int ret;

	memset(request, 0, sizeof(*request));
	option_set_defaults(run_options, N_RUN_OPTIONS, &parsed);
	ret = read_request(&run_schema, text, len, &parsed, &request->payload,
			   err);
	copy_text(request->request_id, sizeof(request->request_id),
		  parsed.request_id);
	copy_text(request->service, sizeof(request->service), parsed.service);
	copy_text(request->ticket, sizeof(request->ticket), parsed.ticket);
	copy_text(request->key, sizeof(request->key), parsed.key);
	request->deadline_ms = parsed.deadline_ms;
	option_finish(run_options, N_RUN_OPTIONS, &parsed);
	if (ret)
		run_request_finish(request);
	return ret;
}

int ticket_request_init(struct ticket_request *request, const char *text,
			size_t len, struct error *err)
{
	struct parsed_request parsed = {0};
	int ret;

	memset(request, 0, sizeof(*request));
	option_set_defaults(ticket_options, N_TICKET_OPTIONS, &parsed);
	ret = read_request(&ticket_schema, text, len, &parsed, NULL, err);
	copy_text(request->request_id, sizeof(request->request_id),
		  parsed.request_id);
	copy_text(request->service, sizeof(request->service), parsed.service);
	option_finish(ticket_options, N_TICKET_OPTIONS, &parsed);
	return ret;
}

void run_request_finish(struct run_request *request)
{
	free(request->payload);
	request->payload = NULL;
}
