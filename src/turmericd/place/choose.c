/**
 * DOC: Selection of an engine for a leaf, and of leaves to evict for it.
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

/* An older record has probably been changed by other members. */
enum { RESERVED_VALID_MS = 10000 };

/**
 * report_has() - whether a list of ids contains a leaf
 * @ids: ids
 * @count: number of @ids
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
 * weights_source_of() - where an engine would load the weights of a leaf from
 * @report: the engine's report
 * @leaf: id of the leaf
 */
enum weights_source
weights_source_of(const struct target_report *report, uint64_t leaf)
{
    if (report_has(report->cached_memory, report->cached_memory_count, leaf)) {
        return WEIGHTS_IN_MEMORY;
    }
    if (report_has(report->cached_disk, report->cached_disk_count, leaf)) {
        return WEIGHTS_ON_DISK;
    }
    return WEIGHTS_IN_STORE;
}

/**
 * engine_free_mb() - estimate the free memory of an engine
 * @view: the engine
 * @now_ms: current time
 *
 * Return: memory for models less the larger of the used memory and the
 * recently read reserved memory, in MB.
 */
int64_t
engine_free_mb(const struct engine_view *view, int64_t now_ms)
{
    int64_t used = view->report.used_mb;

    if (view->reserved_mb > used &&
        now_ms - view->reserved_read_ms <= RESERVED_VALID_MS) {
        used = view->reserved_mb;
    }
    return (int64_t)view->report.memory_mb - used;
}

static bool
is_eligible(const struct engine_requirements *required,
            const struct engine_view *view)
{
    const struct target_report *report = &view->report;

    if (report->kind != TARGET_ENGINE || report->state != TARGET_LIVE ||
        strcmp(report->service, required->service) != 0) {
        return false;
    }
    if (required->data_centre[0] != '\0' &&
        strcmp(report->data_centre, required->data_centre) != 0) {
        return false;
    }
    if (required->base_model_id != 0 &&
        !report_has(report->loaded, report->loaded_count,
                    required->base_model_id)) {
        return false;
    }
    return !report_has(required->excluded, required->excluded_count,
                       report->id);
}

/* Compares two engines by the first difference that is not 0. */
static bool
is_better(const struct engine_requirements *required,
          const struct engine_view *a, const struct engine_view *b,
          int64_t now_ms)
{
    const int64_t differences[] = {
        (int64_t)weights_source_of(&b->report, required->leaf) -
            (int64_t)weights_source_of(&a->report, required->leaf),
        engine_free_mb(a, now_ms) - engine_free_mb(b, now_ms),
        (int64_t)b->report.loaded_count - a->report.loaded_count,
        (int64_t)b->report.running - a->report.running,
    };

    for (size_t i = 0; i < sizeof(differences) / sizeof(differences[0]); i++) {
        if (differences[i] != 0) {
            return differences[i] > 0;
        }
    }
    return hash_pair(required->leaf, a->report.id) >
           hash_pair(required->leaf, b->report.id);
}

/**
 * choose_engine() - select an engine to load a leaf on
 * @required: what the leaf needs
 * @views: engines
 * @count: number of @views
 * @now_ms: current time
 * @err: filled in on failure
 *
 * Prefers the fastest source of the weights, then the most free memory, then
 * the fewest loaded leaves, then the fewest running requests.
 *
 * Return: index of the engine; -1 with ERR_NO_TARGET when no engine is
 * eligible, with ERR_MEMORY_FULL when the leaf fits on none of them.
 */
int
choose_engine(const struct engine_requirements *required,
              struct engine_view *const *views, int count, int64_t now_ms,
              struct err *err)
{
    int best = -1;
    bool any = false;

    for (int i = 0; i < count; i++) {
        if (!is_eligible(required, views[i])) {
            continue;
        }
        any = true;
        if (engine_free_mb(views[i], now_ms) >= required->mb &&
            (best < 0 || is_better(required, views[i], views[best], now_ms))) {
            best = i;
        }
    }
    if (best < 0 && any) {
        err_set(err, ERR_MEMORY_FULL, "no engine has %lld MB free",
                (long long)required->mb);
    }
    else if (best < 0) {
        err_set(err, ERR_NO_TARGET, "no live engine of %s%s%s can load it",
                required->service,
                required->data_centre[0] != '\0' ? " in " : "",
                required->data_centre);
    }
    return best;
}

/* Whether the adapters of a model on its engine may all be evicted. */
static bool
adapters_evictable(const struct eviction_candidate *base,
                   const struct eviction_candidate *candidates, int count)
{
    for (int i = 0; i < count; i++) {
        if (candidates[i].engine == base->engine &&
            candidates[i].base_model_id == base->leaf &&
            candidates[i].unevictable) {
            return false;
        }
    }
    return true;
}

