#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "error.h"
#include "list_sync.h"
#include "log.h"
#include "mem.h"
#include "unit.h"

#define NODES 20
#define MESSAGES_MAX 4096

struct node {
	struct net *net;
	int index;
	char name[16];
	struct table_peers peers;
	struct reader reader;
	struct list_sync sync;
	char *text; /* of the last update */
	uint64_t revision;
};

struct message {
	int from;
	int to;
	bool request;
	uint8_t *data;
	size_t len;
};

/* Simulates the instances of a data centre and the messages between them. */
struct net {
	struct clock clock;
	struct tunables tunables;
	struct node nodes[NODES];
	struct message messages[MESSAGES_MAX];
	int n_messages;
	int loss_interval; /* every n-th message is lost; 0: none */
	int sent;
	size_t bytes;
	int reverts;
};

static int index_of(const char *peer)
{
	return atoi(peer + 1);
}

static void queue_message(struct node *node, const char *peer, bool request,
			  uint8_t *data, size_t len)
{
	struct net *net = node->net;

	net->sent++;
	net->bytes += len;
	if (net->loss_interval && !(net->sent % net->loss_interval)) {
		free(data);
		return;
	}
	CU_ASSERT_FATAL(net->n_messages < MESSAGES_MAX);
	net->messages[net->n_messages++] =
		(struct message){node->index, index_of(peer), request, data,
				 len};
}

static void send_request(void *ctx, const char *peer,
			 const Peer__ListRequest *message)
{
	size_t len = peer__list_request__get_packed_size(message);
	uint8_t *data = mem_zalloc(len);

	peer__list_request__pack(message, data);
	queue_message(ctx, peer, true, data, len);
}

static void send_update(void *ctx, const char *peer,
			const Peer__ListUpdate *message)
{
	size_t len = peer__list_update__get_packed_size(message);
	uint8_t *data = mem_zalloc(len);

	peer__list_update__pack(message, data);
	queue_message(ctx, peer, false, data, len);
}

static void on_updated(void *ctx, struct str text)
{
	struct node *node = ctx;
	uint64_t revision = list_sync_newest(&node->sync)->revision;

	free(node->text);
	node->text = mem_dup_len(text.data, text.len);
	node->net->reverts += revision <= node->revision;
	node->revision = revision;
}

static const struct list_sync_ops ops = {
	.send_request = send_request,
	.send_update = send_update,
	.updated = on_updated,
};

static void net_init(struct net *net)
{
	struct table_member members[NODES];
	int i;

	memset(net, 0, sizeof(*net));
	clock_init_paused(&net->clock, MSEC(1000));
	option_set_defaults(tunable_rows, n_tunable_rows, &net->tunables);
	for (i = 0; i < NODES; i++) {
		struct node *node = &net->nodes[i];

		node->net = net;
		node->index = i;
		snprintf(node->name, sizeof(node->name), "n%d", i);
		members[i].instance = str_from(node->name);
		members[i].data_centre = STR("dc");
		members[i].leaving = false;
	}
	for (i = 0; i < NODES; i++) {
		struct node *node = &net->nodes[i];

		table_peers_init(&node->peers, node->name, "dc");
		table_peers_set(&node->peers, members, NODES);
		reader_init(&node->reader, &net->clock, &net->tunables,
			    (uint64_t)i);
		list_sync_init(&node->sync, &net->clock, &node->peers,
			       &node->reader, &ops, node);
	}
}

static void net_finish(struct net *net)
{
	int i;

	CU_ASSERT_EQUAL(net->reverts, 0);
	for (i = 0; i < net->n_messages; i++)
		free(net->messages[i].data);
	for (i = 0; i < NODES; i++) {
		list_sync_finish(&net->nodes[i].sync);
		table_peers_finish(&net->nodes[i].peers);
		free(net->nodes[i].text);
	}
}

static void receive(struct net *net, const struct message *message)
{
	struct node *node = &net->nodes[message->to];
	const char *from = net->nodes[message->from].name;

	if (message->request) {
		Peer__ListRequest *request =
			peer__list_request__unpack(NULL, message->len,
						   message->data);

		list_sync_request(&node->sync, from, request);
		peer__list_request__free_unpacked(request, NULL);
	} else {
		Peer__ListUpdate *update =
			peer__list_update__unpack(NULL, message->len,
						  message->data);

		list_sync_update(&node->sync, from, update);
		peer__list_update__free_unpacked(update, NULL);
	}
	free(message->data);
}

static void deliver(struct net *net)
{
	int i;

	for (i = 0; i < net->n_messages; i++) {
		struct message message = net->messages[i];

		receive(net, &message);
	}
	net->n_messages = 0;
}

/* Each node gets the revision of one other node, then its timers run. */
static void step(struct net *net)
{
	int i;

	clock_advance(&net->clock, MSEC(100));
	for (i = 0; i < NODES; i++) {
		struct node *node = &net->nodes[i];
		struct node *other = &net->nodes[(i + 7) % NODES];
		const struct instance_list *list =
			list_sync_newest(&other->sync);

		list_sync_peer_revision(&node->sync, other->name,
					list->revision, list->digest);
		list_sync_tick(&node->sync);
	}
	deliver(net);
}

static int count(const struct net *net, uint64_t revision)
{
	int n = 0;
	int i;

	for (i = 0; i < NODES; i++)
		n += net->nodes[i].revision == revision;
	return n;
}

static struct node *reader_of(struct net *net)
{
	return &net->nodes[index_of(net->nodes[0].peers.local[0].instance)];
}

