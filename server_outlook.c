#include "server_outlook.h"

#include <math.h>

#include "clock.h"

/* A peer may tell any number. */
#define AHEAD_MOST MSEC(10000)
/* A server that nobody sends to may have recovered: what was told fades. */
#define PACE_FADE_US 1500000.0
/* A server that is so many times quicker or slower is not told from others. */
#define PACE_RANGE 16.0
/* What is told lies within this, microseconds. */
#define PACE_MOST 60e6
/* Words within this are of other senders, and of as many answers. */
#define PACE_TOGETHER MSEC(250)
/* Weight of an answer: by the time since the one before, within bounds. */
#define SEEN_WEIGHT_LEAST 0.1
#define SEEN_WEIGHT_MOST 0.5
#define SEEN_SPAN_US 2000000.0
/* One answer that took longer says no more than this, times what is known. */
#define SEEN_CUT 4.0

int server_estimate_level(int64_t priority)
{
	if (priority < 0)
		return 0;
	return priority < ESTIMATE_LEVELS ? (int)priority : ESTIMATE_LEVELS - 1;
}

void server_estimate_set_wait(struct server_estimate *outlook, int level,
			      int64_t ahead, int64_t now)
{
	if (ahead < 0)
		ahead = 0;
	outlook->levels[level].ahead = ahead < AHEAD_MOST ? ahead : AHEAD_MOST;
	outlook->levels[level].at = now;
}

static double within(double value, double least, double most)
{
	if (value < least)
		return least;
	return value < most ? value : most;
}

static void set_pace(struct server_estimate *outlook, double pace, int64_t now)
{
	outlook->pace = pace < PACE_MOST ? pace : PACE_MOST;
	outlook->pace_at = now;
}

void server_estimate_add_report(struct server_estimate *outlook, double pace,
				int64_t now)
{
	if (pace <= 0)
		return;
	if (outlook->pace_at && now - outlook->pace_at < PACE_TOGETHER)
		pace = (pace + outlook->pace) / 2;
	set_pace(outlook, pace, now);
}

void server_estimate_add_sample(struct server_estimate *outlook, int64_t took,
				double usual, int64_t now)
{
	double since = (double)(now - outlook->pace_at);
	double weight = within(1 - exp(-since / SEEN_SPAN_US),
			       SEEN_WEIGHT_LEAST, SEEN_WEIGHT_MOST);
	double pace = server_estimate_processing_time(outlook, usual, now);
	double sample = within((double)took, 0, pace * SEEN_CUT);

	set_pace(outlook, pace + (sample - pace) * weight, now);
}

int64_t server_estimate_wait(const struct server_estimate *outlook, int level,
			     int64_t now)
{
	int64_t ahead = outlook->levels[level].ahead;
	int64_t left = ahead - (now - outlook->levels[level].at);

	return left > 0 ? left : 0;
}

int64_t server_estimate_max_wait(const struct server_estimate *outlook,
				 int64_t now)
{
	int64_t longest = 0;
	int level;

	for (level = 0; level < ESTIMATE_LEVELS; level++) {
		int64_t ahead = server_estimate_wait(outlook, level, now);

		if (ahead > longest)
			longest = ahead;
	}
	return longest;
}

double server_estimate_processing_time(const struct server_estimate *outlook,
				       double usual, int64_t now)
{
	double pace;
	double fade;

	if (!outlook->pace_at)
		return usual;
	fade = exp(-(double)(now - outlook->pace_at) / PACE_FADE_US);
	pace = within(outlook->pace, usual / PACE_RANGE, usual * PACE_RANGE);
	return usual + (pace - usual) * fade;
}
