#include "http_strict.h"

#include <string.h>

#include "error.h"

enum strict_state {
	FIRST_LINE_START,
	STATUS_LINE,
	LINE_START,
	LINE,
	LINE_CR,
	BLANK_LINE_CR,
	BODY,
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
	return c == '\r' || c == '\n' ? 0 : enter(strict, LINE);
}

/* A field of a head. */
static int read_line_start(struct http_strict *strict, char c)
{
	if (c == '\r')
		return enter(strict, BLANK_LINE_CR);
	if (c == '\n')
		return enter(strict, BODY);
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

static int read_byte(struct http_strict *strict, char c)
{
	switch ((enum strict_state)strict->state) {
	case FIRST_LINE_START:
		return read_first_line(strict, c);
	case STATUS_LINE:
		return read_status_line(strict, c);
	case LINE_START:
		return read_line_start(strict, c);
	case LINE:
		return read_line(strict, c);
	case LINE_CR:
		return expect(strict, c, '\n', LINE_START);
	case BLANK_LINE_CR:
		return expect(strict, c, '\n', BODY);
	case BODY:
		break;
	}
	return 0;
}

int http_strict_read(struct http_strict *strict, const char *data, size_t len)
{
	size_t i;
	int ret = 0;

	for (i = 0; i < len && !ret && strict->state != BODY; i++)
		ret = read_byte(strict, data[i]);
	return ret;
}
