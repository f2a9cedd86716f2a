/**
 * DOC: Choice of an engine for a leaf, and of leaves to evict for it.
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

/* A record read longer ago is likely to have been changed by others. */
enum { RESERVED_KNOWN_MS = 10000 };

/**
 * report_has() - whether a list of ids names a leaf
 * @ids: ids
 * @count: how many
 * @leaf: id of the leaf
 */
bool
report_has(const uint64_t *ids, int count, uint64_t leaf)
{
    for (int i = 0; i < count; i++) {
        if (ids[i] == leaf) {
            return true;
        }
    }
    return false;
}

/**
 * checkpoint_of() - where an engine would load a leaf from
 * @report: the engine's report
 * @leaf: id of the leaf
 */
enum checkpoint
checkpoint_of(const struct target_report *report, uint64_t leaf)
{
    if (report_has(report->cached_memory, report->cached_memory_count, leaf)) {
        return CHECKPOINT_MEMORY;
    }
    if (report_has(report->cached_disk, report->cached_disk_count, leaf)) {
        return CHECKPOINT_DISK;
    }
    return CHECKPOINT_REMOTE;
}

/**
 * engine_free_mb() - memory that is probably free
 * @view: the engine
 * @now_ms: present time
 */
int64_t
engine_free_mb(const struct engine_view *view, int64_t now_ms)
{
    int64_t used = view->report.used_mb;

    if (view->reserved_mb > used &&
        now_ms - view->reserved_ms <= RESERVED_KNOWN_MS) {
        used = view->reserved_mb;
    }
    return (int64_t)view->report.memory_mb - used;
}

static bool
eligible(const struct choice *choice, const struct engine_view *view)
{
    const struct target_report *report = &view->report;

    if (report->kind != TARGET_ENGINE || report->state != TARGET_LIVE ||
        strcmp(report->service, choice->service) != 0) {
        return false;
    }
    if (choice->data_centre[0] != '\0' &&
        strcmp(report->data_centre, choice->data_centre) != 0) {
        return false;
    }
    if (choice->base != 0 &&
        !report_has(report->loaded, report->loaded_count, choice->base)) {
        return false;
    }
    return !report_has(choice->skip, choice->skip_count, report->id);
}

/* Differences are decided in this order; the first that is not 0 counts. */
static bool
better(const struct choice *choice, const struct engine_view *a,
       const struct engine_view *b, int64_t now_ms)
{
    const int64_t differences[] = {
        (int64_t)checkpoint_of(&b->report, choice->leaf) -
            (int64_t)checkpoint_of(&a->report, choice->leaf),
        engine_free_mb(a, now_ms) - engine_free_mb(b, now_ms),
        (int64_t)b->report.loaded_count - a->report.loaded_count,
        (int64_t)b->report.running - a->report.running,
    };

    for (size_t i = 0; i < sizeof(differences) / sizeof(differences[0]); i++) {
        if (differences[i] != 0) {
            return differences[i] > 0;
        }
    }
    return hash_pair(choice->leaf, a->report.id) >
           hash_pair(choice->leaf, b->report.id);
}

/**
 * choose_engine() - engine to load a leaf on
 * @choice: the leaf
 * @views: engines
 * @count: how many
 * @now_ms: present time
 * @err: filled in on failure
 *
 * Prefers the nearest checkpoint, then the most free memory, then the fewest
 * loaded leaves and running requests.
 *
 * Return: index of the engine; -1 with ERR_NO_TARGET when there is no engine,
 * with ERR_MEMORY_FULL when the leaf fits on none.
 */
int
choose_engine(const struct choice *choice, struct engine_view *const *views,
              int count, int64_t now_ms, struct err *err)
{
    int best = -1;
    bool any = false;

    for (int i = 0; i < count; i++) {
        if (!eligible(choice, views[i])) {
            continue;
        }
        any = true;
        if (engine_free_mb(views[i], now_ms) >= choice->mb &&
            (best < 0 || better(choice, views[i], views[best], now_ms))) {
            best = i;
        }
    }
    if (best < 0 && any) {
        err_set(err, ERR_MEMORY_FULL, "no engine has %lld MB free",
                (long long)choice->mb);
    }
    else if (best < 0) {
        err_set(err, ERR_NO_TARGET, "no live engine of %s%s%s can load it",
                choice->service, choice->data_centre[0] != '\0' ? " in " : "",
                choice->data_centre);
    }
    return best;
}

