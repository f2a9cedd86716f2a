/**
 * DOC: Decisions about the leaves that this instance owns.
 *
 * Nothing here blocks: records and engines are reached by the order threads,
 * whose results come back as messages. One order at a time is under way for a
 * leaf.
 */
#include <glib.h>
#include <inttypes.h>
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
#include "turmericd/place/fns.h"
#include "turmericd/place/inner/dat.h"
#include "turmericd/place/inner/fns.h"

enum {
    RETRY_MS = 100,
    RETRY_SLOW_MS = 1000,
    FAILED_PAUSE_MS = 2000,
    FAILURES_MAX = 3,
    /* The slot's taker writes its reservation within milliseconds. */
    ORPHAN_MS = 2000,
    /* A report polled before the load ended may come after it. */
    MISSING_MS = 3000,
    SETTLE_REPEAT_MS = 1000,
    /* Membership declares a dead instance within 5 s, so a sender that is
       silent for longer is paused or cut off. */
    SILENT_MS = 10000,
    BASE_REPEAT_MS = 500,
    /* Callers hear why they wait only when it lasts: right after a start no
       engine has been reported yet, and an eviction may make room. */
    NO_ROOM_MS = 2000,
    EVICT_WANTED_MS = 5000,
    /* Wants repeated within this time after an answer mean that the present
       replicas have no room for the callers. */
    MORE_WITHIN_MS = 2000,
    MORE_AFTER_MS = 400,
};

static bool
checks_fence(const struct place *place, const char *path)
{
    const struct node *node;
    char service[PATH_MAX_BYTES];
    char *slash;

    g_strlcpy(service, path, sizeof(service));
    slash = strchr(service + 1, '/');
    if (slash != NULL) {
        *slash = '\0';
    }
    node = place->tree == NULL ? NULL : tree_node(place->tree, service);
    return node != NULL && node->settings.checks_fence;
}

static int64_t
limit_of(const struct node *node)
{
    if (node == NULL || !node->settings.enabled ||
        node->settings.kind != TARGET_ENGINE) {
        return 0;
    }
    return node->settings.replicas_max;
}

static bool
said_settled(const struct leaf *leaf, uint64_t engine,
             const struct sender *sender)
{
    for (int i = 0; i < leaf->settled_count; i++) {
        const struct sender *settled = &leaf->settled[i].sender;

        if (leaf->settled[i].engine == engine &&
            settled->member == sender->member &&
            settled->start == sender->start &&
            settled->fence >= sender->fence) {
            return true;
        }
    }
    return false;
}

/* Called only while no own order is under way for the leaf. */
static bool
sender_settled(struct place *place, const struct leaf *leaf, uint64_t engine,
               const struct sender *sender)
{
    if (sender->member == place->self) {
        return sender->start <= place->start;
    }
    return said_settled(leaf, engine, sender) ||
           !place->port->ops->member_alive(place->port, sender->member,
                                           sender->start);
}

static void
count_senders(struct place *place, const struct leaf *leaf,
              const struct slot_view *view, struct slot_facts *facts)
{
    for (int i = 0; i < view->item.sender_count; i++) {
        if (!sender_settled(place, leaf, view->slot.engine,
                            &view->item.senders[i])) {
            facts->unsettled++;
        }
    }
}

static bool
is_missing(const struct place *place, const struct leaf *leaf,
           const struct engine_view *view)
{
    (void)place;
    return view->seen_ms - leaf->checked_ms >= MISSING_MS &&
           view->report.loaded_count < REPORT_LOADED_MAX &&
           !report_has(view->report.loaded, view->report.loaded_count,
                       leaf->id);
}

