/**
 * DOC: Notices of targets that leave, from their answers.
 *
 * They are kept by the target's id, beside the table of targets: a target may
 * be removed from that and come back with an older entry.
 */
#include <glib.h>
#include <http_parser.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/view/fns.h"
#include "gate/choose/dat.h"
#include "gate/choose/fns.h"
#include "gate/relay/dat.h"
#include "gate/relay/fns.h"
#include "gate/team/dat.h"
#include "gate/relay/internal.h"

/* Targets leave within minutes of each other, not thousands at once; the
 * oldest notice gives way. */
enum { NOTICES_MAX = 4096 };

/**
 * target_identity_of() - the start of a target that an entry describes
 * @info: the entry
 */
struct target_identity
target_identity_of(const struct target_info *info)
{
    struct target_identity identity = {.started_ms = info->started_ms};

    g_strlcpy(identity.id, info->id, sizeof(identity.id));
    g_strlcpy(identity.address, info->address, sizeof(identity.address));
    return identity;
}

/**
 * leaving_mark() - set when a target has said that it leaves
 * @relay: the relay
 * @target: the target
 */
void
leaving_mark(struct relay *relay, struct relay_target *target)
{
    const struct leaving_notice *notice =
        g_hash_table_lookup(relay->leaving, target->record.info.id);

    target->record.leaving_ms = notice != NULL ? notice->learnt_ms : 0;
}

/* Removes the notice. */
static void
end_notice(struct relay *relay, struct leaving_notice *notice,
           const char *cause, int64_t now_ms)
{
    struct target_identity identity = notice->target;
    struct relay_target *target = target_find(relay, identity.id);

    counter_add(CTR_TARGET_LEAVES_ENDED, 1);
    log_line(LOG_PRI_INFO, "relay",
             "event=target_leaves_ended target=%s address=%s source=%s "
             "age_ms=%" G_GINT64_FORMAT,
             identity.id, identity.address, cause,
             (gint64)(now_ms - notice->learnt_ms));
    g_hash_table_remove(relay->leaving, identity.id);
    if (target != NULL) {
        leaving_mark(relay, target);
    }
    relay->port->ops->leaving(relay->port, identity.id, false);
}

static void
make_room(struct relay *relay, int64_t now_ms)
{
    struct leaving_notice *oldest = NULL;
    GHashTableIter iter;
    void *value;

    if (g_hash_table_size(relay->leaving) < NOTICES_MAX) {
        return;
    }
    g_hash_table_iter_init(&iter, relay->leaving);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct leaving_notice *notice = value;

        if (oldest == NULL || notice->learnt_ms < oldest->learnt_ms) {
            oldest = notice;
        }
    }
    end_notice(relay, oldest, "no_room", now_ms);
}

/**
 * target_that_answers() - the target that an answer comes from
 * @relay: the relay
 * @upstream: the connection with the head
 *
 * It may be another one than was meant, which then names itself.
 */
struct target_identity
target_that_answers(struct relay *relay, const struct upstream *upstream)
{
    const char *id = upstream->meta.target_id;
    struct target_identity identity = upstream->peer;
    const struct relay_target *target;

    if (id[0] == '\0' || strcmp(id, identity.id) == 0) {
        return identity;
    }
    target = target_find(relay, id);
    if (target != NULL) {
        return target_identity_of(&target->record.info);
    }
    g_strlcpy(identity.id, id, sizeof(identity.id));
    identity.started_ms = TARGET_START_UNKNOWN;
    return identity;
}

/**
 * leaving_read_answer() - learn from an answer that its target leaves
 * @relay: the relay
 * @exchange: the request that it answers
 * @upstream: the connection with the head
 * @now_ms: current time
 */
void
leaving_read_answer(struct relay *relay, const struct exchange *exchange,
                    const struct upstream *upstream, int64_t now_ms)
{
    struct target_identity identity;
    struct leaving_notice *notice;
    struct relay_target *target;

    if (!upstream->meta.leaving) {
        return;
    }
    identity = target_that_answers(relay, upstream);
    if (g_hash_table_contains(relay->leaving, identity.id)) {
        return;
    }
    make_room(relay, now_ms);
    notice = g_new0(struct leaving_notice, 1);
    notice->target = identity;
    notice->learnt_ms = now_ms;
    g_hash_table_insert(relay->leaving, notice->target.id, notice);
    counter_add(CTR_TARGET_LEAVES, 1);
    log_line(LOG_PRI_INFO, "relay",
             "event=target_leaves target=%s address=%s source=answer id=%s "
             "status=%d since_sent_ms=%" G_GINT64_FORMAT,
             identity.id, identity.address, exchange->meta.attempt_id,
             (int)upstream->parser.status_code,
             (gint64)(now_ms - exchange->sent_ms));
    target = target_find(relay, identity.id);
    if (target != NULL) {
        leaving_mark(relay, target);
        target_close_idle(relay, target);
    }
    relay->port->ops->leaving(relay->port, identity.id, true);
}

static const char *const end_names[] = {
    [LEAVING_RESTARTED] = "restarted",
    [LEAVING_REPLACED] = "replaced",
};

/**
 * leaving_check_entry() - end the notices that a target's entry ends
 * @relay: the relay
 * @entry: an entry, new or old
 * @now_ms: current time
 */
void
leaving_check_entry(struct relay *relay, const struct target_info *entry,
                    int64_t now_ms)
{
    GList *notices = g_hash_table_get_values(relay->leaving);

    for (GList *link = notices; link != NULL; link = link->next) {
        struct leaving_notice *notice = link->data;
        enum leaving_end end = leaving_apply_entry(notice, entry);
        bool is_listed = target_find(relay, notice->target.id) != NULL;

        /* While a replaced target is listed still, requests would go there. */
        if (end == LEAVING_RESTARTED ||
            (end == LEAVING_REPLACED && !is_listed)) {
            end_notice(relay, notice, end_names[end], now_ms);
        }
    }
    g_list_free(notices);
}

/**
 * leaving_learnt_since() - whether the target of a new connection leaves or is
 *                          gone, as its entry or one of its answers says
 * @relay: the relay
 * @upstream: the connection, which has just been established
 *
 * A connection may take a second, which adds to the age of what is known.
 */
bool
leaving_learnt_since(struct relay *relay, const struct upstream *upstream)
{
    const struct relay_target *target =
        table_get(&relay->targets, upstream->target);

    return target == NULL || target_is_leaving(&target->record) ||
           g_hash_table_contains(relay->leaving, upstream->peer.id);
}