static bool
is_overdue(const struct eviction_candidate *candidate)
{
    return candidate->idle_ms >= candidate->idle_unload_ms;
}

static bool
evicted_before(const struct eviction_candidate *a,
               const struct eviction_candidate *b)
{
    if (is_overdue(a) != is_overdue(b)) {
        return is_overdue(a);
    }
    if (!is_overdue(a) && a->priority != b->priority) {
        return a->priority < b->priority;
    }
    return a->idle_ms > b->idle_ms;
}

static bool
eviction_contains(const struct eviction *eviction, uint64_t leaf)
{
    return report_has(eviction->leaves, eviction->count, leaf);
}

static const struct eviction_candidate *
next_candidate(const struct engine_requirements *required,
               const struct eviction *eviction,
               const struct eviction_candidate *candidates, int count)
{
    const struct eviction_candidate *best = NULL;

    for (int i = 0; i < count; i++) {
        const struct eviction_candidate *candidate = &candidates[i];

        if (candidate->engine != eviction->engine || candidate->unevictable ||
            candidate->leaf == required->base_model_id ||
            eviction_contains(eviction, candidate->leaf) ||
            !adapters_evictable(candidate, candidates, count)) {
            continue;
        }
        if (best == NULL || evicted_before(candidate, best)) {
            best = candidate;
        }
    }
    return best;
}

/* Adds a leaf and, before it, its adapters. Returns the memory freed in MB, or
   -1 when the list is full. */
static int64_t
eviction_add(struct eviction *eviction,
             const struct eviction_candidate *candidate,
             const struct eviction_candidate *candidates, int count)
{
    int64_t freed = candidate->mb;

    for (int i = 0; i < count; i++) {
        if (candidates[i].engine != candidate->engine ||
            candidates[i].base_model_id != candidate->leaf ||
            eviction_contains(eviction, candidates[i].leaf)) {
            continue;
        }
        if (eviction->count == EVICTION_LEAVES_MAX) {
            return -1;
        }
        eviction->leaves[eviction->count++] = candidates[i].leaf;
        freed += candidates[i].mb;
    }
    if (eviction->count == EVICTION_LEAVES_MAX) {
        return -1;
    }
    eviction->leaves[eviction->count++] = candidate->leaf;
    return freed;
}

/*
 * Selects the leaves to evict from one engine. Returns the cost: the highest
 * priority of a leaf that is not overdue, then the number of leaves; -1 when
 * too little memory can be freed.
 */
static int
evict_from(const struct engine_requirements *required,
           const struct engine_view *view,
           const struct eviction_candidate *candidates, int count,
           int64_t now_ms, struct eviction *eviction)
{
    int64_t need = required->mb - engine_free_mb(view, now_ms);
    int priority = -1;

    memset(eviction, 0, sizeof(*eviction));
    eviction->engine = view->report.id;
    while (need > 0) {
        const struct eviction_candidate *candidate =
            next_candidate(required, eviction, candidates, count);
        int64_t freed = -1;

        if (candidate != NULL) {
            freed = eviction_add(eviction, candidate, candidates, count);
        }
        if (freed < 0) {
            return -1;
        }
        if (!is_overdue(candidate) && candidate->priority > priority) {
            priority = candidate->priority;
        }
        need -= freed;
    }
    return (priority + 1) * (EVICTION_LEAVES_MAX + 1) + eviction->count;
}

/**
 * choose_eviction() - select leaves to unload when a leaf fits nowhere
 * @required: what the leaf needs
 * @views: engines
 * @count: number of @views
 * @candidates: loaded leaves
 * @candidate_count: number of @candidates
 * @now_ms: current time
 * @eviction: filled in
 *
 * Leaves idle for longer than idle_unload_s are evicted first, then those with
 * the lowest priority. A model is evicted only together with its adapters.
 *
 * Return: false when evictions cannot free enough memory.
 */
bool
choose_eviction(const struct engine_requirements *required,
                struct engine_view *const *views, int count,
                const struct eviction_candidate *candidates,
                int candidate_count, int64_t now_ms, struct eviction *eviction)
{
    struct eviction attempt;
    int best = -1;

    for (int i = 0; i < count; i++) {
        int cost;

        if (!is_eligible(required, views[i])) {
            continue;
        }
        cost = evict_from(required, views[i], candidates, candidate_count,
                          now_ms, &attempt);
        if (cost >= 0 && (best < 0 || cost < best)) {
            best = cost;
            *eviction = attempt;
        }
    }
    return best >= 0;
}
