/**
 * DOC: Proof of the time for which the changes known here are complete.
 *
 * A call to the store that was sent at some time and succeeded proves it for
 * that time. Instances that don't call the store ask the one that passes its
 * changes on to them; it answers with its next call. What counts is the time
 * at which an ask was sent, by its sender's clock: messages may be delayed,
 * and a machine may be frozen with unread ones.
 */
#include <glib.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/view/fns.h"
#include "gate/follow/dat.h"
#include "gate/follow/fns.h"

enum {
    ASK_INTERVAL_MS = 500,
    /* After this time without changes from an instance, it is not asked. */
    SOURCE_MAX_AGE_MS = 3000,
    ASKS_MAX = 4096, /* one for each instance that listens */
};

/**
 * fresh_init() - initialize
 * @fresh: the state
 */
void
fresh_init(struct fresh *fresh)
{
    fresh->asks = g_array_new(FALSE, FALSE, sizeof(struct fresh_ask));
    fresh->source = 0;
    fresh->source_heard_ms = 0;
    fresh->asked_ms = 0;
    fresh->version_max = 0;
}

/**
 * fresh_clear() - release
 * @fresh: the state
 */
void
fresh_clear(struct fresh *fresh)
{
    g_array_free(fresh->asks, TRUE);
}

/**
 * fresh_add_ask() - keep another instance's ask until the next call to the
 * store has ended
 * @fresh: the state
 * @ask: the ask; replaces an earlier one of the same instance
 */
void
fresh_add_ask(struct fresh *fresh, const struct fresh_ask *ask)
{
    for (guint i = 0; i < fresh->asks->len; i++) {
        struct fresh_ask *known =
            &g_array_index(fresh->asks, struct fresh_ask, i);

        if (known->member == ask->member) {
            known->sent_ms = ask->sent_ms;
            return;
        }
    }
    if (fresh->asks->len == ASKS_MAX) {
        refusal_add(ERR_TABLE_FULL);
        return;
    }
    g_array_append_val(fresh->asks, *ask);
}

/**
 * fresh_take_asks() - the asks that a call to the store has answered
 * @fresh: the state; it keeps none of them
 *
 * Return: array of struct fresh_ask, to be freed by the caller.
 */
GArray *
fresh_take_asks(struct fresh *fresh)
{
    GArray *taken = fresh->asks;

    fresh->asks = g_array_new(FALSE, FALSE, sizeof(struct fresh_ask));
    return taken;
}

/**
 * fresh_note_source() - note that changes arrived which connect to what is
 * known
 * @fresh: the state; another instance than before is asked at once
 * @source: instance that passed them on
 * @now_ms: current time
 */
void
fresh_note_source(struct fresh *fresh, uint64_t source, int64_t now_ms)
{
    if (fresh->source != 0 && fresh->source != source) {
        fresh->asked_ms = 0;
    }
    fresh->source = source;
    fresh->source_heard_ms = now_ms;
}

/**
 * fresh_ask_due_ms() - when the next ask is due
 * @fresh: the state
 * @now_ms: current time
 *
 * Return: a time; INT64_MAX while there is no instance to ask.
 */
int64_t
fresh_ask_due_ms(const struct fresh *fresh, int64_t now_ms)
{
    if (fresh->source == 0 ||
        now_ms - fresh->source_heard_ms > SOURCE_MAX_AGE_MS) {
        return INT64_MAX;
    }
    return fresh->asked_ms == 0 ? now_ms : fresh->asked_ms + ASK_INTERVAL_MS;
}

/**
 * fresh_answer_ms() - time for which changes prove the configuration
 * @changes: changes that were applied
 * @self_id: id of this instance
 * @boot_ms: current time by clock_boot_ms()
 *
 * An ask with a later time was sent by an earlier process of this instance,
 * before its machine was started again or on another one.
 *
 * Return: when its ask was sent; -1 when they answer none.
 */
int64_t
fresh_answer_ms(const struct store_changes *changes, uint64_t self_id,
                int64_t boot_ms)
{
    for (guint i = 0; changes->fresh != NULL && i < changes->fresh->len; i++) {
        const struct fresh_ask *answer =
            &g_array_index(changes->fresh, struct fresh_ask, i);

        if (answer->member == self_id) {
            return answer->sent_ms <= boot_ms ? answer->sent_ms : -1;
        }
    }
    return -1;
}
