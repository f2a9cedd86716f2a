/**
 * DOC: Which instances the platform's list has stopped showing.
 *
 * An instance counts as gone when the list, while it could be read, has not
 * shown it for the grace time. A list that can't be read says nothing.
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
#include "turmericd/serve/front/dat.h"
#include "turmericd/serve/front/fns.h"
#include "turmericd/serve/desk/dat.h"
#include "turmericd/serve/desk/fns.h"
#include "turmericd/dat.h"
#include "turmericd/fns.h"

enum { GONE_GRACE_MS = 120000 };

static struct listed_entry *
find_listed(struct root *root, uint64_t member)
{
    for (int i = 0; i < root->listed_count; i++) {
        if (root->listed[i].member == member) {
            return &root->listed[i];
        }
    }
    return NULL;
}

/* The entry that the list has not shown for the longest time. */
static struct listed_entry *
oldest_listed(struct root *root)
{
    struct listed_entry *oldest = &root->listed[0];

    for (int i = 1; i < root->listed_count; i++) {
        if (root->listed[i].last_ms < oldest->last_ms) {
            oldest = &root->listed[i];
        }
    }
    return oldest;
}

/**
 * root_note_listed() - the list has shown an instance
 * @root: the root
 * @member: id of the instance
 * @now_ms: present time
 */
void
root_note_listed(struct root *root, uint64_t member, int64_t now_ms)
{
    struct listed_entry *entry;

    pthread_mutex_lock(&root->listed_lock);
    entry = find_listed(root, member);
    if (entry == NULL) {
        entry = root->listed_count < MEMBERS_MAX
                    ? &root->listed[root->listed_count++]
                    : oldest_listed(root);
        entry->member = member;
    }
    entry->last_ms = now_ms;
    if (root->list_first_ms == 0) {
        root->list_first_ms = now_ms;
    }
    root->list_read_ms = now_ms;
    pthread_mutex_unlock(&root->listed_lock);
}

/**
 * root_member_gone() - whether an instance is known to run no more
 * @root: the root
 * @member: id of the instance
 *
 * An instance that this process has never seen listed is not known to be
 * gone until this process has read the list for the grace time.
 */
bool
root_member_gone(struct root *root, uint64_t member)
{
    struct listed_entry *entry;
    int64_t last_ms;
    bool gone;

    pthread_mutex_lock(&root->listed_lock);
    entry = find_listed(root, member);
    last_ms = entry != NULL ? entry->last_ms : root->list_first_ms;
    gone = root->list_read_ms - last_ms > GONE_GRACE_MS;
    pthread_mutex_unlock(&root->listed_lock);
    return gone;
}
