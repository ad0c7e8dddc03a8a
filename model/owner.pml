/*
 * Ownership of targets: one task of one job, two owners, two targets. Grants,
 * tokens, leases, late starts, lost answers, silent homes, freezes, kills and
 * a caller that submits again. Time passes in ticks; the clocks agree, as the
 * code adds the drift of real ones to each wait.
 *
 * LEASE + SILENCE + 1 <= RESUBMIT, as owner_limits() and
 * coordinator_link_timeout_ns() have it.
 */
#ifndef LEASE
#define LEASE 2
#endif
#define SILENCE 1
#define RESUBMIT 4
#ifndef TICKS
#define TICKS 6
#endif
#define GRANTS 2
#define RUNS 2
#define FAULTS 1
#define NONE 9

/* Targets. */
byte token[2];  /* highest seen */
byte lease[2];
byte at_work[2];    /* number of the run at work, 0 none */
byte starter[2]; /* owner that started it */
byte top[2];    /* highest number that ended or was stopped there */

/* Owners. */
bool is_alive[2] = true;
bool is_frozen[2];
byte own_token[2];   /* 0: owns nothing */
bool is_ready[4];    /* session of owner * 2 + target */
bool has_order[2];
byte state[2];       /* 0 none, 1 starting, 2 active, 3 unsure */
byte on[2];
byte number[2];
byte lapse[2];       /* ticks until the last lease is surely over */
byte silent[2];      /* ticks since the home was last heard */
bool is_cut[2];      /* the home cannot be heard */

/* A start on its way, one for each owner. */
bool is_sent[2];
byte sent_to[2];
byte sent_token[2];
byte sent_run[2];
byte sent_valid[2];

byte generation;
byte ticks;
byte faults;
bool is_waiting = true; /* the caller is about to submit */
byte wait_left;
byte home = NONE;       /* owner that has the caller's job */
bool is_done;

inline lose_home(i)
{
    if
    :: home == i -> home = NONE; is_waiting = true; wait_left = RESUBMIT
    :: else -> skip
    fi
}

inline check()
{
    assert(!(at_work[0] != 0 && at_work[1] != 0))
}

inline end_on(t)
{
    if
    :: at_work[t] > top[t] -> top[t] = at_work[t]
    :: else -> skip
    fi;
    at_work[t] = 0
}

/* The store gives all cells to one owner; the other one may not know. */
inline grant(i)
{
    generation++;
    own_token[i] = generation;
    is_ready[i * 2] = false;
    is_ready[i * 2 + 1] = false
}

inline open_session(i, t)
{
    if
    :: own_token[i] < token[t] -> is_ready[i * 2 + t] = false
    :: else ->
        token[t] = own_token[i];
        if
        :: at_work[t] != 0 && !(starter[t] == i && on[i] == t && state[i] != 0) ->
            end_on(t)
        :: else -> skip
        fi;
        is_ready[i * 2 + t] = true
    fi
}

inline send_start(i, t)
{
    number[i]++;
    state[i] = 1;
    on[i] = t;
    lapse[i] = LEASE + 1;
    is_sent[i] = true;
    sent_to[i] = t;
    sent_token[i] = own_token[i];
    sent_run[i] = number[i];
    sent_valid[i] = LEASE
}

inline take_start(i)
{
    is_sent[i] = false;
    if
#ifndef M_NO_START_DEADLINE
    :: sent_valid[i] == 0 -> skip
#endif
    :: sent_token[i] < token[sent_to[i]] -> skip
    :: sent_run[i] <= top[sent_to[i]] || at_work[sent_to[i]] != 0 -> skip
    :: else ->
        token[sent_to[i]] = sent_token[i];
        at_work[sent_to[i]] = sent_run[i];
        starter[sent_to[i]] = i;
        if
        :: sent_valid[i] > lease[sent_to[i]] -> lease[sent_to[i]] = sent_valid[i]
        :: lease[sent_to[i]] == 0 -> lease[sent_to[i]] = 1
        :: else -> skip
        fi;
        check();
        /* The answer comes, or is lost. */
        if
        :: is_alive[i] && !is_frozen[i] && state[i] == 1 &&
           number[i] == sent_run[i] -> state[i] = 2
        :: true -> skip
        fi
    fi
}

inline stop_run(i)
{
    if
    :: own_token[i] >= token[on[i]] ->
        token[on[i]] = own_token[i];
        if
        :: at_work[on[i]] != 0 && at_work[on[i]] <= number[i] -> end_on(on[i])
        :: else -> skip
        fi;
        if
        :: number[i] > top[on[i]] -> top[on[i]] = number[i]
        :: else -> skip
        fi;
        /* The answer comes, or is lost. */
        if
        :: state[i] = 0
        :: true -> skip
        fi
    :: else -> skip
    fi
}

