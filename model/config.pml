/*
 * Replication of the configuration document. Two operators edit two sections
 * concurrently; replies are lost and edits repeated; the log is trimmed;
 * readers publish snapshots, restart, and load the document from a snapshot or
 * a peer. Every reader must have the same document at the same offset.
 *
 * A document is modelled as the offset of the last accepted edit of each
 * section: a record never changes, so equal offsets mean equal texts.
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
byte edit_writer[LOG]; /* operator that wrote it */
byte next_offset = 1;  /* offsets start at 1 */
byte first_offset = 1;

/* The document after each record, as of a reader that missed none. */
byte expected0[LOG];
byte expected1[LOG];
byte accepted_count[LOG]; /* accepted edits of section 0, by base */

byte doc0[READERS];
byte doc1[READERS];
byte next_to_apply[READERS];
byte restart_count;
byte edit_count[2];

inline apply_record(r, o)
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

/* Asserts that reader r has the expected document for its offset. */
inline check_document(r)
{
    assert(doc0[r] == expected0[next_to_apply[r] - 1]);
    assert(doc1[r] == expected1[next_to_apply[r] - 1])
}

/* Appends an edit; the platform orders all records. */
inline append_edit(s, b, e)
{
    kind[next_offset] = 1;
    section[next_offset] = s;
    base[next_offset] = b;
    edit_writer[next_offset] = e;
    expected0[next_offset] = expected0[next_offset - 1];
    expected1[next_offset] = expected1[next_offset - 1];
    if
    :: s == 0 && b == expected0[next_offset] ->
        expected0[next_offset] = next_offset;
        accepted_count[b]++;
        assert(accepted_count[b] <= 1)
    :: s == 1 && b == expected1[next_offset] ->
        expected1[next_offset] = next_offset
    :: else -> skip
    fi;
    next_offset++
}

inline append_snapshot(r)
{
    kind[next_offset] = 2;
    upto[next_offset] = next_to_apply[r] - 1;
    snap0[next_offset] = doc0[r];
    snap1[next_offset] = doc1[r];
    expected0[next_offset] = expected0[next_offset - 1];
    expected1[next_offset] = expected1[next_offset - 1];
    next_offset++
}

/* An operator reads the document from any reader and publishes an edit. The
   reply may be lost; then the same edit is appended again. */
proctype Operator(byte o)
{
    byte b;
    byte s;
    do
    :: atomic { edit_count[o] < 2 && next_offset < LOG ->
                edit_count[o]++;
                if
                :: s = 0; b = doc0[0]
                :: s = 0; b = doc0[1]
                :: s = 1; b = doc1[o]
                fi;
                append_edit(s, b, o) }
    /* Repeats an edit whose reply was lost. */
    :: atomic { edit_count[o] == 1 && next_offset < LOG ->
                edit_count[o]++; append_edit(s, b, o) }
    od
}

proctype Reader(byte r)
{
    byte previous_next;
    byte o;
    do
    /* Applies the next record if the log still has it. */
    :: atomic { next_to_apply[r] < next_offset &&
#ifdef M_GAP
                true ->
                if
                :: next_to_apply[r] < first_offset ->
                    next_to_apply[r] = first_offset
                :: else -> skip
                fi;
#else
                next_to_apply[r] >= first_offset ->
#endif
                apply_record(r, next_to_apply[r]); next_to_apply[r]++;
                check_document(r) }
    /* Records were trimmed: loads a snapshot that the remaining ones follow. */
    :: atomic { next_to_apply[r] < first_offset ->
                o = first_offset;
                do
                :: o < next_offset && !(kind[o] == 2 &&
                                        upto[o] + 1 >= first_offset &&
                                        upto[o] >= next_to_apply[r]) -> o++
                :: else -> break
                od;
                if
                :: o < next_offset ->
                    doc0[r] = snap0[o]; doc1[r] = snap1[o];
                    next_to_apply[r] = upto[o] + 1; check_document(r)
                :: else -> skip
                fi;
                o = 0 }
    /* Loads the document of a peer, only if it is newer. */
    :: atomic {
#ifdef M_OLDER_PEER
                next_to_apply[1 - r] != next_to_apply[r] ->
#else
                next_to_apply[1 - r] > next_to_apply[r] ->
#endif
                previous_next = next_to_apply[r];
                doc0[r] = doc0[1 - r]; doc1[r] = doc1[1 - r];
                next_to_apply[r] = next_to_apply[1 - r];
                check_document(r);
                assert(next_to_apply[r] > previous_next);
                previous_next = 0 }
    /* Publishes a snapshot. */
    :: atomic { next_offset < LOG && next_to_apply[r] > 1 ->
                append_snapshot(r) }
    /* A restart loses all state. */
    :: atomic { restart_count < 2 ->
                restart_count++; next_to_apply[r] = 1; doc0[r] = 0;
                doc1[r] = 0 }
    od
}

/* The platform trims the log. */
proctype Trim()
{
    do
    :: atomic { first_offset < next_offset -> first_offset++ }
    od
}

init {
    atomic {
        next_to_apply[0] = 1; next_to_apply[1] = 1;
        run Operator(0); run Operator(1);
        run Reader(0); run Reader(1);
        run Trim()
    }
}