static struct slot_facts
facts_of(struct place *place, const struct leaf *leaf,
         const struct slot_view *slot)
{
    const struct engine_view *view = engine_find(place, slot->slot.engine);
    struct slot_facts facts = {
        .engine = engine_fact_of(place, slot->slot.engine),
        .has_item = slot->has_item,
        .state = slot->item.state,
        .checks_fence = checks_fence(place, leaf->path),
        .silent = leaf->silent_ms != 0 &&
                  place->now_ms - leaf->silent_ms >= SILENT_MS,
        .evict = leaf->evict_engine == slot->slot.engine &&
                 place->now_ms < leaf->evict_until_ms,
    };

    facts.orphan =
        !slot->has_item && (slot->slot.by.member == place->self ||
                            place->now_ms - leaf->checked_ms >= ORPHAN_MS);
    count_senders(place, leaf, slot, &facts);
    if (view != NULL) {
        facts.restarted = view->report.incarnation > slot->incarnation;
        facts.missing = is_missing(place, leaf, view);
    }
    return facts;
}

static struct order *
new_order(struct place *place, const struct leaf *leaf, enum order_kind kind)
{
    const struct node *node = leaf_node(place, leaf);
    struct order *order = g_new0(struct order, 1);

    order->kind = kind;
    g_strlcpy(order->path, leaf->path, PATH_MAX_BYTES);
    order->want.leaf = leaf->id;
    order->want.path = order->path;
    order->want.member = place->self;
    order->want.start = place->start;
    order->limit = limit_of(node);
    order->revision = place->tree == NULL ? 0 : tree_revision(place->tree);
    order->checks_fence = checks_fence(place, leaf->path);
    if (node != NULL) {
        order->want.mb = node->settings.memory_mb;
        order->want.base = node->base;
    }
    return order;
}

static bool
push_order(struct place *place, struct leaf *leaf, struct order *order)
{
    struct err err = {0};

    if (!orders_push(&place->orders, order, &err)) {
        refusal_add(err.kind);
        order_free(order);
        leaf->retry_ms = place->now_ms + RETRY_MS;
        return false;
    }
    leaf->busy = true;
    return true;
}

/**
 * leaf_scan() - read the records of a leaf
 * @place: placement
 * @leaf: the leaf
 */
void
leaf_scan(struct place *place, struct leaf *leaf)
{
    push_order(place, leaf, new_order(place, leaf, ORDER_SCAN));
}

static void
push_slot_order(struct place *place, struct leaf *leaf, enum order_kind kind,
                const struct slot_view *slot)
{
    const struct engine_view *view = engine_find(place, slot->slot.engine);
    struct order *order = new_order(place, leaf, kind);

    order->report.id = slot->slot.engine;
    if (view != NULL) {
        order->report = view->report;
    }
    order->gone = engine_fact_of(place, slot->slot.engine) == ENGINE_GONE;
    for (int i = 0; i < slot->item.sender_count; i++) {
        const struct sender *sender = &slot->item.senders[i];

        if (sender_settled(place, leaf, slot->slot.engine, sender)) {
            order->settled[order->settled_count++] = *sender;
        }
    }
    push_order(place, leaf, order);
}

static void
ask_senders(struct place *place, struct leaf *leaf,
            const struct slot_view *slot)
{
    if (place->now_ms - leaf->settle_ms < SETTLE_REPEAT_MS) {
        return;
    }
    leaf->settle_ms = place->now_ms;
    if (leaf->silent_ms == 0) {
        leaf->silent_ms = place->now_ms;
    }
    for (int i = 0; i < slot->item.sender_count; i++) {
        const struct sender *sender = &slot->item.senders[i];

        if (!sender_settled(place, leaf, slot->slot.engine, sender)) {
            send_settle(place, sender, slot->slot.engine, leaf->id);
        }
    }
}

static bool
base_loaded(const struct place *place, const struct node *node)
{
    for (int i = 0; i < place->view_count; i++) {
        const struct target_report *report = &place->views[i]->report;

        if (report->state == TARGET_LIVE &&
            strcmp(report->service, node->service) == 0 &&
            report_has(report->loaded, report->loaded_count, node->base)) {
            return true;
        }
    }
    return false;
}

