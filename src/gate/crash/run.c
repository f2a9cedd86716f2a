/**
 * DOC: What the beginning of a run at a target proves.
 *
 * A target that crashes when it begins to write an answer may have sent some
 * events by then.
 */
#include <glib.h>

#include "base/dat.h"
#include "gate/crash/dat.h"
#include "gate/crash/fns.h"

enum {
    BEGINNING_MS = 1000,
    /* Targets under load write events up to some hundred ms apart. */
    BEGINNING_EVENTS = 8,
    BEGINNING_MAX_MS = 3000,
};

/**
 * run_is_new() - whether a run may be what crashes its target
 * @began_ms: when its first event, or byte of a body, was read; 0 for not yet
 * @events: how many were read
 * @now_ms: current time
 */
bool
run_is_new(int64_t began_ms, int events, int64_t now_ms)
{
    int64_t age_ms = now_ms - began_ms;

    return began_ms == 0 || age_ms < BEGINNING_MS ||
           (events < BEGINNING_EVENTS && age_ms < BEGINNING_MAX_MS);
}

/**
 * run_has_survived() - whether a run is past what crashes targets
 * @began_ms: when its first event, or byte of a body, was read; 0 for not yet
 * @events: how many were read
 * @complete: its response is, from the beginning of the answer on; not if that
 * is known only by the end of the connection, which is how a crash looks, too.
 * The rest of an answer that another target has begun may be short enough.
 * @now_ms: current time
 */
bool
run_has_survived(int64_t began_ms, int events, bool complete, int64_t now_ms)
{
    return complete || !run_is_new(began_ms, events, now_ms);
}
