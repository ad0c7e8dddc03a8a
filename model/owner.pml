/*
 * Ownership of targets: one task of one job, two owners, two targets. Covers
 * grants, fencing tokens, leases, late starts, lost answers, stops that are
 * lost, other runs that need the lease of a target, a coordinator that cannot be
 * reached, frozen and killed processes, and a caller that resubmits.
 * The task must never run on both targets at once.
 *
 * Time passes in ticks. All clocks agree: the code adds the drift of real
 * clocks to each wait.
 *
 * LEASE + LINK_TIMEOUT + 1 <= RESUBMIT, as ensured by owner_limits() and
 * coordinator_link_timeout_ns().
 */
#ifndef LEASE
#define LEASE 2
#endif
#define LINK_TIMEOUT 1
#define RESUBMIT 4
#ifndef TICKS
#define TICKS 6
#endif
#define GRANTS 2
#define RUNS 2
#define FAULTS 1
#define NONE 9

/* Targets. */
byte token[2];         /* highest token seen */
byte target_lease_left[2];
byte running[2];       /* number of the current run, 0 for none */
byte run_owner[2];     /* owner that started the run */
byte highest_ended[2]; /* highest run number that ended or was stopped */

/* Owners. */
bool is_alive[2] = true;
bool is_frozen[2];
byte own_token[2];        /* 0: owns no target */
bool is_ready[4];         /* sessions, by owner * 2 + target */
bool has_order[2];
byte run_state[2];        /* 0 none, 1 starting, 2 active, 3 unknown */
byte run_target[2];
byte run_number[2];
byte owner_lease_left[2]; /* ticks until the last lease has certainly expired */
byte silent_ticks[2];     /* ticks since data came from the coordinator */
bool is_link_down[2];     /* nothing arrives from the coordinator */
/* A run whose order has ended and whose stop may have been lost. */
bool has_orphan[2];
byte orphan_target[2];
byte orphan_left[2];      /* ticks until it must have ended */

/* The start call in flight, one for each owner. */
bool is_sent[2];
byte sent_to[2];
byte sent_token[2];
byte sent_run[2];
byte sent_lease[2];

byte generation;
byte ticks;
byte fault_count;
bool is_waiting = true;  /* the caller is about to submit the job */
byte resubmit_left;
byte coordinator = NONE; /* owner that coordinates the caller's job */
bool is_done;

inline lose_coordinator(i)
{
    if
    :: coordinator == i ->
        coordinator = NONE; is_waiting = true; resubmit_left = RESUBMIT
    :: else -> skip
    fi
}

inline check_exclusive()
{
    assert(!(running[0] != 0 && running[1] != 0))
}

inline end_run(t)
{
    if
    :: running[t] > highest_ended[t] -> highest_ended[t] = running[t]
    :: else -> skip
    fi;
    running[t] = 0
}

/* The store assigns all partitions to one owner; the other one may not know. */
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
        :: running[t] != 0 && !(run_owner[t] == i && run_target[i] == t &&
                                run_state[i] != 0) ->
            end_run(t)
        :: else -> skip
        fi;
        is_ready[i * 2 + t] = true
    fi
}

inline send_start(i, t)
{
    run_number[i]++;
    run_state[i] = 1;
    run_target[i] = t;
    owner_lease_left[i] = LEASE + 1;
    is_sent[i] = true;
    sent_to[i] = t;
    sent_token[i] = own_token[i];
    sent_run[i] = run_number[i];
    sent_lease[i] = LEASE
}

