#include "run_trace.h"

#include <string.h>

#include "run.h"

void run_trace_init(struct run_trace *run, const struct blackboard *board,
		    const struct run_request *request)
{
	memset(run, 0, sizeof(*run));
	str_copy(run->request_id, sizeof(run->request_id),
		 str_from(request->request_id));
	str_copy(run->service, sizeof(run->service),
		 str_from(request->service));
	run->started_at = clock_now(board->clock);
	run->deadline_ms = request->deadline_ms;
}

static void record_burn(struct blackboard *board, struct trace_summary *summary)
{
	struct burn_event event = {
		.answered = !summary->code,
		.complete = true,
		.latency = summary->elapsed,
	};
	struct burn_target target;
	int row = ERR_NO_SERVICE;

	if (board->table)
		row = table_find_service(board->table,
					 str_from(summary->service));
	if (row < 0 || run_outcome(summary->code) == RUN_REFUSED)
		return;
	burn_target_fill(&target, &board->table->services[row]);
	summary->notable = burn_is_bad(&target, &event);
	burn_record(&board->burn, str_from(summary->service), &target, &event);
}

void run_trace_end(const struct run_trace *run, struct blackboard *board,
		   const struct ticket_answer *answer)
{
	int64_t elapsed = clock_now(board->clock) - run->started_at;
	struct trace_summary summary = {
		.kind = TRACE_RUN,
		.code = answer->code,
		.maybe_ran = run_outcome(answer->code) == RUN_UNKNOWN,
		.started_wall = clock_wall(board->clock) - elapsed,
		.elapsed = elapsed,
		.deadline = MSEC(run->deadline_ms),
		.retry_after_ms = answer->retry_after_ms,
	};

	str_copy(summary.request_id, sizeof(summary.request_id),
		 str_from(run->request_id));
	str_copy(summary.service, sizeof(summary.service),
		 str_from(run->service));
	if (board->table)
		summary.table_revision = board->table->revision;
	record_burn(board, &summary);
	trace_store_add(&board->traces, &summary, NULL);
}