/* An adapter waits until its model is loaded somewhere. */
static void
want_base(struct place *place, struct leaf *leaf, const struct node *node)
{
    const struct node *base = tree_node_by_id(place->tree, node->base);
    struct leaf *state;

    if (base == NULL || place->now_ms - leaf->base_ms < BASE_REPEAT_MS) {
        return;
    }
    leaf->base_ms = place->now_ms;
    state = leaf_get(place, base->id, base->path);
    if (state->priority < leaf->priority || state->want_ms == 0) {
        state->priority = leaf->priority;
    }
    send_want(place, state, 1);
}

static bool
can_ever_fit(const struct place *place, const struct node *node)
{
    bool any = false;

    for (int i = 0; i < place->view_count; i++) {
        const struct target_report *report = &place->views[i]->report;

        if (strcmp(report->service, node->service) != 0 ||
            report->state == TARGET_GONE) {
            continue;
        }
        any = true;
        if (report->memory_mb >= node->settings.memory_mb) {
            return true;
        }
    }
    return !any;
}

static void
no_room(struct place *place, struct leaf *leaf, const struct node *node,
        const struct choice *choice, const struct err *err)
{
    bool hopeless = !can_ever_fit(place, node);

    turn_end(place, leaf);
    leaf->retry_ms = place->now_ms + RETRY_MS;
    if (err->kind == ERR_NO_TARGET && leaf->skip_count > 0) {
        /* Every engine has failed once; they are tried again. */
        leaf->skip_count = 0;
        return;
    }
    if (err->kind == ERR_MEMORY_FULL) {
        evict_for(place, leaf, choice);
    }
    if (leaf->asker_count > 0 &&
        (hopeless || place->now_ms - leaf->since_ms >= NO_ROOM_MS)) {
        int64_t want_ms = leaf->want_ms;

        /* The callers go on waiting, so the leaf stays wanted. */
        leaf_refuse(place, leaf, err->kind, err->text);
        leaf->want_ms = want_ms;
        leaf->since_ms = place->now_ms;
    }
}

static int
skipped_engines(const struct leaf *leaf, uint64_t *skip, int max)
{
    int count = 0;

    for (int i = 0; i < leaf->view_count && count < max; i++) {
        skip[count++] = leaf->views[i].slot.engine;
    }
    for (int i = 0; i < leaf->skip_count && count < max; i++) {
        skip[count++] = leaf->skip[i];
    }
    return count;
}

static void
push_load(struct place *place, struct leaf *leaf, struct engine_view *view)
{
    struct order *order = new_order(place, leaf, ORDER_LOAD);

    order->report = view->report;
    if (push_order(place, leaf, order)) {
        /* Until the record is read again, the choice for the next leaf must
           know of this one. */
        int64_t used = (int64_t)view->report.memory_mb -
                       engine_free_mb(view, place->now_ms);

        view->reserved_mb = used + order->want.mb;
        view->reserved_ms = place->now_ms;
    }
}

static void
start_load(struct place *place, struct leaf *leaf, const struct node *node)
{
    uint64_t skip[REPLICA_SLOTS_MAX];
    struct err err = {0};
    struct choice choice = {
        .leaf = leaf->id,
        .service = node->service,
        .data_centre = node->data_centre,
        .mb = node->settings.memory_mb,
        .base = node->base,
        .skip = skip,
    };
    int index;

    if (leaf->want_ms == 0) {
        leaf->priority = (int)node->settings.priority;
    }
    if (node->base != 0 && !base_loaded(place, node)) {
        want_base(place, leaf, node);
        return;
    }
    choice.skip_count = skipped_engines(leaf, skip, REPLICA_SLOTS_MAX);
    index = choose_engine(&choice, place->views, place->view_count,
                          place->now_ms, &err);
    if (index < 0) {
        no_room(place, leaf, node, &choice, &err);
        return;
    }
    if (checkpoint_of(&place->views[index]->report, leaf->id) ==
            CHECKPOINT_REMOTE &&
        !leaf->granted) {
        turn_ask(place, leaf);
        return;
    }
    push_load(place, leaf, place->views[index]);
}

