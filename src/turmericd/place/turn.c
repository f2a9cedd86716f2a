/**
 * DOC: Turns at the weight store, at the member that grants them.
 *
 * The state is soft: it keeps the store fast and protects nothing else. An
 * asker repeats its question while it waits and while it loads, so a member
 * that takes over learns the state, and a turn of an asker that has vanished
 * expires.
 */
#include <glib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "kv/dat.h"
#include "kv/fns.h"
#include "tree/dat.h"
#include "tree/fns.h"
#include "proto/peer.pb-c.h"
#include "turmericd/fleet/member/dat.h"
#include "turmericd/fleet/observe/dat.h"
#include "turmericd/place/dat.h"
#include "turmericd/place/inner/dat.h"
#include "turmericd/place/inner/fns.h"

enum {
    TURN_EXPIRES_MS = 5000, /* five questions, one a second, were missed */
    ADAPTERS_AT_ONCE = 30,  /* above that, each adapter loads more slowly */
    RATE_WINDOW_MS = 1000,
};

static struct turn *
find_turn(struct turns *turns, uint64_t token)
{
    for (int i = 0; i < turns->count; i++) {
        if (turns->turns[i].token == token) {
            return &turns->turns[i];
        }
    }
    return NULL;
}

/**
 * turns_ask() - note a question, or its repetition
 * @turns: the turns
 * @ask: token, leaf, member, priority and whether it is an adapter
 * @now_ms: present time
 * @err: filled in on failure
 *
 * Return: false with ERR_TABLE_FULL; the asker repeats the question.
 */
bool
turns_ask(struct turns *turns, const struct turn *ask, int64_t now_ms,
          struct err *err)
{
    struct turn *turn = find_turn(turns, ask->token);

    if (turn != NULL) {
        turn->seen_ms = now_ms;
        turn->priority = ask->priority;
        return true;
    }
    if (turns->count == TURNS_MAX) {
        return err_set(err, ERR_TABLE_FULL, "%d turns are waiting", TURNS_MAX);
    }
    turn = &turns->turns[turns->count++];
    *turn = *ask;
    turn->sequence = ++turns->sequence;
    turn->seen_ms = now_ms;
    turn->granted = false;
    return true;
}

static bool
rate_allows(const struct turns *turns, int64_t per_s, int64_t now_ms)
{
    uint64_t limit = per_s < TURNS_MAX ? (uint64_t)per_s : TURNS_MAX;
    uint64_t earlier;

    if (turns->grants < limit) {
        return true;
    }
    earlier = (turns->grants - limit) % TURNS_MAX;
    return now_ms - turns->granted_ms[earlier] >= RATE_WINDOW_MS;
}

static int
granted_count(const struct turns *turns, bool adapter)
{
    int count = 0;

    for (int i = 0; i < turns->count; i++) {
        if (turns->turns[i].granted && turns->turns[i].adapter == adapter) {
            count++;
        }
    }
    return count;
}

static struct turn *
first_waiting(struct turns *turns, bool adapter)
{
    struct turn *first = NULL;

    for (int i = 0; i < turns->count; i++) {
        struct turn *turn = &turns->turns[i];

        if (turn->granted || turn->adapter != adapter) {
            continue;
        }
        if (first == NULL || turn->priority > first->priority ||
            (turn->priority == first->priority &&
             turn->sequence < first->sequence)) {
            first = turn;
        }
    }
    return first;
}

static bool
grant(struct turn *turn, struct turn *granted)
{
    turn->granted = true;
    *granted = *turn;
    return true;
}

/**
 * turns_next() - grant one turn if the limits allow
 * @turns: the turns
 * @at_once: store_loads_at_once
 * @per_s: store_loads_per_s, for any window of a second
 * @now_ms: present time
 * @granted: filled in
 *
 * Adapters are small: they are limited in number only.
 *
 * Return: false when nothing waits or a limit is reached.
 */
bool
turns_next(struct turns *turns, int64_t at_once, int64_t per_s, int64_t now_ms,
           struct turn *granted)
{
    struct turn *turn = first_waiting(turns, true);

    if (turn != NULL && granted_count(turns, true) < ADAPTERS_AT_ONCE) {
        return grant(turn, granted);
    }
    turn = first_waiting(turns, false);
    if (turn == NULL || granted_count(turns, false) >= at_once ||
        !rate_allows(turns, per_s, now_ms)) {
        return false;
    }
    turns->granted_ms[turns->grants++ % TURNS_MAX] = now_ms;
    return grant(turn, granted);
}

static void
drop_turn(struct turns *turns, struct turn *turn)
{
    *turn = turns->turns[--turns->count];
}

/**
 * turns_done() - a load has ended or is no longer wanted
 * @turns: the turns
 * @token: its token
 */
void
turns_done(struct turns *turns, uint64_t token)
{
    struct turn *turn = find_turn(turns, token);

    if (turn != NULL) {
        drop_turn(turns, turn);
    }
}

/**
 * turns_expire() - forget turns whose asker no longer repeats its question
 * @turns: the turns
 * @now_ms: present time
 */
void
turns_expire(struct turns *turns, int64_t now_ms)
{
    for (int i = turns->count - 1; i >= 0; i--) {
        if (now_ms - turns->turns[i].seen_ms > TURN_EXPIRES_MS) {
            drop_turn(turns, &turns->turns[i]);
        }
    }
}
