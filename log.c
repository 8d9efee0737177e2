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
/* Texts of a line are cut here, to leave room for the keys and numbers. */
#define TEXT_END (LINE_SIZE - 1024)

/*
 * A pipe accepts a write of up to this many bytes (PIPE_BUF) in full once
 * poll() reports it writable.
 */
#define WRITE_MAX_SIZE 4096
/* Holds about one second of lines at 600 lines per second. */
#define BUFFER_SIZE (256 * 1024)
#define WRITE_PERIOD_US 100000

struct line {
	char data[LINE_SIZE];
	size_t len;
};

/* Lines that log_start() has deferred until the next write. */
static struct {
	int fd;
	struct event *timer;
	char data[BUFFER_SIZE];
	size_t len;
	uint64_t dropped;
} buffer = {.fd = -1};

static const char *const level_names[] = {"debug", "info", "warn", "error"};

static enum log_level min_level = LOG_LEVEL_INFO;
static const char *instance_name;

void log_init(enum log_level level, const char *instance)
{
	min_level = level;
	instance_name = instance;
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

/* Reserves the last byte for the newline: long lines are truncated. */
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

static void put_ascii(struct line *line, char c)
{
	char hex[8];

	if (c == '"' || c == '\\') {
		put_char(line, '\\');
		put_char(line, c);
	} else if (c < 0x20 || c == 0x7f) {
		snprintf(hex, sizeof(hex), "\\u%04x", (unsigned int)c);
		put_raw(line, hex);
	} else {
		put_char(line, c);
	}
}

/* Texts from outside may be of any bytes and length: the line stays JSON. */
static void put_quoted(struct line *line, struct str s)
{
	put_char(line, '"');
	while (s.len && line->len < TEXT_END) {
		size_t len = str_utf8_len(s);
		size_t i;

		if (!len)
			put_raw(line, "\\ufffd");
		if (len == 1)
			put_ascii(line, *s.data);
		for (i = 0; len > 1 && i < len; i++)
			put_char(line, s.data[i]);
		s.data += len ? len : 1;
		s.len -= len ? len : 1;
	}
	put_char(line, '"');
}

static void put_key(struct line *line, const char *key)
{
	put_raw(line, ",\"");
	put_raw(line, key);
	put_raw(line, "\":");
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

/*
 * Bytes to write next. Writes end at a line end if possible, because several
 * processes may share a pipe.
 */
static size_t writable_len(void)
{
	const char *end;

	if (buffer.len <= WRITE_MAX_SIZE)
		return buffer.len;
	end = memrchr(buffer.data, '\n', WRITE_MAX_SIZE);
	return end ? (size_t)(end - buffer.data) + 1 : WRITE_MAX_SIZE;
}

/* Never blocks: a slow or dead reader must not stall the event loop. */
static void flush_buffer(void)
{
	struct pollfd pollfd_out = {.fd = buffer.fd, .events = POLLOUT};
	size_t n = writable_len();
	ssize_t written;

	if (!n || poll(&pollfd_out, 1, 0) <= 0 ||
	    !(pollfd_out.revents & POLLOUT))
		return;
	written = write(buffer.fd, buffer.data, n);
	if (written <= 0)
		return;
	buffer.len -= (size_t)written;
	memmove(buffer.data, buffer.data + written, buffer.len);
}

static void on_write_timer(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	(void)arg;
	flush_buffer();
}

static void buffer_line(const struct line *line)
{
	if (buffer.len + line->len > BUFFER_SIZE)
		flush_buffer();
	if (buffer.len + line->len > BUFFER_SIZE) {
		buffer.dropped++;
		return;
	}
	memcpy(buffer.data + buffer.len, line->data, line->len);
	buffer.len += line->len;
}

void log_start(struct event_base *base, int fd)
{
	static const struct timeval period = {0, WRITE_PERIOD_US};

	buffer.fd = fd;
	buffer.timer = event_new(base, -1, EV_PERSIST, on_write_timer, NULL);
	event_add(buffer.timer, &period);
}

void log_stop(void)
{
	size_t before;

	if (buffer.fd < 0)
		return;
	do {
		before = buffer.len;
		flush_buffer();
	} while (buffer.len && buffer.len < before);
	event_free(buffer.timer);
	buffer.fd = -1;
}

uint64_t log_dropped(void)
{
	return buffer.dropped;
}

void log_write(enum log_level level, const char *module, const char *event,
	       const struct log_field *fields)
{
	struct line line = {.len = 0};

	if (level < min_level)
		return;
	put_time(&line);
	put_key(&line, "level");
	put_quoted(&line, str_from(level_names[level]));
	if (instance_name) {
		put_key(&line, "instance");
		put_quoted(&line, str_from(instance_name));
	}
	put_key(&line, "module");
	put_quoted(&line, str_from(module));
	put_key(&line, "event");
	put_quoted(&line, str_from(event));
	for (; fields->kind != LOG_KIND_END; fields++)
		put_field(&line, fields);
	put_char(&line, '}');
	line.data[line.len++] = '\n';
	if (buffer.fd >= 0) {
		buffer_line(&line);
		return;
	}
	/* One write() per line keeps lines of several processes intact. */
	if (write(STDERR_FILENO, line.data, line.len) < 0)
		return;
}