static const struct engine_view *
least_loaded(struct place *place, const struct leaf *leaf,
             const struct slot_facts *facts)
{
    const struct engine_view *best = NULL;

    for (int i = 0; i < leaf->view_count; i++) {
        const struct engine_view *view =
            engine_find(place, leaf->views[i].slot.engine);

        if (slot_usable(&facts[i]) &&
            (best == NULL ||
             view->report.running + view->report.waiting <
                 best->report.running + best->report.waiting)) {
            best = view;
        }
    }
    return best;
}

/* Answers those who wait when a replica is loaded. */
static void
answer_usable(struct place *place, struct leaf *leaf,
              const struct slot_facts *facts)
{
    const struct engine_view *view = least_loaded(place, leaf, facts);
    struct placement placement = {.leaf = leaf->id};
    int64_t since_ms = place->now_ms - leaf->answered_ms;

    if (view == NULL) {
        return;
    }
    leaf->moving = false;
    leaf->failures = 0;
    if (leaf->want_ms == 0) {
        return;
    }
    if (leaf->answered_ms != 0 && since_ms >= MORE_AFTER_MS &&
        since_ms <= MORE_WITHIN_MS) {
        leaf->more = true;
    }
    placement.target = view->report.id;
    leaf_answer(place, leaf, &placement);
}

static bool
refuse_unplaceable(struct place *place, struct leaf *leaf,
                   const struct node *node)
{
    if (leaf->want_ms == 0) {
        return false;
    }
    if (node == NULL) {
        leaf_refuse(place, leaf, ERR_UNKNOWN_MODEL, leaf->path);
    }
    else if (!node->settings.enabled) {
        leaf_refuse(place, leaf, ERR_DISABLED, leaf->path);
    }
    else if (limit_of(node) == 0) {
        leaf_refuse(place, leaf, ERR_REPLICAS_FULL, leaf->path);
    }
    else {
        return false;
    }
    return true;
}

static void
take_step(struct place *place, struct leaf *leaf, const struct node *node,
          const struct step *step)
{
    const struct slot_view *slot =
        step->slot < 0 ? NULL : &leaf->views[step->slot];

    switch (step->kind) {
    case STEP_NONE:
        break;
    case STEP_LOAD:
        start_load(place, leaf, node);
        break;
    case STEP_ADOPT:
        push_slot_order(place, leaf, ORDER_ADOPT, slot);
        break;
    case STEP_UNLOAD:
        leaf->moving |=
            node != NULL && slot->item.state == ITEM_LOADED &&
            engine_fact_of(place, slot->slot.engine) == ENGINE_LEAVING &&
            place->now_ms - leaf->used_ms <
                node->settings.idle_unload_s * 1000;
        push_slot_order(place, leaf, ORDER_UNLOAD, slot);
        break;
    case STEP_CLEAR:
        push_slot_order(place, leaf, ORDER_CLEAR, slot);
        break;
    case STEP_SETTLE:
        ask_senders(place, leaf, slot);
        break;
    }
}

static struct leaf_facts
leaf_facts_of(const struct place *place, const struct leaf *leaf,
              const struct node *node)
{
    struct leaf_facts facts = {
        .limit = limit_of(node),
        .wanted = leaf->want_ms != 0,
        .more = leaf->more,
    };

    if (node != NULL) {
        facts.min = node->settings.replicas_min;
        facts.idle = place->now_ms - leaf->used_ms >=
                     node->settings.idle_unload_s * 1000;
        facts.wanted |= leaf->moving && !facts.idle;
    }
    if (facts.min > facts.limit) {
        facts.min = facts.limit;
    }
    return facts;
}

