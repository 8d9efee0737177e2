#include "answer_progress.h"

/* Taken by the kernel of any caller at once, bytes. */
#define FIRST_BYTES 1024

void answer_progress_start(struct answer_progress *progress, size_t unsent,
			   int64_t now)
{
	progress->size = unsent;
	progress->seen = unsent;
	progress->since = now;
}

bool answer_progress_look(struct answer_progress *progress, size_t unsent)
{
	bool moved = unsent < progress->seen || !unsent;

	progress->seen = unsent;
	return moved;
}

static double time_per_byte(const struct answer_progress *progress,
			    size_t unsent, int64_t now)
{
	size_t taken = progress->size > unsent ? progress->size - unsent : 0;

	return (double)(now - progress->since) / (double)(taken + FIRST_BYTES);
}

int64_t answer_progress_time_left(const struct answer_progress *progress,
				  size_t unsent, int64_t now)
{
	return (int64_t)((double)unsent * time_per_byte(progress, unsent, now));
}

double answer_progress_cost(const struct answer_progress *progress, size_t held,
			    size_t unsent, int64_t now)
{
	return (double)held * time_per_byte(progress, unsent, now);
}
