/**
 * DOC: Notes on what an instance has to do.
 */
#include <glib.h>
#include <http_parser.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/view/fns.h"
#include "gate/choose/dat.h"
#include "gate/choose/fns.h"
#include "gate/relay/dat.h"
#include "gate/relay/fns.h"
#include "gate/relay/internal.h"

/**
 * activity_new() - empty note
 * @instance: id of the instance
 */
struct activity *
activity_new(uint64_t instance)
{
    struct activity *activity = g_new0(struct activity, 1);

    activity->instance = instance;
    return activity;
}

/**
 * activity_free() - release a note
 * @activity: the note; may be NULL
 */
void
activity_free(struct activity *activity)
{
    if (activity != NULL) {
        g_free(activity->items);
        g_free(activity->targets);
        g_free(activity->sums);
        g_free(activity);
    }
}

/**
 * outlook_new() - forecasts to be filled in
 * @count: their number
 */
struct outlook *
outlook_new(int count)
{
    struct outlook *outlook = g_new0(struct outlook, 1);

    outlook->items = g_new0(struct forecast, count);
    outlook->count = count;
    return outlook;
}

/**
 * outlook_free() - release forecasts
 * @outlook: the forecasts; may be NULL
 */
void
outlook_free(struct outlook *outlook)
{
    if (outlook != NULL) {
        g_free(outlook->items);
        g_free(outlook);
    }
}
