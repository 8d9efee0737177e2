#include "http_strict.h"

#include <string.h>

#include "error.h"

enum strict_state {
	STATUS_LINE,
	STATUS_LINE_CR,
	REST,
};

/* What a status line begins with; d: any digit, s: one from 1 to 5. */
static const char status_pattern[] = "HTTP/1.d sdd";

#define REASON_COLUMN ((int)sizeof(status_pattern) - 1)

void http_strict_init(struct http_strict *strict, bool is_response)
{
	memset(strict, 0, sizeof(*strict));
	strict->state = is_response ? STATUS_LINE : REST;
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
		return enter(strict, STATUS_LINE_CR);
	if (c == '\n')
		return enter(strict, REST);
	if (strict->column++ == REASON_COLUMN)
		return c == ' ' ? 0 : ERR_SYNTAX;
	return is_control(c) ? ERR_SYNTAX : 0;
}

static int read_byte(struct http_strict *strict, char c)
{
	switch ((enum strict_state)strict->state) {
	case STATUS_LINE:
		return read_status_line(strict, c);
	case STATUS_LINE_CR:
		return expect(strict, c, '\n', REST);
	case REST:
		break;
	}
	return 0;
}

int http_strict_read(struct http_strict *strict, const char *data, size_t len)
{
	size_t i;
	int ret = 0;

	for (i = 0; i < len && !ret && strict->state != REST; i++)
		ret = read_byte(strict, data[i]);
	return ret;
}