static void
decide_known(struct place *place, struct leaf *leaf)
{
    const struct node *node = leaf_node(place, leaf);
    struct slot_facts *facts =
        g_new0(struct slot_facts, (gsize)leaf->view_count + 1);
    struct leaf_facts about;
    struct step step;
    int unsettled = 0;

    for (int i = 0; i < leaf->view_count; i++) {
        facts[i] = facts_of(place, leaf, &leaf->views[i]);
        unsettled += facts[i].unsettled;
    }
    if (unsettled == 0) {
        leaf->silent_ms = 0;
    }
    if (!refuse_unplaceable(place, leaf, node)) {
        answer_usable(place, leaf, facts);
    }
    if (!place->fresh && leaf->want_ms != 0) {
        leaf_refuse(place, leaf, ERR_CONFIG_STALE,
                    "loads wait until the configuration is confirmed");
    }
    if (place->fresh && place->now_ms >= leaf->retry_ms) {
        about = leaf_facts_of(place, leaf, node);
        step = leaf_step(&about, facts, leaf->view_count);
        take_step(place, leaf, node, &step);
    }
    if (leaf->want_ms == 0 && !leaf->busy && !leaf->moving &&
        (node == NULL || node->settings.replicas_min == 0)) {
        turn_end(place, leaf);
    }
    g_free(facts);
}

/**
 * leaf_decide() - take the next step for a leaf, if this instance owns it
 * @place: placement
 * @leaf: the leaf
 */
void
leaf_decide(struct place *place, struct leaf *leaf)
{
    if (!leaf->owned) {
        return;
    }
    if (!leaf->known && !place->fresh && leaf->want_ms != 0) {
        leaf_refuse(place, leaf, ERR_CONFIG_STALE,
                    "loads wait until the configuration is confirmed");
    }
    if (leaf->busy) {
        return;
    }
    if (leaf->known) {
        decide_known(place, leaf);
    }
    else if (place->now_ms >= leaf->retry_ms) {
        leaf_scan(place, leaf);
    }
}

/**
 * base_ready() - a model is loaded, for which adapters may wait
 * @place: placement
 * @base: id of the model
 */
void
base_ready(struct place *place, uint64_t base)
{
    GPtrArray *list = leaves_list(place);

    for (guint i = 0; i < list->len; i++) {
        struct leaf *leaf = list->pdata[i];
        const struct node *node = leaf_node(place, leaf);

        if (node != NULL && node->base == base && leaf->want_ms != 0) {
            leaf->retry_ms = 0;
            leaf_decide(place, leaf);
        }
    }
    g_ptr_array_unref(list);
}

/**
 * order_loaded() - an engine has confirmed a load; the record comes later
 * @place: placement
 * @id: id of the leaf
 * @engine: id of the engine
 */
void
order_loaded(struct place *place, uint64_t id, uint64_t engine)
{
    struct leaf *leaf = leaf_find(place, id);
    struct placement placement = {.leaf = id, .target = engine};

    engine_add_loaded(place, engine, id);
    if (leaf == NULL) {
        return;
    }
    turn_end(place, leaf);
    leaf->failures = 0;
    leaf->skip_count = 0;
    leaf->moving = false;
    leaf->more = false;
    leaf->used_ms = place->now_ms;
    leaf_answer(place, leaf, &placement);
    base_ready(place, id);
}

static void
take_views(struct place *place, struct leaf *leaf, struct order *order)
{
    struct engine_view *view = engine_find(place, order->report.id);

    leaf->known = order->read;
    if (order->read) {
        g_free(leaf->views);
        leaf->views = order->views;
        leaf->view_count = order->view_count;
        leaf->checked_ms = place->now_ms;
        order->views = NULL;
    }
    if (view != NULL && order->reserved_mb >= 0) {
        view->reserved_mb = order->reserved_mb;
        view->reserved_ms = place->now_ms;
    }
}

static void
log_failure(const struct order *order)
{
    static const char *const names[] = {"scan",   "load",  "adopt",
                                        "unload", "clear", "sweep"};

    log_line(LOG_PRI_WARNING, "place",
             "event=order_failed order=%s leaf=%s engine=%s error=%s "
             "detail=\"%s\"",
             names[order->kind], order->path, order->report.name,
             err_info(order->err.kind)->name, order->err.text);
}

