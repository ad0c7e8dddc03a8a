/*
 * The state machine of a job, with job_apply() of src/core/job.c compiled into
 * the model. The dispatcher's other code and the targets are the environment:
 * events arrive late, twice and in any order.
 */
#ifndef TASKS
#define TASKS 3
#endif

c_decl {
\#include "core/job.h"
extern job_t job;
extern task_t tasks[TASKS];
extern uint8_t run_count[TASKS];
};

c_code {
job_t job;
task_t tasks[TASKS];
uint8_t run_count[TASKS];
};
c_track "&job" "sizeof(job_t)";
c_track "&tasks" "sizeof(tasks)";
c_track "&run_count" "sizeof(run_count)";

byte actions;
bool deadline_passed;
bool has_finished;
bool is_consistent;
bool has_ended;

c_code {
/* Applies an event and keeps the returned actions for check_event(). */
static void
model_apply(uint32_t type, uint32_t task, uint32_t kind, int may_retry)
{
    job_event_t event = {.type = type,
                         .task = task,
                         .kind = kind,
                         .may_retry = may_retry != 0};
    now.actions = (unsigned char)job_apply(&job, &event);
}

/* @return whether the state satisfies all invariants */
static int
model_is_consistent(void)
{
    uint32_t waiting = 0;
    uint32_t started = 0;
    for (uint32_t i = 0; i < TASKS; i++) {
        waiting += tasks[i].state == kTaskStateWaiting;
        started += tasks[i].state == kTaskStateStarted;
        if (run_count[i] > 1 ||
            (tasks[i].state == kTaskStateNotRun && run_count[i] > 0) ||
            (job.state == kJobStateComplete &&
             tasks[i].state != kTaskStateDone)) {
            return 0;
        }
    }
    if (waiting != job.waiting_count || started != job.started_count) {
        return 0;
    }
    return !job_has_ended(&job) || waiting + started == 0;
}
};

/* Checks the invariants after an event; a job finishes only once. The tested
   bits are kJobActionFinish (8) and kJobActionIgnored (16). */
inline check_event()
{
    c_code {
        now.is_consistent = model_is_consistent();
        now.has_ended = job_has_ended(&job);
    };
    assert(is_consistent);
    if
    :: (actions & 8) -> assert(!has_finished); has_finished = true
    :: else -> skip
    fi;
    assert(has_finished == has_ended);
    is_consistent = false;
    has_ended = false;
    actions = 0
}

proctype Task(byte i)
{
    do
    /* A waiting task is started. */
    :: atomic { c_expr { tasks[PTask->i].state == kTaskStateWaiting } ->
                c_code { model_apply(kJobEventTaskStart, PTask->i, 0, 0); };
                check_event() }
    /* The target runs it and answers; a duplicate answer is ignored. */
    :: atomic { c_expr { tasks[PTask->i].state == kTaskStateStarted &&
                         tasks[PTask->i].try_count < 3 } ->
                c_code { run_count[PTask->i]++;
                         model_apply(kJobEventTryDone, PTask->i, 0, 0); };
                check_event();
                c_code { model_apply(kJobEventTryDone, PTask->i, 0, 0); };
                assert(actions == 16); actions = 0 }
    /* The attempt failed; the task ran or may have run. */
    :: atomic { c_expr { tasks[PTask->i].state == kTaskStateStarted } ->
                c_code { run_count[PTask->i]++;
                         model_apply(kJobEventTryFailed, PTask->i,
                                     kErrorKindTargetLost, 0); };
                check_event() }
    /* The task did not run; a retry is allowed, or not. */
    :: atomic { c_expr { tasks[PTask->i].state == kTaskStateStarted &&
                         tasks[PTask->i].try_count < 3 } ->
                c_code {
#ifdef M_RETRY_UNKNOWN
                         run_count[PTask->i]++;
#endif
                         model_apply(kJobEventTryNotRun, PTask->i,
                                     kErrorKindTargetRefused, 1); };
                check_event() }
    :: atomic { c_expr { tasks[PTask->i].state == kTaskStateStarted } ->
                c_code { model_apply(kJobEventTryNotRun, PTask->i,
                                     kErrorKindTargetRefused, 0); };
                check_event() }
    od
}

proctype Environment()
{
    do
    :: atomic { !has_finished ->
                c_code { model_apply(kJobEventCancel, 0, 0, 0); };
                check_event(); assert(has_finished) }
    :: atomic { !deadline_passed ->
                deadline_passed = true;
                c_code { model_apply(kJobEventDeadline, 0, 0, 0); };
                check_event(); assert(has_finished) }
    od
}

init {
    byte i;
    atomic {
        c_code { job_init(&job, tasks, TASKS, 1); };
        i = 0;
        do
        :: i < TASKS -> run Task(i); i++
        :: else -> break
        od;
        run Environment()
    }
}
