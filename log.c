#define LOG_MODULE "log"
#include "log.h"

#include <inttypes.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <event2/event.h>

#include "error.h"

#define LINE_SIZE 4096

/* A pipe takes a write of at most this many bytes whole once it polls ready. */
#define WRITE_SIZE 4096
/* Lines of about a second at 600 a second. */
#define BUNDLE_SIZE (256 * 1024)
#define WRITE_PERIOD_US 100000

struct line {
	char data[LINE_SIZE];
	size_t len;
};

/* Lines that are still to be written. */
static struct {
	int fd;
	struct event *timer;
	char data[BUNDLE_SIZE];
	size_t len;
	uint64_t dropped;
} bundle = {.fd = -1};

static const char *const level_names[] = {"debug", "info", "warn", "error"};

static enum log_level least_level = LOG_LEVEL_INFO;
static const char *own_instance;

void log_init(enum log_level level, const char *instance)
{
	least_level = level;
	own_instance = instance;
}

int log_level_parse(const char *name, enum log_level *out)
{
	int i;

	for (i = 0; i <= LOG_LEVEL_ERROR; i++) {
		if (strcmp(name, level_names[i]))
			continue;
		*out = i;
		return 0;
	}
	return ERR_RANGE;
}

/* The last byte is kept for the newline: a long line is cut, never split. */
static void put_char(struct line *line, char c)
{
	if (line->len < LINE_SIZE - 1)
		line->data[line->len++] = c;
}

static void put_raw(struct line *line, const char *text)
{
	while (*text)
		put_char(line, *text++);
}

static void put_quoted(struct line *line, struct str s)
{
	size_t i;

	put_char(line, '"');
	for (i = 0; i < s.len; i++) {
		unsigned char c = s.data[i];
		char hex[8];

		if (c == '"' || c == '\\') {
			put_char(line, '\\');
			put_char(line, c);
		} else if (c < 0x20 || c == 0x7f) {
			snprintf(hex, sizeof(hex), "\\u%04x", c);
			put_raw(line, hex);
		} else {
			put_char(line, c);
		}
	}
	put_char(line, '"');
}

static void put_key(struct line *line, const char *key)
{
	put_char(line, ',');
	put_quoted(line, str_from(key));
	put_char(line, ':');
}

static void put_field(struct line *line, const struct log_field *field)
{
	char number[40] = "";

	put_key(line, field->key);
	switch (field->kind) {
	case LOG_KIND_STR:
		put_quoted(line, field->s);
		return;
	case LOG_KIND_I64:
		snprintf(number, sizeof(number), "%" PRId64, field->i);
		break;
	case LOG_KIND_U64:
		snprintf(number, sizeof(number), "%" PRIu64, field->u);
		break;
	case LOG_KIND_F64:
		snprintf(number, sizeof(number), "%.6g", field->f);
		break;
	case LOG_KIND_END:
		break;
	}
	put_raw(line, number);
}

static void put_time(struct line *line)
{
	struct timespec ts;
	struct tm tm;
	char text[40];

	clock_gettime(CLOCK_REALTIME, &ts);
	gmtime_r(&ts.tv_sec, &tm);
	strftime(text, sizeof(text), "{\"time\":\"%Y-%m-%dT%H:%M:%S", &tm);
	put_raw(line, text);
	snprintf(text, sizeof(text), ".%06ldZ\"", ts.tv_nsec / 1000);
	put_raw(line, text);
}

/* A write ends with a line: writes of several processes may share a pipe. */
static size_t whole_lines(void)
{
	const char *end;

	if (bundle.len <= WRITE_SIZE)
		return bundle.len;
	end = memrchr(bundle.data, '\n', WRITE_SIZE);
	return end ? (size_t)(end - bundle.data) + 1 : WRITE_SIZE;
}

/*
 * What fits into the pipe goes out; a reader that is slow or gone must not
 * stop the event loop.
 */
static void write_bundle(void)
{
	struct pollfd room = {.fd = bundle.fd, .events = POLLOUT};
	size_t n = whole_lines();
	ssize_t done;

	if (!n || poll(&room, 1, 0) <= 0 || !(room.revents & POLLOUT))
		return;
	done = write(bundle.fd, bundle.data, n);
	if (done <= 0)
		return;
	bundle.len -= (size_t)done;
	memmove(bundle.data, bundle.data + done, bundle.len);
}

static void on_write_timer(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	(void)arg;
	write_bundle();
}

static void add_to_bundle(const struct line *line)
{
	if (bundle.len + line->len > BUNDLE_SIZE)
		write_bundle();
	if (bundle.len + line->len > BUNDLE_SIZE) {
		bundle.dropped++;
		return;
	}
	memcpy(bundle.data + bundle.len, line->data, line->len);
	bundle.len += line->len;
}

void log_start(struct event_base *base, int fd)
{
	static const struct timeval period = {0, WRITE_PERIOD_US};

	bundle.fd = fd;
	bundle.timer = event_new(base, -1, EV_PERSIST, on_write_timer, NULL);
	event_add(bundle.timer, &period);
}

void log_stop(void)
{
	size_t before;

	if (bundle.fd < 0)
		return;
	do {
		before = bundle.len;
		write_bundle();
	} while (bundle.len && bundle.len < before);
	event_free(bundle.timer);
	bundle.fd = -1;
}

uint64_t log_dropped(void)
{
	return bundle.dropped;
}

void log_write(enum log_level level, const char *module, const char *event,
	       const struct log_field *fields)
{
	struct line line = {.len = 0};

	if (level < least_level)
		return;
	put_time(&line);
	put_key(&line, "level");
	put_quoted(&line, str_from(level_names[level]));
	if (own_instance) {
		put_key(&line, "instance");
		put_quoted(&line, str_from(own_instance));
	}
	put_key(&line, "module");
	put_quoted(&line, str_from(module));
	put_key(&line, "event");
	put_quoted(&line, str_from(event));
	for (; fields->kind != LOG_KIND_END; fields++)
		put_field(&line, fields);
	put_char(&line, '}');
	line.data[line.len++] = '\n';
	if (bundle.fd >= 0) {
		add_to_bundle(&line);
		return;
	}
	/* One write a line, so that lines of several processes do not mix. */
	if (write(STDERR_FILENO, line.data, line.len) < 0)
		return;
}