inline receive_start(i)
{
    is_sent[i] = false;
    if
#ifndef M_NO_START_DEADLINE
    :: sent_lease[i] == 0 -> skip
#endif
    :: sent_token[i] < token[sent_to[i]] -> skip
    :: sent_run[i] <= highest_ended[sent_to[i]] ||
       running[sent_to[i]] != 0 -> skip
    :: else ->
        token[sent_to[i]] = sent_token[i];
        running[sent_to[i]] = sent_run[i];
        run_owner[sent_to[i]] = i;
        if
        :: sent_lease[i] > target_lease_left[sent_to[i]] ->
            target_lease_left[sent_to[i]] = sent_lease[i]
        :: target_lease_left[sent_to[i]] == 0 ->
            target_lease_left[sent_to[i]] = 1
        :: else -> skip
        fi;
        check_exclusive();
        /* The answer arrives or is lost. */
        if
        :: is_alive[i] && !is_frozen[i] && run_state[i] == 1 &&
           run_number[i] == sent_run[i] -> run_state[i] = 2
        :: true -> skip
        fi
    fi
}

inline stop_run(i)
{
    if
    :: own_token[i] >= token[run_target[i]] ->
        token[run_target[i]] = own_token[i];
        if
        :: running[run_target[i]] != 0 &&
           running[run_target[i]] <= run_number[i] -> end_run(run_target[i])
        :: else -> skip
        fi;
        if
        :: run_number[i] > highest_ended[run_target[i]] ->
            highest_ended[run_target[i]] = run_number[i]
        :: else -> skip
        fi;
        /* The answer arrives or is lost. */
        if
        :: run_state[i] = 0
        :: true -> skip
        fi
    :: else -> skip
    fi
}

inline renew_lease(i)
{
    if
    :: own_token[i] >= token[run_target[i]] ->
        token[run_target[i]] = own_token[i];
        if
        :: running[run_target[i]] == 0 -> run_state[i] = 0
        :: else ->
            target_lease_left[run_target[i]] = LEASE;
            owner_lease_left[i] = LEASE + 1
        fi
    :: else -> skip
    fi
}

/* The stop of the run arrives or is lost. */
inline drop_order(i)
{
    has_order[i] = false;
    if
    :: run_state[i] != 0 ->
        has_orphan[i] = true;
        orphan_target[i] = run_target[i];
        orphan_left[i] = (is_waiting && resubmit_left > 0 ->
                          resubmit_left - 1 : 0);
        if
        :: stop_run(i)
        :: true -> skip
        fi;
        run_state[i] = 0
    :: else -> skip
    fi
}

/* Renews a target's lease for the run of another job. It covers all runs. */
inline renew_for_neighbour(i, t)
{
    target_lease_left[t] =
#ifndef M_NEIGHBOUR_LEASE
        (has_orphan[i] && orphan_target[i] == t && orphan_left[i] < LEASE ->
         (orphan_left[i] > target_lease_left[t] ->
          orphan_left[i] : target_lease_left[t]) : LEASE);
#else
        LEASE;
#endif
    if
    :: run_state[i] != 0 && run_target[i] == t ->
        owner_lease_left[i] = LEASE + 1
    :: else -> skip
    fi
}

inline advance_target(t)
{
    if
    :: target_lease_left[t] > 0 -> target_lease_left[t]--
    :: else -> skip
    fi;
    if
    :: target_lease_left[t] == 0 && running[t] != 0 -> end_run(t)
    :: else -> skip
    fi
}

inline advance_owner(i)
{
    if
    :: sent_lease[i] > 0 -> sent_lease[i]--
    :: else -> skip
    fi;
    if
    :: owner_lease_left[i] > 0 -> owner_lease_left[i]--
    :: else -> skip
    fi;
    if
    :: orphan_left[i] > 0 -> orphan_left[i]--
    :: else -> skip
    fi;
    if
    :: is_link_down[i] && silent_ticks[i] <= LINK_TIMEOUT -> silent_ticks[i]++
    :: else -> skip
    fi
}

/* Time passes only after an owner past its link timeout dropped the order. */
#ifdef M_NO_LINK_TIMEOUT
#define CAN_ADVANCE(i) true
#else
#define CAN_ADVANCE(i) (!has_order[i] || silent_ticks[i] < LINK_TIMEOUT || \
                        is_frozen[i] || !is_alive[i])
#endif

