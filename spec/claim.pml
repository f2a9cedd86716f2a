/*
 * Claims of requests that may not be repeated (design page, 3.3).
 *
 * One key. Two calls carry the key, each with a token of its own: the caller has
 * sent a duplicate to another instance, or sends again after "not run". Two
 * owners both believe that they own
 * the shard, and any ask may reach either of them, late and repeatedly. An
 * answer of the key-value service may be lost with the write done, not done,
 * or still to be done. An owner may restart, and it may compact the journal.
 * Any process may pause anywhere, since steps of others may come between.
 *
 * Checked: the key's request is sent at most once, and "not run" is never
 * said of a call that has been or will be sent.
 *
 * The switches put a fault back when set to 0, as in
 *   spin -DCREATE_IF_ABSENT=0 -DFAULTS_MAX=0 -a claim.pml
 *   gcc -O2 -w -DSAFETY -DBFS -o pan pan.c && ./pan
 * A search in breadth finds each of them within a second. FAULTS_MAX=2 takes
 * 58 million states and 3 GB, which is too much for every check.
 */
#ifndef CREATE_IF_ABSENT
#define CREATE_IF_ABSENT 1
#endif
#ifndef CHECK_BASE
#define CHECK_BASE 1
#endif
#ifndef DROP_LATE_VERDICT
#define DROP_LATE_VERDICT 1
#endif

#define CALLS 2
#ifndef ENTRIES
#define ENTRIES 3 /* the model ends when the journal is full */
#endif
#ifndef FAULTS_MAX
#define FAULTS_MAX 1 /* lost answers and restarts together */
#endif
#define COMPACTIONS_MAX 1

/* A record is 1 + call for a claim and RELEASE + call for a release. Batch ids
 * are left out: equal records of two owners have the same effect. */
#define RELEASE 8
#define NOTHING 0

#define BIT(call) (1 << (call))

mtype = { none, granted, refused };

/* Key-value service: entries from 1 on, and the base that replaces some. */
byte journal[ENTRIES + 1];
byte base;
byte base_holder;
byte base_released;

/* A write that the service has yet to do, one for each owner. */
byte late_at[2];
byte late_record[2];

byte faults;
byte compactions;

/* Messages: they stay, so that they may arrive late and more than once. */
bool asked[CALLS];
bool give_back[CALLS];
mtype reply[CALLS] = none;
bool waiting[CALLS];

/* The owners are alike, and so are the calls: whoever acts first is
 * called 0, which saves the mirrored states. */
bool owner_acted;
bool call_seen;

/* What the callers and targets see. */
byte sent;
bool sent_call[CALLS];
bool not_run[CALLS];

inline write(at, record)
{
    if
    :: !CREATE_IF_ABSENT || journal[at] == NOTHING -> journal[at] = record
    :: else
    fi
}

/* Applies one record to an owner's view: the first claim holds the key. */
inline apply(record)
{
    if
    :: record >= RELEASE ->
        if
        :: holder == record - RELEASE + 1 -> holder = 0
        :: else
        fi;
        released = released | BIT(record - RELEASE)
    :: record < RELEASE && holder == 0 &&
       (released & BIT(record - 1)) == 0 -> holder = record
    :: else
    fi
}

inline forget()
{
    loaded = false;
    next = 1;
    trusted = 1;
    holder = 0;
    released = 0
}

inline load_base()
{
    d_step {
        holder = base_holder;
        released = base_released;
        next = base + 1;
        trusted = next;
        loaded = true
    }
}

/* One range read: the consecutive entries, or a gap that drops the view. */
inline read_entries()
{
    d_step {
        at = next;
        do
        :: at <= ENTRIES && journal[at] != NOTHING && at == next ->
            apply(journal[at]);
            next++;
            at++
        :: at <= ENTRIES && journal[at] != NOTHING && at != next ->
            forget();
            break
        :: at <= ENTRIES && journal[at] == NOTHING -> at++
        :: at > ENTRIES -> break
        od;
        at = 0
    }
}

/* What was read or written counts only below the base read afterwards. */
inline check_base()
{
    d_step {
        if
        :: CHECK_BASE && base >= trusted -> forget()
        :: else -> trusted = next
        fi
    }
}

/* Compare-and-swap on entry `next`; `done` says that an answer arrived. */
inline create()
{
    atomic {
        if
        :: !CREATE_IF_ABSENT || journal[next] == NOTHING ->
            if
            :: write(next, record); done = true
            :: faults < FAULTS_MAX -> faults++; write(next, record)
            :: faults < FAULTS_MAX && late_at[id] == 0 ->
                faults++;
                late_at[id] = next;
                late_record[id] = record
            fi
        :: else
        fi
    }
}

/* Looks at the own number after a write that was not confirmed. */
inline look_up()
{
    atomic {
        if
        :: journal[next] == NOTHING -> skip
        :: journal[next] != NOTHING ->
            if
            :: journal[next] == record -> done = true
            :: else -> record = NOTHING
            fi
        fi
    }
}

