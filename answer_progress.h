/*
 * How fast a caller takes an answer, to tell callers that read slowly from
 * those that do not read at all, and to choose whose answer is given up when
 * memory runs short. Does no I/O.
 */
#ifndef ANSWER_PROGRESS_H
#define ANSWER_PROGRESS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * struct answer_progress - progress of what is sent on one connection
 * @size: bytes that were to be sent at @since
 * @seen: bytes unsent at the last look
 * @since: microseconds
 */
struct answer_progress {
	size_t size;
	size_t seen;
	int64_t since;
};

/**
 * answer_progress_start() - more is to be sent
 * @unsent: all bytes that are
 */
void answer_progress_start(struct answer_progress *progress, size_t unsent,
			   int64_t now);

/**
 * answer_progress_look() - whether the caller took anything since the last look
 * @unsent: bytes left; a look with none left always sees progress
 */
bool answer_progress_look(struct answer_progress *progress, size_t unsent);

/**
 * answer_progress_time_left() - how long the caller needs for the rest at the
 * pace that it has had
 * @unsent: bytes left
 *
 * Return: microseconds.
 */
int64_t answer_progress_time_left(const struct answer_progress *progress,
				  size_t unsent, int64_t now);

/**
 * answer_progress_cost() - what it costs to keep sending
 * @held: memory that is freed when the rest is sent, bytes
 * @unsent: bytes left
 *
 * Return: grows with the memory and with the time per byte that was taken; the
 * answer with the greatest cost is given up first.
 */
double answer_progress_cost(const struct answer_progress *progress, size_t held,
			    size_t unsent, int64_t now);

#endif
