/*
 * Job ids and the dispatchers that mint them: resubmission through two fronts;
 * messages that are lost, duplicated and reordered; a refusal; a kill and a
 * restart of each dispatcher; a graceful stop with a handover; a network
 * partition between two data centres; and a list of VMs that may be wrong.
 *
 * A message that was sent may be delivered any number of times, at any later
 * time, or never: the network is a set that only grows.
 *
 * Id i is minted by incarnation 0 of dispatcher i. Each mutant M_... removes
 * one safety check; the checker must then find a violation.
 */
#define IDS 2
#define FRONTS 2

/* Answers, a bit set. */
#define COMPLETE 1
#define FAILED 2
#define NOT_RUN 4
#define LOST 8
#define FORGOTTEN 16

/* Record of an id at its dispatcher. */
#define R_NONE 0
#define R_RUNNING 1
#define R_COMPLETE 2
#define R_FAILED 3
#define R_NOT_RUN 4

/* Modes of a dispatcher. */
#define UP 0
#define DRAINING 1
#define DOWN 2

/* States of a front's call. */
#define IDLE 0
#define REQUESTING 1
#define SEARCHING 2

byte incarnation[IDS];      /* current or last incarnation of a dispatcher */
byte mode[IDS];
bool submitted[IDS];        /* kept until the incarnation ends */
bool expired[IDS];          /* the start-by deadline passed */
byte record[IDS];
byte held_record[IDS];      /* record handed over at a graceful stop */
byte holder[IDS];           /* dispatcher with that record: 1 + number */
bool is_attempt_open[IDS];
byte start_count[IDS];
bool is_in_flight[IDS];     /* a submission was sent */
byte sent_answers[IDS];     /* answers that the dispatcher sent */
byte received_answers[IDS]; /* answers that callers received */
byte call_state[FRONTS];
byte call_id[FRONTS];
bool is_partitioned;
bool list_is_wrong;         /* the list lacks a VM that is up */
byte request_count;
byte kill_count;
byte partition_count;

#ifndef REQUESTS
#define REQUESTS 3
#endif

#define OTHER(d) (1 - (d))
/* Both dispatchers and front 0 are in one data centre, front 1 in another. */
#define CAN_REACH(f) (!is_partitioned || (f) == 0)
#define HOLDS(d, i) (holder[i] == 1 + (d))
#define IS_HOLDER_ALIVE(i) (holder[i] != 0 && mode[holder[i] - 1] != DOWN)
#define IS_ALIVE(i) (incarnation[i] == 0 && mode[i] != DOWN)

inline send_answer(i, a)
{
    /* Once a caller was answered LOST, the dispatcher of the id sends no more
       answers, unless the list was wrong about it. */
    assert(!(received_answers[i] & LOST) || list_is_wrong);
    sent_answers[i] = sent_answers[i] | a;
}

inline send_record(i)
{
    if
    :: record[i] == R_COMPLETE -> send_answer(i, COMPLETE)
    :: record[i] == R_FAILED -> send_answer(i, FAILED)
    :: record[i] == R_NOT_RUN -> send_answer(i, NOT_RUN)
    :: record[i] == R_NONE -> send_answer(i, FORGOTTEN)
    :: else -> skip
    fi
}

/* The dispatcher of the id handles a submission. */
inline handle_submission(i)
{
    if
    :: submitted[i] -> send_record(i)
#ifdef M_EXPIRED
    :: !submitted[i] && expired[i] -> send_answer(i, NOT_RUN)
    :: !submitted[i] -> submitted[i] = true; record[i] = R_RUNNING
#else
    :: !submitted[i] && expired[i] -> send_answer(i, NOT_RUN)
    :: !submitted[i] && !expired[i] ->
        submitted[i] = true; record[i] = R_RUNNING
#endif
    /* Admission refuses the job. */
#ifdef M_REFUSAL
    :: !submitted[i] && !expired[i] -> send_answer(i, NOT_RUN)
#else
    :: !submitted[i] && !expired[i] ->
        submitted[i] = true; record[i] = R_NOT_RUN; send_record(i)
#endif
    fi
}

inline start_task(i)
{
    assert(start_count[i] == 0);
    assert(!(received_answers[i] & NOT_RUN));
    start_count[i]++;
    is_attempt_open[i] = true
}