/* Answers what the view settles; `record` stays when it must be appended. */
inline decide()
{
    call = (record >= RELEASE -> record - RELEASE : record - 1);
    if
    :: record >= RELEASE && (released & BIT(call)) != 0 ->
        give_back[call] = false;
        record = NOTHING
    :: record < RELEASE && holder == record ->
        if
        :: waiting[call] -> reply[call] = granted
        :: else
        fi;
        record = NOTHING
    :: record < RELEASE &&
       ((holder != 0 && holder != record) || (released & BIT(call)) != 0) ->
        if
        :: waiting[call] && reply[call] == none -> reply[call] = refused
        :: else
        fi;
        record = NOTHING
    :: else
    fi;
    call = 0
}

proctype owner(byte id)
{
    byte next = 1;
    byte trusted = 1;
    byte holder = 0;
    byte released = 0;
    byte at = 0;
    byte call = 0;
    byte record = NOTHING;
    byte last = 0;
    bool loaded = false;
    bool done = false;

end_idle:
    do
    :: atomic {
           next <= ENTRIES && (id == 0 || owner_acted) ->
           if
           :: asked[0] -> record = 1; call_seen = true
           :: asked[1] && call_seen -> record = 2
           :: give_back[0] -> record = RELEASE; call_seen = true
           :: give_back[1] && call_seen -> record = RELEASE + 1
           fi;
           owner_acted = true;
           /* The choice is no call of the service, so it needs no pause. */
           if
           :: !loaded -> load_base()
           :: else
           fi
       };
       /* Catch up, then decide at once on what was read. */
       do
       :: atomic { !loaded -> load_base() }
       :: atomic { loaded -> read_entries() };
          atomic {
              if
              :: loaded -> check_base()
              :: else
              fi;
              if
              :: loaded -> decide(); break
              :: else
              fi
          }
       od;
       /* Append, repeating the same record until its fate is known. */
       do
       :: record != NOTHING && !done && next <= ENTRIES ->
          create();
          if
          :: !done -> look_up()
          :: else
          fi
       :: atomic {
              record != NOTHING && !done && faults < FAULTS_MAX ->
              faults++;
              forget();
              record = NOTHING
          };
          break
       :: else -> break
       od;
       /* The entry counts only below the base; then it decides alike. */
       if
       :: done ->
          atomic {
              next++;
              done = false;
              check_base();
              if
              :: loaded ->
                 apply(record);
                 decide()
              :: else
              fi;
              record = NOTHING
          }
       :: else -> record = NOTHING
       fi

    :: atomic { faults < FAULTS_MAX -> faults++; forget() }

    /* Compaction: the pointer by compare-and-swap, then the removal. */
    :: atomic {
           loaded && compactions < COMPACTIONS_MAX && trusted - 1 > base ->
           compactions++;
           base = trusted - 1;
           base_holder = holder;
           base_released = released;
           last = base
       };
       d_step {
           do
           :: last > 0 -> journal[last] = NOTHING; last--
           :: else -> break
           od
       }
    od
}

/* Later verdicts find no waiting call. */
inline finish()
{
    waiting[call] = false;
    reply[call] = none
}

/* The instance that a call has reached. */
proctype asker(byte call)
{
    if
    :: reply[call] == granted ->
act:
       /* A pause between the grant and the sending is a step of others. */
       if
       :: atomic {
              /* Sent to a target, perhaps after others refused to connect. */
              true ->
              finish();
              assert(!not_run[call]);
              sent++;
              sent_call[call] = true;
              assert(sent <= 1)
          }
       :: atomic {
              /* Provably not sent. */
              true ->
              finish();
              assert(!sent_call[call]);
              not_run[call] = true;
              give_back[call] = true
          }
       fi
    :: reply[call] == refused ->
       finish()
    :: atomic {
           /* No verdict in time. */
           true ->
           if
           :: DROP_LATE_VERDICT -> finish()
           :: else
           fi;
           assert(!sent_call[call]);
           not_run[call] = true;
           give_back[call] = true
       };
       if
       :: !DROP_LATE_VERDICT && reply[call] == granted -> goto act
       :: DROP_LATE_VERDICT -> skip
       fi
    fi
}

/* Writes that arrive late, or never. */
proctype network()
{
end_idle:
    do
    :: d_step {
           late_at[0] > 0 ->
           write(late_at[0], late_record[0]);
           late_at[0] = 0;
           late_record[0] = 0
       }
    :: d_step {
           late_at[1] > 0 ->
           write(late_at[1], late_record[1]);
           late_at[1] = 0;
           late_record[1] = 0
       }
    od
}

init
{
    atomic {
        run owner(0);
        run owner(1);
        run network();
        asked[0] = true;
        asked[1] = true;
        waiting[0] = true;
        waiting[1] = true;
        run asker(0);
        run asker(1)
    }
}
