/*
 * Ids and their homes: resubmission through two fronts, messages that are
 * lost, doubled and reordered, a refusal, a kill and a restart of each
 * dispatcher, a planned stop with hand-over, a cut between two data centres,
 * and a list of VMs that may be wrong.
 *
 * A message that is sent may be delivered any number of times, at any later
 * time, or never: the network is a set that only grows.
 *
 * Id i is minted by incarnation 0 of dispatcher i. Each mutant M_... takes one
 * guard away; the checker must then find a violation.
 */
#define IDS 2
#define FRONTS 2

/* Answers, as bits. */
#define COMPLETE 1
#define FAILED 2
#define NOT_RUN 4
#define LOST 8
#define FORGOTTEN 16

/* Record of an id at its home. */
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
#define ASKING 1
#define FINDING 2

byte inc[IDS];       /* incarnation that runs, or ran last */
byte mode[IDS];
bool submitted[IDS]; /* the bit that the home keeps for its life */
bool expired[IDS];   /* the start-by deadline passed */
byte rec[IDS];
byte held_rec[IDS];  /* record that a dispatcher took over at a stop */
byte holder[IDS];    /* who holds what id i's home passed on: 1 + number */
bool try_out[IDS];
byte starts[IDS];
bool in_net[IDS];    /* a submission is on its way */
byte sent[IDS];      /* answers of the home that are on their way */
byte got[IDS];       /* answers that callers have */
byte call[FRONTS];
byte call_id[FRONTS];
bool cut;
bool list_wrong;     /* the list dropped a VM that lives */
byte asks;
byte kills;
byte cuts;

#ifndef ASKS
#define ASKS 3
#endif

#define OTHER(d) (1 - (d))
/* Both dispatchers and front 0 are in one data centre, front 1 in another. */
#define REACHES(f) (!cut || (f) == 0)
#define HOLDS(d, i) (holder[i] == 1 + (d))
#define HOLDER_LIVES(i) (holder[i] != 0 && mode[holder[i] - 1] != DOWN)
#define HOME_LIVES(i) (inc[i] == 0 && mode[i] != DOWN)

inline send_answer(i, a)
{
    /* After a caller read "home lost", the home says no more, but where
       the list was wrong about it. */
    assert(!(got[i] & LOST) || list_wrong);
    sent[i] = sent[i] | a;
}

inline send_record(i)
{
    if
    :: rec[i] == R_COMPLETE -> send_answer(i, COMPLETE)
    :: rec[i] == R_FAILED -> send_answer(i, FAILED)
    :: rec[i] == R_NOT_RUN -> send_answer(i, NOT_RUN)
    :: rec[i] == R_NONE -> send_answer(i, FORGOTTEN)
    :: else -> skip
    fi
}

/* The home judges a submission. */
inline judge(i)
{
    if
    :: submitted[i] -> send_record(i)
#ifdef M_EXPIRED
    :: !submitted[i] && expired[i] -> send_answer(i, NOT_RUN)
    :: !submitted[i] -> submitted[i] = true; rec[i] = R_RUNNING
#else
    :: !submitted[i] && expired[i] -> send_answer(i, NOT_RUN)
    :: !submitted[i] && !expired[i] -> submitted[i] = true; rec[i] = R_RUNNING
#endif
    /* Admission refuses. */
#ifdef M_REFUSAL
    :: !submitted[i] && !expired[i] -> send_answer(i, NOT_RUN)
#else
    :: !submitted[i] && !expired[i] ->
        submitted[i] = true; rec[i] = R_NOT_RUN; send_record(i)
#endif
    fi
}

inline start_task(i)
{
    assert(starts[i] == 0);
    assert(!(got[i] & NOT_RUN));
    starts[i]++;
    try_out[i] = true
}

/* A caller gets an answer through front f. */
inline take_answer(f, a)
{
    got[call_id[f]] = got[call_id[f]] | a;
    call[f] = IDLE;
    call_id[f] = 0
}

#define BOTH(i, a, b) ((got[i] & (a)) && (got[i] & (b)))

inline check(i)
{
    assert(!BOTH(i, COMPLETE, FAILED));
    assert(!BOTH(i, COMPLETE, NOT_RUN));
    assert(!BOTH(i, FAILED, NOT_RUN));
    assert(!(got[i] & NOT_RUN) || starts[i] == 0);
    assert(!(got[i] & COMPLETE) || starts[i] == 1)
}

inline drop_held(who, id)
{
    if
    :: HOLDS(who, id) -> holder[id] = 0; held_rec[id] = R_NONE
    :: else -> skip
    fi
}

inline end_process(d)
{
    mode[d] = DOWN;
    rec[d] = R_NONE;
    try_out[d] = false;
    drop_held(d, 0);
    drop_held(d, 1)
}

/* What a stopping dispatcher took over before goes on to its peer. */
inline pass_held(who, id)
{
    if
    :: HOLDS(who, id) -> holder[id] = 1 + OTHER(who)
    :: else -> skip
    fi
}

