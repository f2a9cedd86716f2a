/**
 * DOC: Encoding and decoding of the messages between instances.
 */
#include <glib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "turmericd/fleet/peer/dat.h"
#include "turmericd/fleet/peer/fns.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/view/fns.h"
#include "gate/follow/dat.h"
#include "gate/relay/dat.h"
#include "gate/relay/fns.h"
#include "gate/peers/dat.h"
#include "gate/peers/fns.h"

static void
encode_item(Turmeric__GateItem *out, const struct item_activity *item)
{
    turmeric__gate_item__init(out);
    out->name = (char *)g_quark_to_string(item->item);
    out->arrived = (uint32_t)item->arrived;
    out->waiting = (uint32_t)item->waiting;
    out->running = (uint32_t)item->running;
    out->oldest_ms = (uint32_t)item->oldest_wait_ms;
}

static void
encode_target(Turmeric__GateTarget *out, const struct target_activity *target)
{
    turmeric__gate_target__init(out);
    out->id = target->target_hash;
    out->running = (uint32_t)target->running;
    out->pauses = (uint32_t)target->interval_count;
    out->pause_ms = (uint32_t)target->interval_sum_ms;
    out->tokens = (uint32_t)target->tokens;
}

static bool
send_envelope(struct peer *peer, uint64_t member, Turmeric__GateActivity *body,
              const struct target_activity *targets, int target_count,
              struct err *err)
{
    Turmeric__Envelope envelope = TURMERIC__ENVELOPE__INIT;
    Turmeric__GateTarget *out = g_new(Turmeric__GateTarget, target_count);
    Turmeric__GateTarget **list = g_new(Turmeric__GateTarget *, target_count);
    bool sent;

    for (int i = 0; i < target_count; i++) {
        encode_target(&out[i], &targets[i]);
        list[i] = &out[i];
    }
    body->n_targets = (size_t)target_count;
    body->targets = list;
    envelope.body_case = TURMERIC__ENVELOPE__BODY_GATE_ACTIVITY;
    envelope.gate_activity = body;
    sent = peer_send(peer, member, &envelope, err);
    g_free(out);
    g_free(list);
    return sent;
}

/**
 * peers_send_activity() - send an activity report of this instance
 * @peer: duty that sends the message
 * @member: id of the recipient
 * @activity: requests of this instance
 * @err: set on failure
 *
 * Return: false when the message can't be queued.
 */
bool
peers_send_activity(struct peer *peer, uint64_t member,
                    const struct activity_report *activity, struct err *err)
{
    Turmeric__GateActivity body = TURMERIC__GATE_ACTIVITY__INIT;
    Turmeric__GateItem *items =
        g_new(Turmeric__GateItem, activity->item_count);
    Turmeric__GateItem **list =
        g_new(Turmeric__GateItem *, activity->item_count);
    bool sent;

    for (int i = 0; i < activity->item_count; i++) {
        encode_item(&items[i], &activity->items[i]);
        list[i] = &items[i];
    }
    body.stopping = activity->stopping;
    body.n_items = (size_t)activity->item_count;
    body.items = list;
    sent = send_envelope(peer, member, &body, activity->targets,
                         activity->target_count, err);
    g_free(items);
    g_free(list);
    return sent;
}

/**
 * peers_send_total() - send the activity total of all instances
 * @peer: duty that sends the message
 * @member: id of the recipient
 * @total: report whose totals and instance count are sent
 * @fence: fencing token of this instance's term
 * @err: set on failure
 *
 * Return: false when the message can't be queued.
 */
bool
peers_send_total(struct peer *peer, uint64_t member,
                 const struct activity_report *total, int64_t fence,
                 struct err *err)
{
    Turmeric__GateActivity body = TURMERIC__GATE_ACTIVITY__INIT;

    body.sum_fence = fence;
    body.instances = (uint32_t)total->instance_count;
    return send_envelope(peer, member, &body, total->totals,
                         total->total_count, err);
}