/* Gives the reader a list of @n rows; row @changed contains @revision. */
static void publish(struct net *net, int n, int changed, uint64_t revision)
{
	char *text;
	size_t len;
	FILE *out = open_memstream(&text, &len);
	int i;

	fputc('[', out);
	for (i = n - 1; i >= 0; i--)
		fprintf(out, "{\"instance\":\"i%03d\",\"state\":\"%d\"}%s", i,
			i == changed ? (int)revision : 0, i ? "," : "");
	fputs("]", out);
	fclose(out);
	CU_ASSERT_EQUAL(list_sync_platform_list(&reader_of(net)->sync,
						(struct str){text, len},
						revision),
			0);
	free(text);
}

static void start(struct net *net)
{
	int i;

	publish(net, 50, 0, 10);
	for (i = 0; i < 60; i++)
		step(net);
	CU_ASSERT_EQUAL_FATAL(count(net, 10), NODES);
}

static void check_equal_texts(struct net *net)
{
	int i;

	for (i = 1; i < NODES; i++)
		CU_ASSERT_STRING_EQUAL(net->nodes[i].text, net->nodes[0].text);
}

/*
 * An instance disappears from the platform's list. Instances that do not read
 * the platform must learn of it, or they never take over its work. Only the
 * changed rows are pushed.
 */
static void test_push(void)
{
	struct net net;

	net_init(&net);
	start(&net);
	net.bytes = 0;
	publish(&net, 50, 7, 11);
	deliver(&net);
	deliver(&net);
	deliver(&net);
	CU_ASSERT_EQUAL(count(&net, 11), NODES);
	/* Two rows differ; the whole list would take 2 KB per node. */
	CU_ASSERT(net.bytes < NODES * 200);
	publish(&net, 49, 7, 12);
	deliver(&net);
	deliver(&net);
	deliver(&net);
	CU_ASSERT_EQUAL(count(&net, 12), NODES);
	CU_ASSERT_PTR_NULL(strstr(net.nodes[3].text, "i049"));
	check_equal_texts(&net);
	net_finish(&net);
}

/*
 * Every third message is lost while the list changes repeatedly. All nodes must
 * end with the last revision, built from differences to what each one had.
 */
static void test_loss(void)
{
	struct net net;
	uint64_t revision;
	int i;

	net_init(&net);
	start(&net);
	net.loss_interval = 3;
	for (revision = 11; revision < 40; revision++) {
		publish(&net, 30 + (int)revision % 20, (int)revision % 30,
			revision);
		step(&net);
	}
	for (i = 0; i < 100; i++)
		step(&net);
	CU_ASSERT_EQUAL(count(&net, 39), NODES);
	check_equal_texts(&net);
	net_finish(&net);
}

/*
 * Rejected: an old list from a stale replica of the platform, an old update
 * from a peer, an update with the wrong digest or an unknown base.
 */
static void test_refused(void)
{
	Peer__ListUpdate update = PEER__LIST_UPDATE__INIT;
	struct list_sync *sync;
	struct net net;

	net_init(&net);
	start(&net);
	sync = &reader_of(&net)->sync;
	CU_ASSERT_EQUAL(list_sync_platform_list(sync, STR("[]"), 9), ERR_STALE);
	CU_ASSERT_EQUAL(list_sync_platform_list(sync, STR("[]"), 10),
			ERR_STALE);
	CU_ASSERT_EQUAL(list_sync_platform_list(sync, STR("{}"), 11),
			ERR_SYNTAX);
	update.revision = 9;
	CU_ASSERT_EQUAL(list_sync_update(sync, "n1", &update), ERR_STALE);
	update.revision = 11;
	update.digest = 1;
	CU_ASSERT_EQUAL(list_sync_update(sync, "n1", &update), ERR_PROTOCOL);
	update.base_revision = 9;
	CU_ASSERT_EQUAL(list_sync_update(sync, "n1", &update), ERR_VERSION);
	CU_ASSERT_EQUAL(list_sync_newest(sync)->revision, 10);
	CU_ASSERT_EQUAL(list_sync_newest(sync)->n, 50);
	net_finish(&net);
}

/* Guards against a NUL in a name that ends it: another instance's row goes. */
static void test_odd_names(void)
{
	static const struct str rows =
		STR("[{\"instance\":\"i0\\u0000x\"},{\"instance\":\"i0\"},"
		    "{\"instance\":\"\"},{\"instance\":7},{\"instance\":null},"
		    "{},[],null,7]");
	const struct instance_list *list;
	struct net net;

	net_init(&net);
	start(&net);
	CU_ASSERT_EQUAL(list_sync_platform_list(&reader_of(&net)->sync, rows,
						11),
			0);
	list = list_sync_newest(&reader_of(&net)->sync);
	CU_ASSERT_EQUAL_FATAL(list->n, 1);
	CU_ASSERT_STRING_EQUAL(list->rows[0].instance, "i0");
	CU_ASSERT_STRING_EQUAL(list->rows[0].text, "{\"instance\":\"i0\"}");
	net_finish(&net);
}

static const struct unit_test tests[] = {
	{"push", test_push},
	{"loss", test_loss},
	{"refused", test_refused},
	{"odd names", test_odd_names},
};

int main(void)
{
	log_init(LOG_LEVEL_ERROR + 1, NULL);
	return unit_main("list_sync", tests,
			 (int)(sizeof(tests) / sizeof(*tests)));
}