/* A caller gets an answer through front f. */
inline receive_answer(f, a)
{
    received_answers[call_id[f]] = received_answers[call_id[f]] | a;
    call_state[f] = IDLE;
    call_id[f] = 0
}

#define HAS_BOTH(i, a, b) \
    ((received_answers[i] & (a)) && (received_answers[i] & (b)))

inline check_answers(i)
{
    assert(!HAS_BOTH(i, COMPLETE, FAILED));
    assert(!HAS_BOTH(i, COMPLETE, NOT_RUN));
    assert(!HAS_BOTH(i, FAILED, NOT_RUN));
    assert(!(received_answers[i] & NOT_RUN) || start_count[i] == 0);
    assert(!(received_answers[i] & COMPLETE) || start_count[i] == 1)
}

inline drop_held(who, id)
{
    if
    :: HOLDS(who, id) -> holder[id] = 0; held_record[id] = R_NONE
    :: else -> skip
    fi
}

inline kill_process(d)
{
    mode[d] = DOWN;
    record[d] = R_NONE;
    is_attempt_open[d] = false;
    drop_held(d, 0);
    drop_held(d, 1)
}

/* A stopping dispatcher hands over the records that it holds for others. */
inline hand_over_held(who, id)
{
    if
    :: HOLDS(who, id) -> holder[id] = 1 + OTHER(who)
    :: else -> skip
    fi
}

/* Actions of the environment and of the dispatcher of id i. */
proctype Dispatcher(byte i)
{
    do
    /* A submission arrives; it stays in the network and may arrive again. */
    :: atomic { is_in_flight[i] && IS_ALIVE(i) -> handle_submission(i) }
#ifdef M_INCARNATION
    :: atomic { is_in_flight[i] && incarnation[i] == 1 && mode[i] != DOWN &&
                record[i] == R_NONE -> record[i] = R_RUNNING }
#endif
    /* The task starts on a target, and completes or fails. */
    :: atomic { mode[i] != DOWN && record[i] == R_RUNNING &&
                !is_attempt_open[i] ->
                start_task(i) }
    :: atomic { record[i] == R_RUNNING && is_attempt_open[i] ->
                is_attempt_open[i] = false; record[i] = R_COMPLETE;
                send_record(i) }
    :: atomic { record[i] == R_RUNNING && is_attempt_open[i] ->
                is_attempt_open[i] = false; record[i] = R_FAILED;
                send_record(i) }
#ifdef M_RESEND
    /* The HTTP library resends the request on its own. */
    :: atomic { record[i] == R_RUNNING && is_attempt_open[i] -> start_task(i) }
#endif
    /* Cancelled, or past its deadline, before the task started. */
    :: atomic { record[i] == R_RUNNING && !is_attempt_open[i] ->
                record[i] = R_NOT_RUN; send_record(i) }
    /* The start-by deadline passes. */
    :: atomic { !submitted[i] && !expired[i] -> expired[i] = true }
    /* The record is dropped; the submitted bit stays. */
    :: atomic { record[i] >= R_COMPLETE && mode[i] != DOWN ->
                record[i] = R_NONE;
#ifdef M_CLEAR_SUBMITTED
                submitted[i] = false
#endif
              }
    /* A graceful stop: all ids ended or expired; records go to the peer. */
    :: atomic { mode[i] == UP && incarnation[i] == 0 -> mode[i] = DRAINING }
    :: atomic { mode[i] == DRAINING && record[i] != R_RUNNING &&
#ifndef M_EARLY_STOP
                (submitted[i] || expired[i]) &&
#endif
                mode[OTHER(i)] != DOWN ->
                hand_over_held(i, 0);
                hand_over_held(i, 1);
                held_record[i] = record[i];
                holder[i] = 1 + OTHER(i);
                mode[i] = DOWN; record[i] = R_NONE }
    /* A graceful stop of the next incarnation. */
    :: atomic { mode[i] == UP && incarnation[i] == 1 &&
                mode[OTHER(i)] != DOWN ->
                hand_over_held(i, 0);
                hand_over_held(i, 1);
                mode[i] = DOWN }
    /* A kill, and a restart at the same address. */
    :: atomic { mode[i] != DOWN && kill_count < 2 ->
                kill_count++; kill_process(i) }
    :: atomic { mode[i] == DOWN && incarnation[i] == 0 ->
                incarnation[i] = 1; mode[i] = UP }
    od
}

