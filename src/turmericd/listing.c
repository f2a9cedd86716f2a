/**
 * DOC: Detects instances that have disappeared from the platform's list.
 *
 * An instance is gone when it has been missing from the list for the grace
 * time. Time counts only up to the last successful read, so an outage of the
 * list makes no instance gone.
 */
#include <glib.h>
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>
#include <sys/types.h>

#include "base/dat.h"
#include "base/fns.h"
#include "kv/dat.h"
#include "kv/fns.h"
#include "tree/dat.h"
#include "tree/fns.h"
#include "proto/peer.pb-c.h"
#include "turmericd/fleet/peer/dat.h"
#include "turmericd/fleet/peer/fns.h"
#include "turmericd/fleet/member/dat.h"
#include "turmericd/fleet/member/fns.h"
#include "turmericd/fleet/observe/dat.h"
#include "turmericd/fleet/observe/fns.h"
#include "turmericd/state/config/dat.h"
#include "turmericd/state/config/fns.h"
#include "turmericd/state/claim/dat.h"
#include "turmericd/state/claim/fns.h"
#include "turmericd/place/dat.h"
#include "turmericd/place/fns.h"
#include "turmericd/serve/call/dat.h"
#include "turmericd/serve/call/fns.h"
#include "turmericd/serve/route/dat.h"
#include "turmericd/serve/route/fns.h"
#include "turmericd/serve/forward/dat.h"
#include "turmericd/serve/forward/fns.h"
#include "turmericd/serve/frontend/dat.h"
#include "turmericd/serve/frontend/fns.h"
#include "turmericd/serve/operator/dat.h"
#include "turmericd/serve/operator/fns.h"
#include "turmericd/dat.h"
#include "turmericd/fns.h"

enum { UNLISTED_GRACE_MS = 120000 };

static struct listing *
find_listing(struct root *root, uint64_t instance_id)
{
    for (int i = 0; i < root->listing_count; i++) {
        if (root->listings[i].instance_id == instance_id) {
            return &root->listings[i];
        }
    }
    return NULL;
}

/* Returns the entry of the instance that has been missing the longest. */
static struct listing *
oldest_listing(struct root *root)
{
    struct listing *oldest = &root->listings[0];

    for (int i = 1; i < root->listing_count; i++) {
        if (root->listings[i].last_listed_ms < oldest->last_listed_ms) {
            oldest = &root->listings[i];
        }
    }
    return oldest;
}

/**
 * root_record_listing() - record that the list contains an instance
 * @root: the root
 * @instance_id: id of the instance
 * @now_ms: current monotonic time
 *
 * When the table is full, replaces the entry that is missing the longest.
 */
void
root_record_listing(struct root *root, uint64_t instance_id, int64_t now_ms)
{
    struct listing *listing;

    pthread_mutex_lock(&root->listing_lock);
    listing = find_listing(root, instance_id);
    if (listing == NULL) {
        listing = root->listing_count < MEMBERS_MAX
                      ? &root->listings[root->listing_count++]
                      : oldest_listing(root);
        listing->instance_id = instance_id;
    }
    listing->last_listed_ms = now_ms;
    if (root->first_list_read_ms == 0) {
        root->first_list_read_ms = now_ms;
    }
    root->last_list_read_ms = now_ms;
    pthread_mutex_unlock(&root->listing_lock);
}

/**
 * root_instance_gone() - whether an instance is known to have ended
 * @root: the root
 * @instance_id: id of the instance
 *
 * For an instance that this process has never seen in the list, the grace
 * time starts when this process first read the list.
 *
 * Return: true when the instance has been missing for the grace time.
 */
bool
root_instance_gone(struct root *root, uint64_t instance_id)
{
    struct listing *listing;
    int64_t last_listed_ms;
    bool is_gone;

    pthread_mutex_lock(&root->listing_lock);
    listing = find_listing(root, instance_id);
    last_listed_ms =
        listing != NULL ? listing->last_listed_ms : root->first_list_read_ms;
    is_gone = root->last_list_read_ms - last_listed_ms > UNLISTED_GRACE_MS;
    pthread_mutex_unlock(&root->listing_lock);
    return is_gone;
}
