/**
 * DOC: Changes read from the store that are not yet delivered.
 *
 * The store reports each change once, and the ring of a receiving duty may be
 * full. The latest undelivered change of each kind, and of each target, stays
 * here and is delivered again after the next poll.
 */
#include <glib.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/view/fns.h"
#include "gate/follow/dat.h"
#include "gate/follow/fns.h"

/**
 * outbox_init() - initialize an empty outbox
 * @outbox: the outbox
 */
void
outbox_init(struct outbox *outbox)
{
    outbox->config = NULL;
    outbox->target_changes =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    outbox->members = NULL;
    outbox->targets_listed = false;
    outbox->holder_changed = false;
}

/**
 * outbox_clear() - release undelivered changes
 * @outbox: the outbox
 */
void
outbox_clear(struct outbox *outbox)
{
    gate_config_unref(outbox->config);
    g_hash_table_destroy(outbox->target_changes);
    if (outbox->members != NULL) {
        g_array_free(outbox->members, TRUE);
    }
}

/**
 * outbox_set_config() - queue a newer configuration
 * @outbox: the outbox
 * @config: takes over one reference
 */
void
outbox_set_config(struct outbox *outbox, struct gate_config *config)
{
    gate_config_unref(outbox->config);
    outbox->config = config;
}

/**
 * outbox_add_target_change() - queue a target's change, replacing an earlier
 * one of the same target
 * @outbox: the outbox
 * @change: copied
 */
void
outbox_add_target_change(struct outbox *outbox,
                         const struct target_change *change)
{
    struct target_change *copy = g_memdup2(change, sizeof(*change));

    g_hash_table_replace(outbox->target_changes, copy->info.id, copy);
}

/**
 * outbox_set_members() - queue the list of instances
 * @outbox: the outbox
 * @members: array of struct gate_member; takes ownership
 */
void
outbox_set_members(struct outbox *outbox, GArray *members)
{
    if (outbox->members != NULL) {
        g_array_free(outbox->members, TRUE);
    }
    outbox->members = members;
}

/**
 * outbox_set_holder() - queue a change of the holder
 * @outbox: the outbox
 * @holder: copied
 */
void
outbox_set_holder(struct outbox *outbox, const struct holder *holder)
{
    outbox->holder = *holder;
    outbox->holder_changed = true;
}

static bool
deliver_target_changes(struct outbox *outbox, struct feed_port *port)
{
    GHashTableIter iter;
    void *change;

    g_hash_table_iter_init(&iter, outbox->target_changes);
    while (g_hash_table_iter_next(&iter, NULL, &change)) {
        if (!port->ops->target_changed(port, change)) {
            return false;
        }
        g_hash_table_iter_remove(&iter);
    }
    return true;
}

static bool
deliver_members(struct outbox *outbox, struct feed_port *port)
{
    if (outbox->members == NULL) {
        return true;
    }
    if (!port->ops->members_changed(port, outbox->members)) {
        return false;
    }
    g_array_free(outbox->members, TRUE);
    outbox->members = NULL;
    return true;
}

static bool
deliver_config(struct outbox *outbox, struct feed_port *port)
{
    if (outbox->config == NULL) {
        return true;
    }
    if (!port->ops->config_changed(port, outbox->config)) {
        return false;
    }
    gate_config_unref(outbox->config);
    outbox->config = NULL;
    return true;
}

/**
 * outbox_deliver() - deliver all queued changes
 * @outbox: the outbox
 * @port: receives the changes
 *
 * The end of the first list is delivered only after the configuration and all
 * targets. Otherwise, a kind of change that is refused doesn't hold up the
 * others.
 *
 * Return: whether everything was delivered.
 */
bool
outbox_deliver(struct outbox *outbox, struct feed_port *port)
{
    bool ready = deliver_config(outbox, port);

    ready = deliver_target_changes(outbox, port) && ready;
    if (ready && outbox->targets_listed) {
        outbox->targets_listed = !port->ops->targets_listed(port);
    }
    if (outbox->holder_changed) {
        outbox->holder_changed =
            !port->ops->holder_changed(port, &outbox->holder);
    }
    return deliver_members(outbox, port) && ready && !outbox->targets_listed &&
           !outbox->holder_changed;
}