/* A front: its only state is the call in progress. */
proctype Front(byte f)
{
    byte i;
    do
    :: atomic { call_state[f] == IDLE && request_count < REQUESTS ->
                request_count++; call_state[f] = REQUESTING;
                if
                :: call_id[f] = 0
                :: call_id[f] = 1
                fi }
    :: atomic { call_state[f] == REQUESTING && CAN_REACH(f) &&
                mode[call_id[f]] != DOWN && !is_in_flight[call_id[f]] ->
                is_in_flight[call_id[f]] = true }
    /* An answer of the id's dispatcher arrives. */
    :: atomic { call_state[f] == REQUESTING &&
                (sent_answers[call_id[f]] & COMPLETE) ->
                i = call_id[f]; receive_answer(f, COMPLETE); check_answers(i) }
    :: atomic { call_state[f] == REQUESTING &&
                (sent_answers[call_id[f]] & FAILED) ->
                i = call_id[f]; receive_answer(f, FAILED); check_answers(i) }
    :: atomic { call_state[f] == REQUESTING &&
                (sent_answers[call_id[f]] & NOT_RUN) ->
                i = call_id[f]; receive_answer(f, NOT_RUN); check_answers(i) }
    :: atomic { call_state[f] == REQUESTING &&
                (sent_answers[call_id[f]] & FORGOTTEN) ->
                i = call_id[f]; receive_answer(f, FORGOTTEN); check_answers(i) }
    /* Another incarnation answers at the address of the id's dispatcher. */
    :: atomic { call_state[f] == REQUESTING && CAN_REACH(f) &&
                mode[call_id[f]] != DOWN && incarnation[call_id[f]] == 1 ->
                call_state[f] = SEARCHING }
    /* The list dropped the VM, because it is down or by mistake. */
    :: atomic { call_state[f] == REQUESTING && mode[call_id[f]] == DOWN ->
                call_state[f] = SEARCHING }
    :: atomic { call_state[f] == REQUESTING && is_partitioned &&
                IS_ALIVE(call_id[f]) ->
                list_is_wrong = true; call_state[f] = SEARCHING }
    /* Unreachable for too long: the outcome is unknown, the caller retries. */
    :: atomic { call_state[f] == REQUESTING ->
                call_state[f] = IDLE; call_id[f] = 0 }
    /* Searches the dispatchers of the same data centre for the record. */
    :: atomic { call_state[f] == SEARCHING && CAN_REACH(f) ->
                i = call_id[f];
                if
                :: IS_HOLDER_ALIVE(i) && held_record[i] == R_COMPLETE ->
                    receive_answer(f, COMPLETE)
                :: IS_HOLDER_ALIVE(i) && held_record[i] == R_FAILED ->
                    receive_answer(f, FAILED)
                :: IS_HOLDER_ALIVE(i) && held_record[i] == R_NOT_RUN ->
                    receive_answer(f, NOT_RUN)
                :: IS_HOLDER_ALIVE(i) && held_record[i] == R_NONE ->
                    /* After a graceful stop no id can start any more. */
                    assert(submitted[i] || expired[i]);
                    receive_answer(f, FORGOTTEN)
                :: !IS_HOLDER_ALIVE(i) ->
                    assert(kill_count > 0 || list_is_wrong);
#ifdef M_GUESS_NOT_RUN
                    receive_answer(f, NOT_RUN)
#else
                    receive_answer(f, LOST)
#endif
                fi;
#ifdef M_PEER_STARTS
                if
                :: start_count[i] == 0 && held_record[i] == R_NONE ->
                    start_task(i)
                :: else -> skip
                fi;
#endif
                check_answers(i) }
    :: atomic { call_state[f] == SEARCHING && !CAN_REACH(f) ->
                call_state[f] = IDLE; call_id[f] = 0 }
    od
}

proctype Partition()
{
    do
    :: atomic { !is_partitioned && partition_count < 1 ->
                partition_count++; is_partitioned = true }
    :: atomic { is_partitioned -> is_partitioned = false }
    od
}

init {
    atomic {
        run Dispatcher(0); run Dispatcher(1);
        run Front(0); run Front(1);
        run Partition()
    }
}