/**
 * peers_send_holdings() - send the items that an engine holds
 * @peer: duty that sends the message
 * @member: id of the recipient
 * @holdings: the engine and its items
 * @err: set on failure
 *
 * Return: false when the message can't be queued.
 */
bool
peers_send_holdings(struct peer *peer, uint64_t member,
                    const struct holdings *holdings, struct err *err)
{
    Turmeric__Envelope envelope = TURMERIC__ENVELOPE__INIT;
    Turmeric__GateHoldings body = TURMERIC__GATE_HOLDINGS__INIT;
    char *names[TARGET_ITEMS_MAX];

    for (int i = 0; i < holdings->held.count; i++) {
        names[i] = (char *)g_quark_to_string(holdings->held.ids[i]);
    }
    body.target = (char *)holdings->target;
    body.born_ms = holdings->started_ms;
    body.sequence = holdings->sequence;
    body.store_loads = (uint32_t)holdings->store_loads_max;
    body.n_held = (size_t)holdings->held.count;
    body.held = names;
    envelope.body_case = TURMERIC__ENVELOPE__BODY_GATE_HOLDINGS;
    envelope.gate_holdings = &body;
    return peer_send(peer, member, &envelope, err);
}

/* Returns false for a name that is missing from this instance's
 * configuration. */
static bool
decode_item(const Turmeric__GateItem *in, struct item_activity *item)
{
    item->item = g_quark_try_string(in->name);
    item->arrived = (int)in->arrived;
    item->waiting = (int)in->waiting;
    item->running = (int)in->running;
    item->oldest_wait_ms = in->oldest_ms;
    return item->item != 0;
}

static struct target_activity *
decode_targets(const Turmeric__GateActivity *body)
{
    struct target_activity *targets =
        g_new0(struct target_activity, body->n_targets);

    for (size_t i = 0; i < body->n_targets; i++) {
        targets[i].target_hash = body->targets[i]->id;
        targets[i].running = (int)body->targets[i]->running;
        targets[i].interval_count = (int)body->targets[i]->pauses;
        targets[i].interval_sum_ms = body->targets[i]->pause_ms;
        targets[i].tokens = body->targets[i]->tokens;
    }
    return targets;
}

/**
 * peers_decode_activity() - decode an activity report
 * @envelope: message with a gate_activity; borrowed
 *
 * Return: requests of the sender, to be released with activity_report_free();
 * names that are missing from the configuration are left out.
 */
struct activity_report *
peers_decode_activity(const Turmeric__Envelope *envelope)
{
    const Turmeric__GateActivity *body = envelope->gate_activity;
    struct activity_report *activity = activity_report_new(envelope->from);

    activity->items = g_new0(struct item_activity, body->n_items);
    for (size_t i = 0; i < body->n_items; i++) {
        if (decode_item(body->items[i],
                        &activity->items[activity->item_count])) {
            activity->item_count++;
        }
    }
    activity->stopping = body->stopping;
    activity->targets = decode_targets(body);
    activity->target_count = (int)body->n_targets;
    return activity;
}

/**
 * peers_decode_total() - decode an activity total
 * @envelope: message with a gate_activity that has a fencing token; borrowed
 *
 * Return: the total, to be released with activity_report_free().
 */
struct activity_report *
peers_decode_total(const Turmeric__Envelope *envelope)
{
    const Turmeric__GateActivity *body = envelope->gate_activity;
    struct activity_report *total = activity_report_new(envelope->from);

    total->totals = decode_targets(body);
    total->total_count = (int)body->n_targets;
    total->instance_count = (int)body->instances;
    return total;
}

/**
 * peers_decode_holdings() - decode the items that an engine holds
 * @envelope: message with a gate_holdings; borrowed
 *
 * Return: the engine and its known items, to be released with g_free().
 */
