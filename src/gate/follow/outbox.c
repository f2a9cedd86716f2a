/**
 * DOC: News of the store that other duties have yet to take.
 *
 * A ring that is full takes nothing, and the store tells each change once. So
 * what was not taken stays here, the newest of each kind, and is offered again
 * in the next round.
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
 * outbox_init() - nothing to tell
 * @outbox: the outbox
 */
void
outbox_init(struct outbox *outbox)
{
    outbox->config = NULL;
    outbox->changes =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    outbox->members = NULL;
    outbox->listed = false;
    outbox->holder_changed = false;
}

/**
 * outbox_clear() - release what was not taken
 * @outbox: the outbox
 */
void
outbox_clear(struct outbox *outbox)
{
    gate_config_unref(outbox->config);
    g_hash_table_destroy(outbox->changes);
    if (outbox->members != NULL) {
        g_array_free(outbox->members, TRUE);
    }
}

/**
 * outbox_config() - a newer configuration was read
 * @outbox: the outbox
 * @config: one reference is taken over
 */
void
outbox_config(struct outbox *outbox, struct gate_config *config)
{
    gate_config_unref(outbox->config);
    outbox->config = config;
}

/**
 * outbox_change() - a target has changed
 * @outbox: the outbox
 * @change: copied
 */
void
outbox_change(struct outbox *outbox, const struct target_change *change)
{
    struct target_change *copy = g_memdup2(change, sizeof(*change));

    g_hash_table_replace(outbox->changes, copy->info.id, copy);
}

/**
 * outbox_members() - the list of instances has changed
 * @outbox: the outbox
 * @members: struct gate_member; taken over
 */
void
outbox_members(struct outbox *outbox, GArray *members)
{
    if (outbox->members != NULL) {
        g_array_free(outbox->members, TRUE);
    }
    outbox->members = members;
}

/**
 * outbox_holder() - the holder of orders has changed
 * @outbox: the outbox
 * @holder: copied
 */
void
outbox_holder(struct outbox *outbox, const struct holder *holder)
{
    outbox->holder = *holder;
    outbox->holder_changed = true;
}

static bool
offer_changes(struct outbox *outbox, struct feed_port *port)
{
    GHashTableIter iter;
    void *change;

    g_hash_table_iter_init(&iter, outbox->changes);
    while (g_hash_table_iter_next(&iter, NULL, &change)) {
        if (!port->ops->change(port, change)) {
            return false;
        }
        g_hash_table_iter_remove(&iter);
    }
    return true;
}

static bool
offer_members(struct outbox *outbox, struct feed_port *port)
{
    if (outbox->members == NULL) {
        return true;
    }
    if (!port->ops->members(port, outbox->members)) {
        return false;
    }
    g_array_free(outbox->members, TRUE);
    outbox->members = NULL;
    return true;
}

static bool
offer_config(struct outbox *outbox, struct feed_port *port)
{
    if (outbox->config == NULL) {
        return true;
    }
    if (!port->ops->config(port, outbox->config)) {
        return false;
    }
    gate_config_unref(outbox->config);
    outbox->config = NULL;
    return true;
}

/**
 * outbox_offer() - tell what is there to tell
 * @outbox: the outbox
 * @port: who is told
 *
 * An instance counts as informed (listed) only when it has the configuration
 * and the targets. One kind that is not taken does not hold up the others.
 *
 * Return: whether all was taken.
 */
bool
outbox_offer(struct outbox *outbox, struct feed_port *port)
{
    bool known = offer_config(outbox, port);

    known = offer_changes(outbox, port) && known;
    if (known && outbox->listed) {
        outbox->listed = !port->ops->listed(port);
    }
    if (outbox->holder_changed) {
        outbox->holder_changed = !port->ops->holder(port, &outbox->holder);
    }
    return offer_members(outbox, port) && known && !outbox->listed &&
           !outbox->holder_changed;
}