active proctype world()
{
    byte i;
    byte t;
    do
    :: ticks < TICKS && CAN_ADVANCE(0) && CAN_ADVANCE(1) -> d_step {
        ticks++;
        advance_target(0);
        advance_target(1);
        advance_owner(0);
        advance_owner(1);
        if
        :: resubmit_left > 0 -> resubmit_left--
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
        :: is_sent[i] -> receive_start(i)
        :: is_sent[i] -> is_sent[i] = false
        /* Owners. */
        :: is_alive[i] && !is_frozen[i] && own_token[i] != 0 ->
            open_session(i, t)
        :: is_alive[i] && !is_frozen[i] && has_order[i] && run_state[i] == 0 &&
           is_ready[i * 2 + t] && run_number[i] < RUNS && !is_sent[i] ->
            send_start(i, t)
        :: is_alive[i] && !is_frozen[i] && run_state[i] == 1 -> run_state[i] = 3
        :: is_alive[i] && !is_frozen[i] && run_state[i] == 3 -> stop_run(i)
        :: is_alive[i] && !is_frozen[i] && run_state[i] == 2 &&
           silent_ticks[i] <= LINK_TIMEOUT -> renew_lease(i)
#ifdef M_NO_LEASE_WAIT
        :: is_alive[i] && !is_frozen[i] && run_state[i] >= 2 -> run_state[i] = 0
#else
        :: is_alive[i] && !is_frozen[i] && run_state[i] >= 2 &&
           owner_lease_left[i] == 0 ->
            run_state[i] = 0
#endif
        :: is_alive[i] && !is_frozen[i] && has_order[i] &&
           silent_ticks[i] >= LINK_TIMEOUT -> drop_order(i)
        :: is_alive[i] && !is_frozen[i] && is_ready[i * 2 + t] &&
           own_token[i] >= token[t] && running[t] != 0 &&
           target_lease_left[t] < LEASE -> renew_for_neighbour(i, t)
        :: has_orphan[i] && !is_sent[i] &&
           (running[orphan_target[i]] == 0 ||
            run_owner[orphan_target[i]] != i) -> has_orphan[i] = false
        /* Targets. */
        :: running[t] != 0 && run_owner[t] == i ->
            end_run(t);
            if
            :: run_state[i] == 2 && run_target[i] == t && coordinator == i &&
               has_order[i] ->
                is_done = true;
                has_order[i] = false;
                run_state[i] = 0;
                coordinator = NONE
            :: else -> skip
            fi
        /* Faults. */
        :: fault_count < FAULTS && is_alive[i] && !is_frozen[i] ->
            fault_count++;
            is_frozen[i] = true;
            lose_coordinator(i)
        :: is_frozen[i] ->
            is_frozen[i] = false;
#ifndef M_NO_FREEZE_CHECK
            drop_order(i)
#endif
        :: fault_count < FAULTS && is_alive[i] ->
            fault_count++;
            is_alive[i] = false;
            is_frozen[i] = false;
            has_order[i] = false;
            run_state[i] = 0;
            own_token[i] = 0;
            lose_coordinator(i)
        :: !is_alive[i] ->
            is_alive[i] = true;
            is_link_down[i] = false;
            silent_ticks[i] = 0;
            run_number[i] = 0
        :: fault_count < FAULTS && coordinator == i && !is_link_down[i] ->
            fault_count++;
            is_link_down[i] = true;
            lose_coordinator(i)
        /* The caller. */
        :: fault_count < FAULTS && coordinator == i && has_order[i] &&
           is_alive[i] && !is_frozen[i] ->
            fault_count++;
            lose_coordinator(i);
            drop_order(i)
#ifdef M_EARLY_RESUBMIT
        :: is_waiting && !is_done && is_alive[i] && !is_frozen[i] ->
#else
        :: is_waiting && !is_done && resubmit_left == 0 && is_alive[i] &&
           !is_frozen[i] ->
#endif
            is_waiting = false;
            coordinator = i;
            is_link_down[i] = false;
            silent_ticks[i] = 0;
            has_order[i] = true
        fi;
        i = 0;
        t = 0
    }
    od
}
