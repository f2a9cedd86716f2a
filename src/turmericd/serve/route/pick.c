/**
 * DOC: Selection of a target for an attempt.
 */
#include <glib.h>
#include <string.h>
#include <sys/types.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "tree/dat.h"
#include "tree/fns.h"
#include "turmericd/state/config/dat.h"
#include "turmericd/state/claim/dat.h"
#include "turmericd/fleet/member/dat.h"
#include "turmericd/fleet/observe/dat.h"
#include "turmericd/place/dat.h"
#include "turmericd/serve/call/dat.h"
#include "turmericd/serve/call/fns.h"
#include "turmericd/serve/route/dat.h"
#include "turmericd/serve/route/internal.h"

/* Bits of a target's preference class; lower classes are preferred. */
enum {
    CLASS_OTHER_DATA_CENTRE = 1,
    CLASS_TRIED = 2,
    CLASS_COUNT = 4,
};

/**
 * random_next() - next number of a splitmix64 generator
 * @state: state of the generator; a seed at first
 */
uint64_t
random_next(uint64_t *state)
{
    uint64_t z = *state += UINT64_C(0x9e3779b97f4a7c15);

    z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
    z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
    return z ^ (z >> 31);
}

static uint32_t
target_load(const struct target *target)
{
    return target->report.running + target->report.waiting +
           target->started_since_report;
}

/* Requests of other instances at the target, as of the last report. */
static uint32_t
requests_of_others(const struct target *target)
{
    uint32_t reported = target->report.running + target->report.waiting;

    return reported > target->inflight_at_report
               ? reported - target->inflight_at_report
               : 0;
}

static bool
has_capacity(const struct target *target, int64_t inflight_max)
{
    return (int64_t)target->inflight + requests_of_others(target) <
           inflight_max;
}

static bool
was_tried(const struct target *target, const struct pick_query *query)
{
    for (int i = 0; i < query->tried_count; i++) {
        if (query->tried[i] == target->report.id) {
            return true;
        }
    }
    return false;
}

/* A target that just refused a connection counts as down before a report
 * shows it: further attempts on it would fail and only delay the call. One
 * that is held off said itself that it wants none. */
static bool
is_usable(const struct target *target, const struct pick_query *query)
{
    return target->report.state == TARGET_LIVE &&
           target->backoff_until_ms <= query->now_ms &&
           holdoff_allows_ms(&target->holdoff) <= query->now_ms;
}

static int
preference_class(const struct target *target, const struct pick_query *query)
{
    int class = 0;

    if (strcmp(target->report.data_centre, query->data_centre) != 0) {
        class |= CLASS_OTHER_DATA_CENTRE;
    }
    if (was_tried(target, query)) {
        class |= CLASS_TRIED;
    }
    return class;
}

static bool
is_candidate(const struct target *target, const struct pick_query *query)
{
    return is_usable(target, query) &&
           has_capacity(target, query->inflight_max);
}

/* Returns the candidate of a class with the given index, from 0. */
static struct target *
nth_candidate(struct target *const *targets, int count,
              const struct pick_query *query, int class, uint64_t index)
{
    for (int i = 0; i < count; i++) {
        if (is_candidate(targets[i], query) &&
            preference_class(targets[i], query) == class && index-- == 0) {
            return targets[i];
        }
    }
    return NULL;
}

static struct target *
less_loaded_of_two(struct target *const *targets, int count,
                   const struct pick_query *query, int class,
                   uint64_t class_size, uint64_t *random)
{
    uint64_t first = random_next(random) % class_size;
    uint64_t second = 0;
    struct target *a = nth_candidate(targets, count, query, class, first);
    struct target *b;

    if (class_size == 1) {
        return a;
    }
    second = (first + 1 + random_next(random) % (class_size - 1)) % class_size;
    b = nth_candidate(targets, count, query, class, second);
    return target_load(b) < target_load(a) ? b : a;
}

/**
 * pick_target() - select a target for one attempt
 * @targets: targets that serve the leaf
 * @count: number of targets
 * @query: what the call requires
 * @random: state of the random number generator
 * @picked: set to the target
 *
 * Considers live targets below inflight_max only. Prefers targets that this
 * call was not tried on, then targets in the local data centre. Among equals
 * it takes the less loaded of two random ones.
 *
 * Return: PICK_OK; PICK_BUSY when live targets are all at inflight_max;
 * PICK_NONE when no target is live.
 */
enum pick_result
pick_target(struct target *const *targets, int count,
            const struct pick_query *query, uint64_t *random,
            struct target **picked)
{
    uint64_t class_sizes[CLASS_COUNT] = {0};
    enum pick_result result = PICK_NONE;

    for (int i = 0; i < count; i++) {
        if (is_usable(targets[i], query)) {
            result = PICK_BUSY;
        }
        if (is_candidate(targets[i], query)) {
            class_sizes[preference_class(targets[i], query)]++;
        }
    }
    for (int class = 0; class < CLASS_COUNT; class ++) {
        if (class_sizes[class] > 0) {
            *picked = less_loaded_of_two(targets, count, query, class,
                                         class_sizes[class], random);
            return PICK_OK;
        }
    }
    return result;
}
