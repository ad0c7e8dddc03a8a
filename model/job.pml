/*
 * The life of a job, with the project's own job_apply() compiled into the
 * model: the shell's side and the targets are the environment. Events come
 * late, doubled and in any order.
 */
#ifndef TASKS
#define TASKS 3
#endif

c_decl {
\#include "core/job.h"
extern job_t job;
extern task_t tasks[TASKS];
extern uint8_t ran[TASKS];
};

c_code {
job_t job;
task_t tasks[TASKS];
uint8_t ran[TASKS];
};
c_track "&job" "sizeof(job_t)";
c_track "&tasks" "sizeof(tasks)";
c_track "&ran" "sizeof(ran)";

byte acts;
bool deadline_passed;
bool finished;
bool sound;
bool ended;

c_code {
/* Applies an event; a job that finished finishes only once. */
static void
model_apply(uint32_t type, uint32_t task, uint32_t kind, int may_retry)
{
    job_event_t event = {.type = type,
                         .task = task,
                         .kind = kind,
                         .may_retry = may_retry != 0};
    now.acts = (unsigned char)job_apply(&job, &event);
}

/* @return whether the state keeps every promise */
static int
model_is_sound(void)
{
    uint32_t waiting = 0;
    uint32_t started = 0;
    for (uint32_t i = 0; i < TASKS; i++) {
        waiting += tasks[i].state == kTaskStateWaiting;
        started += tasks[i].state == kTaskStateStarted;
        if (ran[i] > 1 ||
            (tasks[i].state == kTaskStateNotRun && ran[i] > 0) ||
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

inline after()
{
    c_code {
        now.sound = model_is_sound();
        now.ended = job_has_ended(&job);
    };
    assert(sound);
    if
    :: (acts & 8) -> assert(!finished); finished = true
    :: else -> skip
    fi;
    assert(finished == ended);
    sound = false;
    ended = false;
    acts = 0
}

proctype Task(byte i)
{
    do
    /* The shell starts a waiting task. */
    :: atomic { c_expr { tasks[PTask->i].state == kTaskStateWaiting } ->
                c_code { model_apply(kJobEventTaskStart, PTask->i, 0, 0); };
                after() }
    /* The target runs it and answers; a doubled answer is ignored. */
    :: atomic { c_expr { tasks[PTask->i].state == kTaskStateStarted &&
                         tasks[PTask->i].try_count < 3 } ->
                c_code { ran[PTask->i]++;
                         model_apply(kJobEventTryDone, PTask->i, 0, 0); };
                after();
                c_code { model_apply(kJobEventTryDone, PTask->i, 0, 0); };
                assert(acts == 16); acts = 0 }
    /* It ran, or may have. */
    :: atomic { c_expr { tasks[PTask->i].state == kTaskStateStarted } ->
                c_code { ran[PTask->i]++;
                         model_apply(kJobEventTryFailed, PTask->i,
                                     kErrorKindTargetLost, 0); };
                after() }
    /* Proved not run, with and without leave to try again. */
    :: atomic { c_expr { tasks[PTask->i].state == kTaskStateStarted &&
                         tasks[PTask->i].try_count < 3 } ->
                c_code {
#ifdef M_RETRY_UNKNOWN
                         ran[PTask->i]++;
#endif
                         model_apply(kJobEventTryNotRun, PTask->i,
                                     kErrorKindTargetRefused, 1); };
                after() }
    :: atomic { c_expr { tasks[PTask->i].state == kTaskStateStarted } ->
                c_code { model_apply(kJobEventTryNotRun, PTask->i,
                                     kErrorKindTargetRefused, 0); };
                after() }
    od
}

proctype Environment()
{
    do
    :: atomic { !finished ->
                c_code { model_apply(kJobEventCancel, 0, 0, 0); };
                after(); assert(finished) }
    :: atomic { !deadline_passed ->
                deadline_passed = true;
                c_code { model_apply(kJobEventDeadline, 0, 0, 0); };
                after(); assert(finished) }
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