static void
skip_engine(struct leaf *leaf, uint64_t engine)
{
    if (leaf->skip_count == LEAF_SKIP_MAX) {
        leaf->skip_count = 0;
    }
    leaf->skip[leaf->skip_count++] = engine;
}

static void
load_failed(struct place *place, struct leaf *leaf, const struct order *order)
{
    leaf->failures++;
    skip_engine(leaf, order->report.id);
    if (leaf->failures >= FAILURES_MAX) {
        leaf_refuse(place, leaf, ERR_LOAD_FAILED, order->err.text);
        leaf->failures = 0;
        leaf->skip_count = 0;
        leaf->retry_ms = place->now_ms + FAILED_PAUSE_MS;
    }
}

static bool
is_load(const struct order *order)
{
    return order->kind == ORDER_LOAD || order->kind == ORDER_ADOPT;
}

static void
order_failed(struct place *place, struct leaf *leaf, const struct order *order)
{
    leaf->retry_ms = place->now_ms + RETRY_MS;
    switch (order->err.kind) {
    case ERR_NO_TARGET:
        /* The report shows the model of an adapter, the record does not. */
        if (order->want.base != 0 && leaf_node(place, leaf) != NULL) {
            want_base(place, leaf, leaf_node(place, leaf));
        }
        break;
    case ERR_KV_CONFLICT:
        /* An unload refused for adapters in use: the model is in use too. */
        if (order->kind == ORDER_UNLOAD && leaf->evict_engine == 0) {
            leaf->used_ms = place->now_ms;
        }
        break;
    case ERR_MEMORY_FULL:
    case ERR_FENCE_OLD:
    case ERR_REPLICAS_FULL:
        break;
    case ERR_LOAD_FAILED:
    case ERR_IO:
    case ERR_TIMEOUT:
        log_failure(order);
        if (is_load(order)) {
            load_failed(place, leaf, order);
        }
        else {
            leaf->retry_ms = place->now_ms + RETRY_SLOW_MS;
        }
        break;
    case ERR_CONFIG_STALE:
        leaf_refuse(place, leaf, ERR_CONFIG_STALE, order->err.text);
        break;
    case ERR_KV_DOWN:
        leaf->retry_ms = place->now_ms + RETRY_SLOW_MS;
        break;
    default:
        log_failure(order);
        leaf->retry_ms = place->now_ms + RETRY_SLOW_MS;
        break;
    }
}

static void
note_store(struct place *place, const struct order *order)
{
    bool down = order->err.kind == ERR_KV_DOWN;

    if (down != place->store_down && (down || order->read)) {
        place->store_down = down;
        log_line(LOG_PRI_WARNING, "place", "event=%s detail=\"%s\"",
                 down ? "records_unavailable" : "records_available",
                 order->err.text);
    }
}

static void
order_succeeded(struct place *place, struct leaf *leaf,
                const struct order *order)
{
    leaf->retry_ms = 0;
    if (order->kind != ORDER_UNLOAD) {
        return;
    }
    engine_drop_loaded(place, order->report.id, leaf->id);
    if (leaf->evict_engine == order->report.id) {
        leaf->evict_engine = 0;
    }
    leaf->settled_count = 0;
}

/**
 * decide_waiting() - room may have been made for leaves that fitted nowhere
 * @place: placement
 */
void
decide_waiting(struct place *place)
{
    GPtrArray *list = leaves_list(place);

    for (guint i = 0; i < list->len; i++) {
        struct leaf *leaf = list->pdata[i];

        if (leaf->owned && !leaf->busy && leaf->want_ms != 0) {
            leaf->retry_ms = 0;
            leaf_decide(place, leaf);
        }
    }
    g_ptr_array_unref(list);
}

static void
sweep_done(struct place *place, const struct order *order)
{
    place->sweeping = false;
    if (order->err.kind != ERR_NONE) {
        return;
    }
    g_strlcpy(place->sweep, order->from, sizeof(place->sweep));
    for (int i = 0; i < order->swept_count; i++) {
        const struct swept *swept = &order->swept[i];

        if (place->port->ops->owner(place->port, swept->leaf) == place->self) {
            struct leaf *leaf = leaf_get(place, swept->leaf, swept->path);

            leaf->owned = true;
            leaf_decide(place, leaf);
        }
    }
}

