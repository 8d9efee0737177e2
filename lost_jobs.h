/*
 * Jobs of a home whose connections to their backend server broke. They are
 * reported to their entries once it is known whether the server has crashed:
 * the requests that ran there become suspects before an entry can retry the one
 * that caused the crash on the next server.
 */
#ifndef LOST_JOBS_H
#define LOST_JOBS_H

#include "crash_check.h"
#include "home.h"
#include "server_pool.h"
#include "wake_timer.h"

struct doubtful_run;

/**
 * struct lost_jobs - lost jobs of one server
 * @home: borrowed
 * @server: borrowed
 * @pool: connections to @server, borrowed
 * @jobs: owned array
 * @n: entries in @jobs
 * @cap: allocated entries of @jobs
 * @check: whether the server crashed; runs while there are @jobs, and again
 *	while there are @doubts
 * @doubts: runs of jobs that were reported before it was known whether the
 *	server crashed
 * @recheck_at: when to check it again, microseconds; INT64_MAX: not
 * @recheck_delay: before that, microseconds
 * @confirm: ask the server for something that it answers at once, and report
 *	to lost_jobs_confirmed(); returns 0, or a negative error
 * @confirm_arg: argument of @confirm
 * @timer: of @check and @doubts
 */
struct lost_jobs {
	struct home *home;
	struct home_server *server;
	struct server_pool *pool;
	struct home_job **jobs;
	int n;
	int cap;
	struct crash_check check;
	struct doubtful_run *doubts;
	int64_t recheck_at;
	int64_t recheck_delay;
	int (*confirm)(void *arg);
	void *confirm_arg;
	struct wake_timer timer;
};

/**
 * lost_jobs_init() - set up without jobs
 * @lost: to be finished with lost_jobs_finish()
 * @home: outlives @lost
 * @server: outlives @lost
 * @pool: outlives @lost
 * @confirm_life: @confirm of struct lost_jobs
 * @confirm_arg: its argument
 */
void lost_jobs_init(struct lost_jobs *lost, struct home *home,
		    struct home_server *server, struct server_pool *pool,
		    int (*confirm_life)(void *arg), void *confirm_arg);
void lost_jobs_finish(struct lost_jobs *lost);

/**
 * lost_jobs_add() - keep a job until it is known whether its server crashed
 * @lost: of the job's server
 * @job: ends with ERR_LOST later
 */
void lost_jobs_add(struct lost_jobs *lost, struct home_job *job);

/**
 * lost_jobs_confirmed() - the server answered, or the connection broke
 * @lost: of the server
 * @sent_at: when it was asked, microseconds
 * @answered: it answered
 */
void lost_jobs_confirmed(struct lost_jobs *lost, int64_t sent_at,
			 bool answered);

#endif