inline hold(i)
{
    if
    :: own_token[i] >= token[on[i]] ->
        token[on[i]] = own_token[i];
        if
        :: at_work[on[i]] == 0 -> state[i] = 0
        :: else -> lease[on[i]] = LEASE; lapse[i] = LEASE + 1
        fi
    :: else -> skip
    fi
}

inline drop_order(i)
{
    has_order[i] = false;
    if
    :: state[i] != 0 -> stop_run(i); state[i] = 0
    :: else -> skip
    fi
}

inline pass_target(t)
{
    if
    :: lease[t] > 0 -> lease[t]--
    :: else -> skip
    fi;
    if
    :: lease[t] == 0 && at_work[t] != 0 -> end_on(t)
    :: else -> skip
    fi
}

inline pass_owner(i)
{
    if
    :: sent_valid[i] > 0 -> sent_valid[i]--
    :: else -> skip
    fi;
    if
    :: lapse[i] > 0 -> lapse[i]--
    :: else -> skip
    fi;
    if
    :: is_cut[i] && silent[i] <= SILENCE -> silent[i]++
    :: else -> skip
    fi
}

/* An owner that hears nothing drops the order before more time passes. */
#ifdef M_NO_SILENCE
#define HEARD(i) true
#else
#define HEARD(i) (!has_order[i] || silent[i] < SILENCE || is_frozen[i] || \
                  !is_alive[i])
#endif

active proctype world()
{
    byte i;
    byte t;
    do
    :: ticks < TICKS && HEARD(0) && HEARD(1) -> d_step {
        ticks++;
        pass_target(0);
        pass_target(1);
        pass_owner(0);
        pass_owner(1);
        if
        :: wait_left > 0 -> wait_left--
        :: else -> skip
        fi
    }
    :: ticks >= TICKS -> break
    :: atomic {
        if
        :: i = 0
        :: i = 1
        fi;
        if
        :: t = 0
        :: t = 1
        fi;
        if
        /* The store and the network. */
        :: generation < GRANTS && is_alive[i] && !is_frozen[i] -> grant(i)
        :: is_sent[i] -> take_start(i)
        :: is_sent[i] -> is_sent[i] = false
        /* Owners. */
        :: is_alive[i] && !is_frozen[i] && own_token[i] != 0 ->
            open_session(i, t)
        :: is_alive[i] && !is_frozen[i] && has_order[i] && state[i] == 0 &&
           is_ready[i * 2 + t] && number[i] < RUNS && !is_sent[i] ->
            send_start(i, t)
        :: is_alive[i] && !is_frozen[i] && state[i] == 1 -> state[i] = 3
        :: is_alive[i] && !is_frozen[i] && state[i] == 3 -> stop_run(i)
        :: is_alive[i] && !is_frozen[i] && state[i] == 2 &&
           silent[i] <= SILENCE -> hold(i)
#ifdef M_NO_LAPSE
        :: is_alive[i] && !is_frozen[i] && state[i] >= 2 -> state[i] = 0
#else
        :: is_alive[i] && !is_frozen[i] && state[i] >= 2 && lapse[i] == 0 ->
            state[i] = 0
#endif
        :: is_alive[i] && !is_frozen[i] && has_order[i] &&
           silent[i] >= SILENCE -> drop_order(i)
        /* Targets. */
        :: at_work[t] != 0 && starter[t] == i ->
            end_on(t);
            if
            :: state[i] == 2 && on[i] == t && home == i && has_order[i] ->
                is_done = true;
                has_order[i] = false;
                state[i] = 0;
                home = NONE
            :: else -> skip
            fi
        /* Faults. */
        :: faults < FAULTS && is_alive[i] && !is_frozen[i] ->
            faults++;
            is_frozen[i] = true;
            lose_home(i)
        :: is_frozen[i] ->
            is_frozen[i] = false;
#ifndef M_NO_PAUSE
            drop_order(i)
#endif
        :: faults < FAULTS && is_alive[i] ->
            faults++;
            is_alive[i] = false;
            is_frozen[i] = false;
            has_order[i] = false;
            state[i] = 0;
            own_token[i] = 0;
            lose_home(i)
        :: !is_alive[i] ->
            is_alive[i] = true;
            is_cut[i] = false;
            silent[i] = 0;
            number[i] = 0
        :: faults < FAULTS && home == i && !is_cut[i] ->
            faults++;
            is_cut[i] = true;
            lose_home(i)
        /* The caller. */
#ifdef M_EARLY_RESUBMIT
        :: is_waiting && !is_done && is_alive[i] && !is_frozen[i] ->
#else
        :: is_waiting && !is_done && wait_left == 0 && is_alive[i] &&
           !is_frozen[i] ->
#endif
            is_waiting = false;
            home = i;
            is_cut[i] = false;
            silent[i] = 0;
            has_order[i] = true
        fi;
        i = 0;
        t = 0
    }
    od
}
