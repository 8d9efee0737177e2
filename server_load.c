#include "server_load.h"

#include <stdbool.h>

#include "error.h"

/* Three or four figures, each of at most so many digits. */
#define FIGURES_LEAST 3
#define FIGURES_MOST 4
#define DIGITS_MOST 6
/* Work a hundred times as long, or a hundredth: no machine's noise. */
#define PACE_LEAST 1
#define PACE_MOST 10000

static bool is_space(char c)
{
	return c == ' ' || c == '\t';
}

static struct str trim(struct str text)
{
	while (text.len && is_space(text.data[0])) {
		text.data++;
		text.len--;
	}
	while (text.len && is_space(text.data[text.len - 1]))
		text.len--;
	return text;
}

static int parse_figure(struct str text, int32_t *out)
{
	uint64_t n;
	int ret;

	text = trim(text);
	if (!text.len || text.len > DIGITS_MOST)
		return text.len ? ERR_RANGE : ERR_SYNTAX;
	ret = str_parse_u64(text, &n);
	*out = (int32_t)n;
	return ret;
}

/* Return: how many figures there are, or why they cannot be read. */
static int parse_figures(struct str text, int32_t figures[FIGURES_MOST])
{
	int n = 0;
	size_t from = 0;
	size_t i;

	for (i = 0; i <= text.len; i++) {
		int ret;

		if (i < text.len && text.data[i] != ',')
			continue;
		if (n == FIGURES_MOST)
			return ERR_SYNTAX;
		ret = parse_figure((struct str){text.data + from, i - from},
				   &figures[n++]);
		if (ret)
			return ret;
		from = i + 1;
	}
	return n;
}

int server_load_parse(struct str text, struct server_load *out)
{
	int32_t figures[FIGURES_MOST] = {0, 0, 0, SERVER_SLOWDOWN_NONE};
	int n = parse_figures(text, figures);

	if (n < 0)
		return n;
	if (n < FIGURES_LEAST)
		return ERR_SYNTAX;
	if (figures[2] < 1 || figures[3] < PACE_LEAST || figures[3] > PACE_MOST)
		return ERR_RANGE;
	out->running = figures[0];
	out->waiting = figures[1];
	out->slots = figures[2];
	out->pace = figures[3];
	return 0;
}
