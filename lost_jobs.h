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

/**
 * struct lost_jobs - lost jobs of one server
 * @home: borrowed
 * @server: borrowed
 * @pool: connections to @server, borrowed
 * @jobs: owned array
 * @n: entries in @jobs
 * @cap: allocated entries of @jobs
 * @check: whether the server crashed; runs while there are @jobs
 * @timer: of @check
 */
struct lost_jobs {
	struct home *home;
	struct home_server *server;
	struct server_pool *pool;
	struct home_job **jobs;
	int n;
	int cap;
	struct crash_check check;
	struct wake_timer timer;
};

/**
 * lost_jobs_init() - set up without jobs
 * @lost: to be finished with lost_jobs_finish()
 * @home: outlives @lost
 * @server: outlives @lost
 * @pool: outlives @lost
 */
void lost_jobs_init(struct lost_jobs *lost, struct home *home,
		    struct home_server *server, struct server_pool *pool);
void lost_jobs_finish(struct lost_jobs *lost);

/**
 * lost_jobs_add() - keep a job until it is known whether its server crashed
 * @lost: of the job's server
 * @job: ends with ERR_LOST later
 */
void lost_jobs_add(struct lost_jobs *lost, struct home_job *job);

#endif