/* What the environment and the home of id i do. */
proctype Home(byte i)
{
    do
    /* A submission arrives; it stays in the network, to arrive again. */
    :: atomic { in_net[i] && HOME_LIVES(i) -> judge(i) }
#ifdef M_INCARNATION
    :: atomic { in_net[i] && inc[i] == 1 && mode[i] != DOWN &&
                rec[i] == R_NONE -> rec[i] = R_RUNNING }
#endif
    /* The task starts at a target; what comes of it. */
    :: atomic { mode[i] != DOWN && rec[i] == R_RUNNING && !try_out[i] ->
                start_task(i) }
    :: atomic { rec[i] == R_RUNNING && try_out[i] ->
                try_out[i] = false; rec[i] = R_COMPLETE; send_record(i) }
    :: atomic { rec[i] == R_RUNNING && try_out[i] ->
                try_out[i] = false; rec[i] = R_FAILED; send_record(i) }
#ifdef M_SECOND_PASS
    /* The HTTP library sends the request again by itself. */
    :: atomic { rec[i] == R_RUNNING && try_out[i] -> start_task(i) }
#endif
    /* Cancelled or out of time before the start. */
    :: atomic { rec[i] == R_RUNNING && !try_out[i] ->
                rec[i] = R_NOT_RUN; send_record(i) }
    /* The start-by deadline passes. */
    :: atomic { !submitted[i] && !expired[i] -> expired[i] = true }
    /* The record is dropped; the bit stays. */
    :: atomic { rec[i] >= R_COMPLETE && mode[i] != DOWN ->
                rec[i] = R_NONE;
#ifdef M_DROP_BIT
                submitted[i] = false
#endif
              }
    /* A planned stop: all ids ended or expired, records go to the peer. */
    :: atomic { mode[i] == UP && inc[i] == 0 -> mode[i] = DRAINING }
    :: atomic { mode[i] == DRAINING && rec[i] != R_RUNNING &&
#ifndef M_EARLY_STOP
                (submitted[i] || expired[i]) &&
#endif
                mode[OTHER(i)] != DOWN ->
                pass_held(i, 0);
                pass_held(i, 1);
                held_rec[i] = rec[i];
                holder[i] = 1 + OTHER(i);
                mode[i] = DOWN; rec[i] = R_NONE }
    /* The next incarnation may be stopped too. */
    :: atomic { mode[i] == UP && inc[i] == 1 && mode[OTHER(i)] != DOWN ->
                pass_held(i, 0);
                pass_held(i, 1);
                mode[i] = DOWN }
    /* A kill, and a restart on the same address. */
    :: atomic { mode[i] != DOWN && kills < 2 -> kills++; end_process(i) }
    :: atomic { mode[i] == DOWN && inc[i] == 0 -> inc[i] = 1; mode[i] = UP }
    od
}

/* A front: stateless but for the call in progress. */
proctype Front(byte f)
{
    byte i;
    do
    :: atomic { call[f] == IDLE && asks < ASKS ->
                asks++; call[f] = ASKING;
                if
                :: call_id[f] = 0
                :: call_id[f] = 1
                fi }
    :: atomic { call[f] == ASKING && REACHES(f) &&
                mode[call_id[f]] != DOWN && !in_net[call_id[f]] ->
                in_net[call_id[f]] = true }
    /* An answer of the home arrives. */
    :: atomic { call[f] == ASKING && (sent[call_id[f]] & COMPLETE) ->
                i = call_id[f]; take_answer(f, COMPLETE); check(i) }
    :: atomic { call[f] == ASKING && (sent[call_id[f]] & FAILED) ->
                i = call_id[f]; take_answer(f, FAILED); check(i) }
    :: atomic { call[f] == ASKING && (sent[call_id[f]] & NOT_RUN) ->
                i = call_id[f]; take_answer(f, NOT_RUN); check(i) }
    :: atomic { call[f] == ASKING && (sent[call_id[f]] & FORGOTTEN) ->
                i = call_id[f]; take_answer(f, FORGOTTEN); check(i) }
    /* Another incarnation answers on the home's address. */
    :: atomic { call[f] == ASKING && REACHES(f) &&
                mode[call_id[f]] != DOWN && inc[call_id[f]] == 1 ->
                call[f] = FINDING }
    /* The list dropped the VM, rightly or wrongly. */
    :: atomic { call[f] == ASKING && mode[call_id[f]] == DOWN ->
                call[f] = FINDING }
    :: atomic { call[f] == ASKING && cut && HOME_LIVES(call_id[f]) ->
                list_wrong = true; call[f] = FINDING }
    /* Out of reach for too long: unknown, ask again. */
    :: atomic { call[f] == ASKING -> call[f] = IDLE; call_id[f] = 0 }
    /* The dispatchers of the home's data centre are asked for the record. */
    :: atomic { call[f] == FINDING && REACHES(f) ->
                i = call_id[f];
                if
                :: HOLDER_LIVES(i) && held_rec[i] == R_COMPLETE ->
                    take_answer(f, COMPLETE)
                :: HOLDER_LIVES(i) && held_rec[i] == R_FAILED ->
                    take_answer(f, FAILED)
                :: HOLDER_LIVES(i) && held_rec[i] == R_NOT_RUN ->
                    take_answer(f, NOT_RUN)
                :: HOLDER_LIVES(i) && held_rec[i] == R_NONE ->
                    /* A planned stop leaves no id that could still start. */
                    assert(submitted[i] || expired[i]);
                    take_answer(f, FORGOTTEN)
                :: !HOLDER_LIVES(i) ->
                    assert(kills > 0 || list_wrong);
#ifdef M_GUESS_NOT_RUN
                    take_answer(f, NOT_RUN)
#else
                    take_answer(f, LOST)
#endif
                fi;
#ifdef M_PEER_STARTS
                if
                :: starts[i] == 0 && held_rec[i] == R_NONE -> start_task(i)
                :: else -> skip
                fi;
#endif
                check(i) }
    :: atomic { call[f] == FINDING && !REACHES(f) ->
                call[f] = IDLE; call_id[f] = 0 }
    od
}

proctype Cut()
{
    do
    :: atomic { !cut && cuts < 1 -> cuts++; cut = true }
    :: atomic { cut -> cut = false }
    od
}

init {
    atomic { run Home(0); run Home(1); run Front(0); run Front(1); run Cut() }
}
