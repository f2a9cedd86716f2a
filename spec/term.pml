/*
 * The term: the period in which an instance may send orders to engines
 * (docs/platform.md, 2.2).
 *
 * Two instances share a store that grants one lease. Time advances in ticks,
 * also while an instance is paused. A call reaches the store late or never,
 * and its response may be lost. The lease expires TTL ticks after the last
 * renewal reached the store. An instance ends its term after TTL - MARGIN
 * ticks, counted from when it sent the call. An order from the holder arrives
 * within CALL ticks, also while its sender is paused, or never.
 *
 * Checked: two running instances never both consider themselves the holder,
 * and no order arrives after another instance has become the holder.
 *
 * Setting a switch to 0 reintroduces a fault; check.sh verifies that the
 * check then fails.
 * MUTANTS COUNT_FROM_SENDING CONDITION CLOCK_WHILE_FROZEN REFUSAL_IS_NO_GRANT MARGIN_COVERS_CALL
 */
#ifndef COUNT_FROM_SENDING
#define COUNT_FROM_SENDING 1
#endif
#ifndef CONDITION
#define CONDITION 1
#endif
#ifndef CLOCK_WHILE_FROZEN
#define CLOCK_WHILE_FROZEN 1
#endif
#ifndef REFUSAL_IS_NO_GRANT
#define REFUSAL_IS_NO_GRANT 1
#endif

#ifndef MARGIN_COVERS_CALL
#define MARGIN_COVERS_CALL 1
#endif

#define TTL 4
#define CALL 2
#if MARGIN_COVERS_CALL
#define MARGIN CALL
#else
#define MARGIN (CALL - 1)
#endif
#define TICKS_MAX 14
#define NOBODY 2

byte holder = NOBODY;
byte lease_left;
byte term_left[2];
bool paused[2];
bool calling[2];
bool arrived[2];
bool granted[2];
byte since_sent[2];
bool ordering[2];
byte order_age[2];

#define HOLDS(i) (term_left[i] > 0 && !paused[i])

inline tick_instance(i)
{
    if
    :: term_left[i] > 0 && (CLOCK_WHILE_FROZEN || !paused[i]) ->
        term_left[i]--
    :: else
    fi;
    if
    :: calling[i] && since_sent[i] < TTL -> since_sent[i]++
    :: else
    fi;
    if
    :: ordering[i] && order_age[i] == CALL -> ordering[i] = false
    :: ordering[i] && order_age[i] < CALL -> order_age[i]++
    :: else
    fi
}

active proctype clock()
{
    byte ticks;

    do
    :: ticks < TICKS_MAX ->
        atomic {
            ticks++;
            if
            :: lease_left > 0 ->
                lease_left--;
                if
                :: lease_left == 0 -> holder = NOBODY
                :: else
                fi
            :: else
            fi;
            tick_instance(0);
            tick_instance(1)
        }
    :: ticks == TICKS_MAX -> break
    od
}

/* The store processes a call. */
inline store_receive(i)
{
    arrived[i] = true;
    granted[i] = false;
    if
    :: holder == i || holder == NOBODY || !CONDITION ->
        holder = i;
        lease_left = TTL;
        granted[i] = true
    :: else
    fi
}

inline handle_response(i)
{
    calling[i] = false;
    arrived[i] = false;
    if
    :: granted[i] && COUNT_FROM_SENDING ->
        term_left[i] = (since_sent[i] < TTL - MARGIN ->
                        TTL - MARGIN - since_sent[i] : 0)
    :: granted[i] && !COUNT_FROM_SENDING -> term_left[i] = TTL - MARGIN
    :: !granted[i] && REFUSAL_IS_NO_GRANT -> term_left[i] = 0
    :: !granted[i] && !REFUSAL_IS_NO_GRANT -> term_left[i] = TTL
    fi
}

proctype instance(byte self)
{
    do
    :: atomic { !paused[self] && !calling[self] ->
        calling[self] = true; since_sent[self] = 0 }
    :: atomic { calling[self] && !arrived[self] -> store_receive(self) }
    :: atomic { calling[self] && !arrived[self] -> calling[self] = false }
    :: atomic { calling[self] && arrived[self] && !paused[self] ->
        handle_response(self) }
    :: atomic { calling[self] && arrived[self] ->
        calling[self] = false; arrived[self] = false }
    :: atomic { !paused[self] -> paused[self] = true }
    :: atomic { paused[self] -> paused[self] = false }
    :: atomic { HOLDS(self) && !ordering[self] ->
        ordering[self] = true; order_age[self] = 0 }
    :: atomic { ordering[self] ->
        assert(holder != 1 - self); ordering[self] = false }
    :: assert(!(HOLDS(0) && HOLDS(1)))
    od
}

init
{
    atomic { run instance(0); run instance(1) }
}
