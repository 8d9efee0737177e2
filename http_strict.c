#include "http_strict.h"

#include <string.h>

#include "error.h"

enum strict_state {
	FIRST_LINE_START,
	STATUS_LINE,
	REQUEST_LINE,
	LINE_START,
	LINE,
	LINE_CR,
	BLANK_LINE_CR,
	BODY, /* not chunked */
	CHUNK_SIZE,
	CHUNK_EXTENSION,
	CHUNK_LINE_CR,
	CHUNK_DATA,
	CHUNK_END,
	CHUNK_END_CR,
};

/* What a status line begins with; d: any digit, s: one from 1 to 5. */
static const char status_pattern[] = "HTTP/1.d sdd";

#define REASON_COLUMN ((int)sizeof(status_pattern) - 1)

void http_strict_init(struct http_strict *strict, bool is_response)
{
	memset(strict, 0, sizeof(*strict));
	strict->is_response = is_response;
	strict->state = FIRST_LINE_START;
}

static bool is_digit(char c)
{
	return c >= '0' && c <= '9';
}

static bool is_control(char c)
{
	return ((unsigned char)c < 0x20 && c != '\t') || c == 0x7f;
}

/* Return: the value of a hexadecimal digit, -1 if it is none. */
static int hex_value(char c)
{
	if (is_digit(c))
		return c - '0';
	if (c >= 'a' && c <= 'f')
		return c - 'a' + 10;
	if (c >= 'A' && c <= 'F')
		return c - 'A' + 10;
	return -1;
}

static int enter(struct http_strict *strict, enum strict_state state)
{
	strict->state = state;
	return 0;
}

/* Return: 0 if it is the expected byte. */
static int expect(struct http_strict *strict, char c, char expected,
		  enum strict_state next)
{
	return c == expected ? enter(strict, next) : ERR_SYNTAX;
}

static bool is_status_char(int column, char c)
{
	switch (status_pattern[column]) {
	case 's':
		return c >= '1' && c <= '5';
	case 'd':
		return is_digit(c);
	default:
		return c == status_pattern[column];
	}
}

/* Many servers leave the blank before an empty reason out. */
static int read_status_line(struct http_strict *strict, char c)
{
	if (strict->column < REASON_COLUMN)
		return is_status_char(strict->column++, c) ? 0 : ERR_SYNTAX;
	if (c == '\r')
		return enter(strict, LINE_CR);
	if (c == '\n')
		return enter(strict, LINE_START);
	if (strict->column++ == REASON_COLUMN)
		return c == ' ' ? 0 : ERR_SYNTAX;
	return is_control(c) ? ERR_SYNTAX : 0;
}

static int read_first_line(struct http_strict *strict, char c)
{
	if (strict->is_response) {
		strict->state = STATUS_LINE;
		return read_status_line(strict, c);
	}
	/* Before a request, blank lines are skipped. */
	return c == '\r' || c == '\n' ? 0 : enter(strict, REQUEST_LINE);
}

/* Servers may take any white space for the end of the target. */
static int read_request_line(struct http_strict *strict, char c)
{
	if (c == '\r')
		return enter(strict, LINE_CR);
	if (c == '\n')
		return enter(strict, LINE_START);
	return c == '\t' || is_control(c) ? ERR_SYNTAX : 0;
}

static int end_head(struct http_strict *strict, bool is_chunked)
{
	strict->chunk_left = 0;
	strict->has_size = false;
	return enter(strict, is_chunked ? CHUNK_SIZE : BODY);
}

/* A field of a head or a trailer. */
static int read_line_start(struct http_strict *strict, char c, bool is_chunked)
{
	if (c == '\r')
		return enter(strict, BLANK_LINE_CR);
	if (c == '\n')
		return end_head(strict, is_chunked);
	/* A folded line: no sender may generate it. */
	if (strict->is_response && (c == ' ' || c == '\t'))
		return ERR_SYNTAX;
	return enter(strict, LINE);
}

static int read_line(struct http_strict *strict, char c)
{
	if (c == '\r')
		return enter(strict, LINE_CR);
	return c == '\n' ? enter(strict, LINE_START) : 0;
}

/* http-parser refuses a size that does not fit. */
static int read_chunk_size(struct http_strict *strict, char c)
{
	int digit = hex_value(c);

	if (digit >= 0) {
		strict->chunk_left = strict->chunk_left * 16 + (uint64_t)digit;
		strict->has_size = true;
		return 0;
	}
	if (!strict->has_size)
		return ERR_SYNTAX;
	if (c == '\r')
		return enter(strict, CHUNK_LINE_CR);
	return c == ';' || c == ' ' || c == '\t'
		       ? enter(strict, CHUNK_EXTENSION)
		       : ERR_SYNTAX;
}

static int read_chunk_extension(struct http_strict *strict, char c)
{
	if (c == '\r')
		return enter(strict, CHUNK_LINE_CR);
	return is_control(c) ? ERR_SYNTAX : 0;
}

static int read_byte(struct http_strict *strict, char c, bool is_chunked)
{
	switch ((enum strict_state)strict->state) {
	case FIRST_LINE_START:
		return read_first_line(strict, c);
	case STATUS_LINE:
		return read_status_line(strict, c);
	case REQUEST_LINE:
		return read_request_line(strict, c);
	case LINE_START:
		return read_line_start(strict, c, is_chunked);
	case LINE:
		return read_line(strict, c);
	case LINE_CR:
		return expect(strict, c, '\n', LINE_START);
	case BLANK_LINE_CR:
		return c == '\n' ? end_head(strict, is_chunked) : ERR_SYNTAX;
	case CHUNK_SIZE:
		return read_chunk_size(strict, c);
	case CHUNK_EXTENSION:
		return read_chunk_extension(strict, c);
	case CHUNK_LINE_CR:
		/* The last chunk is followed by the trailer. */
		return expect(strict, c, '\n',
			      strict->chunk_left ? CHUNK_DATA : LINE_START);
	case CHUNK_END:
		return expect(strict, c, '\r', CHUNK_END_CR);
	case CHUNK_END_CR:
		strict->has_size = false;
		return expect(strict, c, '\n', CHUNK_SIZE);
	case BODY:
	case CHUNK_DATA:
		break;
	}
	return 0;
}

/* Return: how many bytes need no look. */
static size_t skip(struct http_strict *strict, size_t len)
{
	size_t n = len;

	if (strict->state == BODY)
		return len;
	if (strict->state != CHUNK_DATA)
		return 0;
	if (n >= strict->chunk_left) {
		n = (size_t)strict->chunk_left;
		strict->state = CHUNK_END;
	}
	strict->chunk_left -= n;
	return n;
}

int http_strict_read(struct http_strict *strict, const char *data, size_t len,
		     bool is_chunked)
{
	size_t i = 0;
	int ret = 0;

	while (i < len && !ret) {
		i += skip(strict, len - i);
		if (i < len)
			ret = read_byte(strict, data[i++], is_chunked);
	}
	return ret;
}