struct holdings *
peers_decode_holdings(const Turmeric__Envelope *envelope)
{
    const Turmeric__GateHoldings *body = envelope->gate_holdings;
    struct holdings *holdings = g_new0(struct holdings, 1);

    g_strlcpy(holdings->target, body->target, sizeof(holdings->target));
    holdings->started_ms = body->born_ms;
    holdings->sequence = body->sequence;
    holdings->store_loads_max = (int)body->store_loads;
    for (size_t i = 0; i < body->n_held; i++) {
        uint32_t item = g_quark_try_string(body->held[i]);

        if (item != 0) {
            item_set_add(&holdings->held, item);
        }
    }
    return holdings;
}

/**
 * peers_send_forecast() - send a load forecast
 * @peer: duty that sends the message
 * @member: id of the recipient
 * @forecast: the forecast of each item
 * @err: set on failure
 *
 * Return: false when the message can't be queued.
 */
bool
peers_send_forecast(struct peer *peer, uint64_t member,
                    const struct load_forecast *forecast, struct err *err)
{
    Turmeric__Envelope envelope = TURMERIC__ENVELOPE__INIT;
    Turmeric__GateOutlook body = TURMERIC__GATE_OUTLOOK__INIT;
    Turmeric__GateForecast *items =
        g_new(Turmeric__GateForecast, forecast->count);
    Turmeric__GateForecast **list =
        g_new(Turmeric__GateForecast *, forecast->count);
    bool sent;

    for (int i = 0; i < forecast->count; i++) {
        turmeric__gate_forecast__init(&items[i]);
        items[i].name = (char *)g_quark_to_string(forecast->items[i].item);
        items[i].coming = forecast->items[i].expected;
        items[i].ready_ms = (uint32_t)MAX(forecast->items[i].ready_ms, 0);
        list[i] = &items[i];
    }
    body.n_items = (size_t)forecast->count;
    body.items = list;
    envelope.body_case = TURMERIC__ENVELOPE__BODY_GATE_OUTLOOK;
    envelope.gate_outlook = &body;
    sent = peer_send(peer, member, &envelope, err);
    g_free(items);
    g_free(list);
    return sent;
}

/**
 * peers_decode_forecast() - decode a load forecast
 * @envelope: message with a gate_outlook; borrowed
 *
 * Return: the forecast, to be released with load_forecast_free().
 */
struct load_forecast *
peers_decode_forecast(const Turmeric__Envelope *envelope)
{
    const Turmeric__GateOutlook *body = envelope->gate_outlook;
    struct load_forecast *forecast = load_forecast_new((int)body->n_items);

    forecast->count = 0;
    for (size_t i = 0; i < body->n_items; i++) {
        struct item_forecast *item = &forecast->items[forecast->count];

        item->item = g_quark_try_string(body->items[i]->name);
        item->expected = body->items[i]->coming;
        item->ready_ms = body->items[i]->ready_ms;
        forecast->count += item->item != 0 ? 1 : 0;
    }
    return forecast;
}

/**
 * peers_send_ask() - ask whether the configuration is the newest
 * @peer: duty that sends the message
 * @member: id of the recipient
 * @sent_ms: current time by clock_boot_ms()
 * @err: set on failure
 *
 * Return: false when the message can't be queued.
 */
bool
peers_send_ask(struct peer *peer, uint64_t member, int64_t sent_ms,
               struct err *err)
{
    Turmeric__Envelope envelope = TURMERIC__ENVELOPE__INIT;
    Turmeric__GateFreshAsk body = TURMERIC__GATE_FRESH_ASK__INIT;

    body.sent_ms = sent_ms;
    envelope.body_case = TURMERIC__ENVELOPE__BODY_GATE_FRESH_ASK;
    envelope.gate_fresh_ask = &body;
    return peer_send(peer, member, &envelope, err);
}

/**
 * peers_decode_ask() - decode a question whether the configuration is the
 * newest
 * @envelope: message with a gate_fresh_ask; borrowed
 */
