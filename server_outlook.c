#include "server_outlook.h"

#include <math.h>

#include "clock.h"

/* A peer may tell any number. */
#define AHEAD_MOST MSEC(10000)
/* A server that nobody sends to may have recovered: what was told fades. */
#define PACE_FADE_US 1500000.0

int server_outlook_level(int64_t priority)
{
	if (priority < 0)
		return 0;
	return priority < OUTLOOK_LEVELS ? (int)priority : OUTLOOK_LEVELS - 1;
}

void server_outlook_told(struct server_outlook *outlook, int level,
			 int64_t ahead, int64_t now)
{
	if (ahead < 0)
		ahead = 0;
	outlook->levels[level].ahead = ahead < AHEAD_MOST ? ahead : AHEAD_MOST;
	outlook->levels[level].at = now;
}

void server_outlook_paced(struct server_outlook *outlook, double pace,
			  int64_t now)
{
	if (pace <= 0)
		return;
	outlook->pace = pace;
	outlook->pace_at = now;
}

int64_t server_outlook_ahead(const struct server_outlook *outlook, int level,
			     int64_t now)
{
	int64_t ahead = outlook->levels[level].ahead;
	int64_t left = ahead - (now - outlook->levels[level].at);

	return left > 0 ? left : 0;
}

double server_outlook_pace(const struct server_outlook *outlook, double usual,
			   int64_t now)
{
	double fade;

	if (!outlook->pace_at)
		return usual;
	fade = exp(-(double)(now - outlook->pace_at) / PACE_FADE_US);
	return usual + (outlook->pace - usual) * fade;
}
