/*
 * The configuration's rule: two operators race on two sections, replies are
 * lost and edits repeated, the log is trimmed, readers publish snapshots,
 * restart, and take the document from a snapshot or a peer.
 *
 * A document is, for each section, the offset of its last accepted edit;
 * equal offsets mean equal texts, since a record never changes.
 */
#define LOG 6
#define SECTIONS 2
#define READERS 2

/* Records. kind: 1 edit, 2 snapshot. */
byte kind[LOG];
byte section[LOG];
byte base[LOG];
byte upto[LOG];
byte snap0[LOG];
byte snap1[LOG];
byte edit_of[LOG];    /* operator's edit, to tell repeats */
byte next_offset = 1; /* offsets start at 1 */
byte first_offset = 1;

/* The rule applied to the whole log, as a reader that missed nothing. */
byte truth0[LOG];
byte truth1[LOG];
byte winners[LOG];    /* accepted edits with this base, section 0 */

byte doc0[READERS];
byte doc1[READERS];
byte at[READERS];     /* next offset to judge */
byte restarts;
byte writes[2];

inline judge(r, o)
{
    if
    :: kind[o] == 1 && section[o] == 0 &&
#ifdef M_BASE
       true
#else
       base[o] == doc0[r]
#endif
       -> doc0[r] = o
    :: kind[o] == 1 && section[o] == 1 && base[o] == doc1[r] -> doc1[r] = o
    :: else -> skip
    fi
}

/* The same document at the same offset, at every reader. */
inline check(r)
{
    assert(doc0[r] == truth0[at[r] - 1]);
    assert(doc1[r] == truth1[at[r] - 1])
}

/* Appends a record; the platform orders them. */
inline append_edit(s, b, e)
{
    kind[next_offset] = 1;
    section[next_offset] = s;
    base[next_offset] = b;
    edit_of[next_offset] = e;
    truth0[next_offset] = truth0[next_offset - 1];
    truth1[next_offset] = truth1[next_offset - 1];
    if
    :: s == 0 && b == truth0[next_offset] ->
        truth0[next_offset] = next_offset;
        winners[b]++;
        assert(winners[b] <= 1)
    :: s == 1 && b == truth1[next_offset] -> truth1[next_offset] = next_offset
    :: else -> skip
    fi;
    next_offset++
}

inline append_snapshot(r)
{
    kind[next_offset] = 2;
    upto[next_offset] = at[r] - 1;
    snap0[next_offset] = doc0[r];
    snap1[next_offset] = doc1[r];
    truth0[next_offset] = truth0[next_offset - 1];
    truth1[next_offset] = truth1[next_offset - 1];
    next_offset++
}

/* An operator reads a document at any reader and publishes an edit; the
   reply may be lost, and the same edit appended again. */
proctype Operator(byte o)
{
    byte b;
    byte s;
    do
    :: atomic { writes[o] < 2 && next_offset < LOG ->
                writes[o]++;
                if
                :: s = 0; b = doc0[0]
                :: s = 0; b = doc0[1]
                :: s = 1; b = doc1[o]
                fi;
                append_edit(s, b, o) }
    /* The repeat of an edit whose reply was lost. */
    :: atomic { writes[o] == 1 && next_offset < LOG ->
                writes[o]++; append_edit(s, b, o) }
    od
}

proctype Reader(byte r)
{
    byte was;
    byte o;
    do
    /* The next record, where the log still keeps it. */
    :: atomic { at[r] < next_offset &&
#ifdef M_GAP
                true ->
                if
                :: at[r] < first_offset -> at[r] = first_offset
                :: else -> skip
                fi;
#else
                at[r] >= first_offset ->
#endif
                judge(r, at[r]); at[r]++; check(r) }
    /* Records are missing: a snapshot that reaches what is kept. */
    :: atomic { at[r] < first_offset ->
                o = first_offset;
                do
                :: o < next_offset && !(kind[o] == 2 &&
                                        upto[o] + 1 >= first_offset &&
                                        upto[o] >= at[r]) -> o++
                :: else -> break
                od;
                if
                :: o < next_offset ->
                    doc0[r] = snap0[o]; doc1[r] = snap1[o];
                    at[r] = upto[o] + 1; check(r)
                :: else -> skip
                fi;
                o = 0 }
    /* From a peer, only what is newer. */
    :: atomic {
#ifdef M_OLDER_PEER
                at[1 - r] != at[r] ->
#else
                at[1 - r] > at[r] ->
#endif
                was = at[r];
                doc0[r] = doc0[1 - r]; doc1[r] = doc1[1 - r];
                at[r] = at[1 - r];
                check(r);
                assert(at[r] > was);
                was = 0 }
    /* A snapshot is published before the trim. */
    :: atomic { next_offset < LOG && at[r] > 1 -> append_snapshot(r) }
    /* A restart keeps nothing. */
    :: atomic { restarts < 2 ->
                restarts++; at[r] = 1; doc0[r] = 0; doc1[r] = 0 }
    od
}

/* The platform drops old records. */
proctype Trim()
{
    do
    :: atomic { first_offset < next_offset -> first_offset++ }
    od
}

init {
    atomic {
        at[0] = 1; at[1] = 1;
        run Operator(0); run Operator(1);
        run Reader(0); run Reader(1);
        run Trim()
    }
}