/* Adapters on the engine that must go before the model. */
static bool
adapters_may_go(const struct resident *base, const struct resident *residents,
                int count)
{
    for (int i = 0; i < count; i++) {
        if (residents[i].engine == base->engine &&
            residents[i].base == base->leaf && residents[i].fixed) {
            return false;
        }
    }
    return true;
}

static bool
overdue(const struct resident *resident)
{
    return resident->idle_ms >= resident->idle_unload_ms;
}

static bool
goes_before(const struct resident *a, const struct resident *b)
{
    if (overdue(a) != overdue(b)) {
        return overdue(a);
    }
    if (!overdue(a) && a->priority != b->priority) {
        return a->priority < b->priority;
    }
    return a->idle_ms > b->idle_ms;
}

static bool
taken(const struct eviction *eviction, uint64_t leaf)
{
    return report_has(eviction->leaves, eviction->count, leaf);
}

static const struct resident *
next_to_go(const struct choice *choice, const struct eviction *eviction,
           const struct resident *residents, int count)
{
    const struct resident *best = NULL;

    for (int i = 0; i < count; i++) {
        const struct resident *resident = &residents[i];

        if (resident->engine != eviction->engine || resident->fixed ||
            resident->leaf == choice->base ||
            taken(eviction, resident->leaf) ||
            !adapters_may_go(resident, residents, count)) {
            continue;
        }
        if (best == NULL || goes_before(resident, best)) {
            best = resident;
        }
    }
    return best;
}

/* Returns the memory freed, or -1 when the list is full. */
static int64_t
take(struct eviction *eviction, const struct resident *resident,
     const struct resident *residents, int count)
{
    int64_t freed = resident->mb;

    for (int i = 0; i < count; i++) {
        if (residents[i].engine != resident->engine ||
            residents[i].base != resident->leaf ||
            taken(eviction, residents[i].leaf)) {
            continue;
        }
        if (eviction->count == EVICT_MAX) {
            return -1;
        }
        eviction->leaves[eviction->count++] = residents[i].leaf;
        freed += residents[i].mb;
    }
    if (eviction->count == EVICT_MAX) {
        return -1;
    }
    eviction->leaves[eviction->count++] = resident->leaf;
    return freed;
}

/*
 * Fills in what goes from one engine. Returns the cost: the highest priority
 * of a leaf that is not overdue, then the number of leaves; -1 when too little
 * can be freed.
 */
static int
evict_from(const struct choice *choice, const struct engine_view *view,
           const struct resident *residents, int count, int64_t now_ms,
           struct eviction *eviction)
{
    int64_t need = choice->mb - engine_free_mb(view, now_ms);
    int priority = -1;

    memset(eviction, 0, sizeof(*eviction));
    eviction->engine = view->report.id;
    while (need > 0) {
        const struct resident *resident =
            next_to_go(choice, eviction, residents, count);
        int64_t freed = -1;

        if (resident != NULL) {
            freed = take(eviction, resident, residents, count);
        }
        if (freed < 0) {
            return -1;
        }
        if (!overdue(resident) && resident->priority > priority) {
            priority = resident->priority;
        }
        need -= freed;
    }
    return (priority + 1) * (EVICT_MAX + 1) + eviction->count;
}

/**
 * choose_eviction() - leaves to unload when a leaf fits nowhere
 * @choice: the leaf
 * @views: engines
 * @count: how many
 * @residents: loaded leaves
 * @resident_count: how many
 * @now_ms: present time
 * @eviction: filled in
 *
 * Leaves idle for longer than idle_unload_s go first, then idle ones with the
 * lowest priority. A model goes only with its adapters.
 *
 * Return: false when evicting what may go would not make enough room.
 */
bool
choose_eviction(const struct choice *choice, struct engine_view *const *views,
                int count, const struct resident *residents,
                int resident_count, int64_t now_ms, struct eviction *eviction)
{
    struct eviction attempt;
    int best = -1;

    for (int i = 0; i < count; i++) {
        int cost;

        if (!eligible(choice, views[i])) {
            continue;
        }
        cost = evict_from(choice, views[i], residents, resident_count, now_ms,
                          &attempt);
        if (cost >= 0 && (best < 0 || cost < best)) {
            best = cost;
            *eviction = attempt;
        }
    }
    return best >= 0;
}