/**
 * order_done() - an order has ended
 * @place: placement
 * @order: released
 */
void
order_done(struct place *place, struct order *order)
{
    struct leaf *leaf = leaf_find(place, order->want.leaf);

    if (order->kind == ORDER_SWEEP) {
        sweep_done(place, order);
    }
    else if (leaf != NULL) {
        leaf->busy = false;
        note_store(place, order);
        take_views(place, leaf, order);
        if (is_load(order)) {
            turn_end(place, leaf);
        }
        if (order->err.kind == ERR_NONE) {
            order_succeeded(place, leaf, order);
        }
        else {
            order_failed(place, leaf, order);
        }
        leaf_decide(place, leaf);
        if (order->kind == ORDER_UNLOAD) {
            decide_waiting(place);
        }
    }
    order_free(order);
}

static bool
has_slot(const struct leaf *leaf, uint64_t engine)
{
    for (int i = 0; i < leaf->view_count; i++) {
        if (leaf->views[i].slot.engine == engine) {
            return true;
        }
    }
    return false;
}

/**
 * leaf_stray() - an engine reports a leaf that may have no slot there
 * @place: placement
 * @leaf: the leaf
 * @engine: the engine
 *
 * The records are read again first, as another member may have loaded it. A
 * leaf without a slot that is still reported after that is unloaded.
 */
void
leaf_stray(struct place *place, struct leaf *leaf,
           const struct engine_view *engine)
{
    struct order *order;
    uint64_t id = engine->report.id;

    if (!leaf->owned || !leaf->known || leaf->busy || !place->fresh ||
        place->now_ms - leaf->checked_ms < MISSING_MS || has_slot(leaf, id)) {
        return;
    }
    if (leaf->stray_engine != id) {
        leaf->stray_engine = id;
        leaf_scan(place, leaf);
        return;
    }
    leaf->stray_engine = 0;
    order = new_order(place, leaf, ORDER_UNLOAD);
    order->report = engine->report;
    order->stray = true;
    log_line(LOG_PRI_WARNING, "place", "event=stray_replica leaf=%s engine=%s",
             leaf->path, engine->report.name);
    push_order(place, leaf, order);
}

/**
 * leaf_evict() - unload a leaf from an engine if it is idle
 * @place: placement
 * @id: id of the leaf
 * @engine: id of the engine
 */
void
leaf_evict(struct place *place, uint64_t id, uint64_t engine)
{
    struct leaf *leaf = leaf_find(place, id);
    const struct engine_view *view = engine_find(place, engine);
    const struct node *node = leaf == NULL ? NULL : leaf_node(place, leaf);

    if (leaf == NULL || view == NULL || node == NULL || !leaf->owned ||
        leaf_fixed(place, leaf, view, node)) {
        return;
    }
    leaf->evict_engine = engine;
    leaf->evict_until_ms = place->now_ms + EVICT_WANTED_MS;
    leaf->retry_ms = 0;
    if (!has_slot(leaf, engine)) {
        leaf->known = false;
    }
    leaf_decide(place, leaf);
}

/**
 * place_sweep() - read the next page of replica records
 * @place: placement
 *
 * Finds records of leaves that were removed from the tree while their owner
 * was away.
 */
void
place_sweep(struct place *place)
{
    struct order *order;
    struct err err = {0};

    if (place->sweeping) {
        return;
    }
    order = g_new0(struct order, 1);
    order->kind = ORDER_SWEEP;
    g_strlcpy(order->from,
              place->sweep[0] != '\0' ? place->sweep : "/turmeric/replicas/",
              sizeof(order->from));
    if (!orders_push(&place->orders, order, &err)) {
        order_free(order);
        return;
    }
    place->sweeping = true;
    place->sweep_ms = place->now_ms;
}