struct fresh_ask
peers_decode_ask(const Turmeric__Envelope *envelope)
{
    struct fresh_ask ask = {.member = envelope->from,
                            .sent_ms = envelope->gate_fresh_ask->sent_ms};

    return ask;
}

static void
encode_change(Turmeric__GateChange *out, const struct store_item *item)
{
    turmeric__gate_change__init(out);
    out->key = item->key;
    out->revision = item->revision;
    out->create_revision = item->create_revision;
    out->deleted = item->value == NULL;
    out->value.data = (uint8_t *)item->value;
    out->value.len = item->value != NULL ? item->value_bytes : 0;
}

static void
encode_answer(Turmeric__GateFreshAnswer *out, const struct fresh_ask *ask)
{
    turmeric__gate_fresh_answer__init(out);
    out->member = ask->member;
    out->sent_ms = ask->sent_ms;
}

/**
 * peers_send_changes() - pass on changes of the store
 * @peer: duty that sends the message
 * @member: id of the recipient
 * @changes: the changes
 * @err: set on failure
 *
 * Return: false when the message can't be queued, or is too long for one.
 */
bool
peers_send_changes(struct peer *peer, uint64_t member,
                   const struct store_changes *changes, struct err *err)
{
    Turmeric__Envelope envelope = TURMERIC__ENVELOPE__INIT;
    Turmeric__GateChanges body = TURMERIC__GATE_CHANGES__INIT;
    Turmeric__GateChange *items =
        g_new(Turmeric__GateChange, changes->items.count);
    Turmeric__GateChange **list =
        g_new(Turmeric__GateChange *, changes->items.count);
    size_t answer_count = changes->fresh != NULL ? changes->fresh->len : 0;
    Turmeric__GateFreshAnswer *answers =
        g_new(Turmeric__GateFreshAnswer, answer_count);
    Turmeric__GateFreshAnswer **answer_list =
        g_new(Turmeric__GateFreshAnswer *, answer_count);
    bool sent;

    for (int i = 0; i < changes->items.count; i++) {
        encode_change(&items[i], &changes->items.items[i]);
        list[i] = &items[i];
    }
    for (size_t i = 0; i < answer_count; i++) {
        encode_answer(&answers[i],
                      &g_array_index(changes->fresh, struct fresh_ask, i));
        answer_list[i] = &answers[i];
    }
    body.n_fresh = answer_count;
    body.fresh = answer_list;
    body.era = changes->era;
    body.config_version = changes->config_version;
    body.after = changes->after;
    body.revision = changes->items.revision;
    body.n_items = (size_t)changes->items.count;
    body.items = list;
    envelope.body_case = TURMERIC__ENVELOPE__BODY_GATE_CHANGES;
    envelope.gate_changes = &body;
    sent = peer_send(peer, member, &envelope, err);
    g_free(items);
    g_free(list);
    g_free(answers);
    g_free(answer_list);
    return sent;
}

static void
decode_change(const Turmeric__GateChange *in, struct store_item *item)
{
    item->key = g_strdup(in->key);
    item->revision = in->revision;
    item->create_revision = in->create_revision;
    if (!in->deleted) {
        item->value = g_malloc(in->value.len + 1);
        if (in->value.len > 0) {
            memcpy(item->value, in->value.data, in->value.len);
        }
        item->value[in->value.len] = '\0';
        item->value_bytes = in->value.len;
    }
}

static GArray *
decode_answers(const Turmeric__GateChanges *body)
{
    GArray *answers = g_array_new(FALSE, FALSE, sizeof(struct fresh_ask));

    for (size_t i = 0; i < body->n_fresh; i++) {
        struct fresh_ask ask = {.member = body->fresh[i]->member,
                                .sent_ms = body->fresh[i]->sent_ms};

        g_array_append_val(answers, ask);
    }
    return answers;
}

