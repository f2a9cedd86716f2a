/**
 * DOC: Requests whose target ends the connection before it begins to answer.
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
#include "gate/relay/dat.h"
#include "gate/relay/fns.h"
#include "gate/relay/internal.h"

/**
 * crash_fingerprint() - identify a request that a caller may repeat
 * @exchange: the request; its header fields were read
 */
uint64_t
crash_fingerprint(const struct exchange *exchange)
{
    const struct request_meta *meta = &exchange->meta;
    uint64_t hash =
        hash_pair(hash_text(exchange->path), hash_text(meta->item));

    hash =
        hash_pair(hash, hash_bytes(exchange->body->data, exchange->body->len));
    for (int i = 0; i < meta->part_count; i++) {
        hash = hash_pair(hash, meta->parts[i].id);
    }
    return hash;
}

static char *
format_parts(const struct request_meta *meta)
{
    GString *text = g_string_new(NULL);

    for (int i = 0; i < meta->part_count; i++) {
        g_string_append_printf(text, "%s%" G_GINT64_MODIFIER "x",
                               i > 0 ? "," : "", meta->parts[i].id);
    }
    return g_string_free(text, FALSE);
}

static void
log_ended(const struct exchange *exchange, const struct relay_target *target,
          int64_t now_ms)
{
    char *parts = format_parts(&exchange->meta);

    counter_add(CTR_ENDED_UNANSWERED, 1);
    log_line(LOG_PRI_INFO, "relay",
             "event=ended_unanswered id=%s target=%s born_ms=%" G_GINT64_FORMAT
             " since_sent_ms=%" G_GINT64_FORMAT
             " request=%016" G_GINT64_MODIFIER "x parts=%s",
             exchange->meta.attempt_id, target->record.info.id,
             (gint64)target->record.info.started_ms,
             (gint64)(now_ms - exchange->sent_ms), exchange->fingerprint,
             parts);
    g_free(parts);
}

/* Whether the target has begun to answer in this run. The beginning of an
 * answer that is no stream shows only with its body. */
static bool
run_has_begun(const struct exchange *exchange)
{
    return exchange->events.run_id >= 0 || exchange->answer.body->len > 0;
}

/**
 * crash_connection_ended() - handle a connection that a target has ended
 * @relay: the relay
 * @upstream: the connection, still with its request
 * @now_ms: current time
 */
void
crash_connection_ended(struct relay *relay, const struct upstream *upstream,
                       int64_t now_ms)
{
    const struct exchange *exchange =
        table_get(&relay->exchanges, upstream->exchange);
    const struct relay_target *target =
        table_get(&relay->targets, upstream->target);

    if (exchange != NULL && target != NULL && !run_has_begun(exchange)) {
        log_ended(exchange, target, now_ms);
    }
}