/**
 * peers_decode_changes() - decode changes of the store
 * @envelope: message with gate_changes; borrowed
 *
 * Return: the changes, to be released with store_changes_free().
 */
struct store_changes *
peers_decode_changes(const Turmeric__Envelope *envelope)
{
    const Turmeric__GateChanges *body = envelope->gate_changes;
    struct store_changes *changes = g_new0(struct store_changes, 1);

    changes->from = envelope->from;
    changes->after = body->after;
    changes->era = body->era;
    changes->config_version = body->config_version;
    changes->fresh = decode_answers(body);
    changes->items.revision = body->revision;
    changes->items.items = g_new0(struct store_item, body->n_items + 1);
    for (size_t i = 0; i < body->n_items; i++) {
        decode_change(body->items[i], &changes->items.items[i]);
        changes->items.count++;
    }
    return changes;
}

/**
 * peers_send_contact_ask() - ask an instance whether the store answers it
 * @peer: duty that sends the message
 * @member: id of the recipient
 * @now_ms: current time
 * @err: set on failure
 *
 * Return: false when the message can't be queued.
 */
bool
peers_send_contact_ask(struct peer *peer, uint64_t member, int64_t now_ms,
                       struct err *err)
{
    Turmeric__Envelope envelope = TURMERIC__ENVELOPE__INIT;
    Turmeric__GateContactAsk body = TURMERIC__GATE_CONTACT_ASK__INIT;

    body.sent_ms = now_ms;
    envelope.body_case = TURMERIC__ENVELOPE__BODY_GATE_CONTACT_ASK;
    envelope.gate_contact_ask = &body;
    return peer_send(peer, member, &envelope, err);
}

/**
 * peers_encode_contact() - encode when the store has answered this instance
 * @ask: the ask that this answers
 * @contact: the times
 * @now_ms: current time
 * @body: filled in
 *
 * Clocks of instances differ, so ages are sent.
 */
void
peers_encode_contact(const Turmeric__GateContactAsk *ask,
                     const struct store_contact *contact, int64_t now_ms,
                     Turmeric__GateContact *body)
{
    turmeric__gate_contact__init(body);
    body->sent_ms = ask->sent_ms;
    body->age_ms = (uint32_t)CLAMP(now_ms - contact->heard_ms, 0, G_MAXINT32);
    body->steady_ms =
        (uint32_t)CLAMP(contact->heard_ms - contact->since_ms, 0, G_MAXINT32);
}

/**
 * peers_send_contact() - tell an instance when the store has answered this one
 * @peer: duty that sends the message
 * @member: id of the recipient
 * @body: the encoded times
 * @err: set on failure
 *
 * Return: false when the message can't be queued.
 */
bool
peers_send_contact(struct peer *peer, uint64_t member,
                   Turmeric__GateContact *body, struct err *err)
{
    Turmeric__Envelope envelope = TURMERIC__ENVELOPE__INIT;

    envelope.body_case = TURMERIC__ENVELOPE__BODY_GATE_CONTACT;
    envelope.gate_contact = body;
    return peer_send(peer, member, &envelope, err);
}

/**
 * peers_decode_contact() - decode when the store has answered an instance
 * @body: the message
 * @now_ms: current time
 *
 * It was sent at some time between the ask and now, and may have been delayed:
 * the times are those that are sure.
 *
 * Return: all 0 when the ask was not sent by this process, or nothing is sure.
 */
struct store_contact
peers_decode_contact(const Turmeric__GateContact *body, int64_t now_ms)
{
    struct store_contact contact = {
        .since_ms = now_ms - body->age_ms - body->steady_ms,
        .heard_ms = body->sent_ms - body->age_ms,
    };

    if (body->sent_ms <= 0 || body->sent_ms > now_ms ||
        contact.heard_ms < contact.since_ms) {
        return (struct store_contact){0};
    }
    return contact;
}
