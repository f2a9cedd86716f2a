/**
 * DOC: Member table, and the rules that merge updates into it.
 *
 * For one process of an instance, the pair of refutation number and state
 * only grows (alive < suspect < dead), and leaving is never undone, so the
 * order in which updates arrive doesn't matter.
 */
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "turmericd/fleet/member/dat.h"
#include "turmericd/fleet/member/fns.h"

enum {
    /* An update is sent TRANSMIT_FACTOR * log2(members) times, which reaches
     * every member with high probability. */
    TRANSMIT_FACTOR = 3,
    /* When half of a fleet is dead, the updates about it would fill each
     * message for minutes; two are left for members that are alive. */
    ALIVE_UPDATES_MIN = 2,
};

/**
 * member_table_init() - initialize an empty member table
 * @members: the member table
 * @err: filled in on failure
 */
bool
member_table_init(struct member_table *members, struct err *err)
{
    memset(members, 0, sizeof(*members));
    return table_init(&members->entries, MEMBERS_MAX,
                      sizeof(struct member_entry), err);
}

/**
 * member_table_free() - release a member table
 * @members: the member table
 */
void
member_table_free(struct member_table *members)
{
    table_destroy(&members->entries);
}

/**
 * member_table_find() - entry of an instance
 * @members: the member table
 * @id: id of the instance
 * @handle: set to the entry's handle; may be NULL
 *
 * Return: the entry, or NULL.
 */
struct member_entry *
member_table_find(struct member_table *members, uint64_t id,
                  struct handle *handle)
{
    for (uint32_t i = 0; i < MEMBERS_MAX; i++) {
        if (members->ids[i] == id && id != 0) {
            uint32_t cursor = i;

            return table_next(&members->entries, &cursor, handle);
        }
    }
    return NULL;
}

/* Finds the entry to evict from a full table: of the candidates, the one that
 * has been unresponsive for longest. */
static bool
find_evictable_candidate(struct member_table *members, struct handle *evicted)
{
    uint32_t cursor = 0;
    struct handle handle;
    const struct member_entry *entry;
    int64_t longest_ms = -1;

    while ((entry = table_next(&members->entries, &cursor, &handle)) != NULL) {
        if (entry->candidate && entry->hello_backoff_ms > longest_ms) {
            longest_ms = entry->hello_backoff_ms;
            *evicted = handle;
        }
    }
    return longest_ms >= 0;
}

/**
 * member_table_add() - add an instance
 * @members: the member table
 * @info: its identity
 * @handle: set to the entry's handle
 *
 * Return: the entry, or NULL when the table holds MEMBERS_MAX entries
 * and none of them is a candidate.
 */
struct member_entry *
member_table_add(struct member_table *members, const struct member_info *info,
                 struct handle *handle)
{
    struct member_entry *entry;
    struct err err = {0};

    entry = table_alloc(&members->entries, handle, &err);
    if (entry == NULL && find_evictable_candidate(members, handle)) {
        member_table_remove(members, *handle);
        entry = table_alloc(&members->entries, handle, &err);
    }
    if (entry == NULL) {
        refusal_add(ERR_TABLE_FULL);
        return NULL;
    }
    entry->info = *info;
    entry->info.revision = 0;
    members->ids[handle->index] = info->id;
    return entry;
}

/**
 * member_table_remove() - remove an entry
 * @members: the member table
 * @handle: its handle
 */
void
member_table_remove(struct member_table *members, struct handle handle)
{
    if (table_free(&members->entries, handle)) {
        members->ids[handle.index] = 0;
        members->published = false;
    }
}

/**
 * member_table_mark_changed() - mark an entry as changed, so that it is
 * published and sent as an update
 * @members: the member table
 * @entry: the entry
 */
void
member_table_mark_changed(struct member_table *members,
                          struct member_entry *entry)
{
    entry->change_number = ++members->change_count;
    entry->transmit_count = 0;
    members->published = false;
}

static void
replace_entry(struct member_entry *entry, const struct member_info *update)
{
    int64_t revision = entry->info.started_ms == update->started_ms
                           ? entry->info.revision
                           : 0;

    entry->info = *update;
    entry->info.revision = revision;
    entry->leaving = update->state == MEMBER_LEAVING;
    if (entry->leaving) {
        entry->info.state = MEMBER_ALIVE;
    }
    entry->candidate = false;
}

static enum entry_change
change_for_state(enum member_state state)
{
    switch (state) {
    case MEMBER_DEAD:
        return ENTRY_DEAD;
    case MEMBER_SUSPECT:
        return ENTRY_SUSPECT;
    default:
        return ENTRY_ALIVE;
    }
}

static enum entry_change
apply_first_update(struct member_table *members, struct member_entry *entry,
                   const struct member_info *update)
{
    struct handle handle;

    if (update->state == MEMBER_DEAD) {
        return ENTRY_UNCHANGED;
    }
    if (entry == NULL) {
        entry = member_table_add(members, update, &handle);
    }
    if (entry == NULL) {
        return ENTRY_UNCHANGED;
    }
    replace_entry(entry, update);
    member_table_mark_changed(members, entry);
    return ENTRY_NEW;
}

static bool
is_newer(const struct member_info *info, uint32_t refutation,
         enum member_state state)
{
    return refutation > info->refutation ||
           (refutation == info->refutation && state > info->state);
}

/* Merges an update about the process that the entry describes. */
static enum entry_change
apply_same_process(struct member_table *members, struct member_entry *entry,
                   const struct member_info *update)
{
    bool leaving = update->state == MEMBER_LEAVING;
    enum member_state state = leaving ? MEMBER_ALIVE : update->state;
    bool changed = leaving && !entry->leaving;
    enum entry_change change = changed ? ENTRY_LEAVING : ENTRY_UNCHANGED;

    entry->leaving = entry->leaving || leaving;
    if (is_newer(&entry->info, update->refutation, state)) {
        change = state == entry->info.state ? change : change_for_state(state);
        entry->info.refutation = update->refutation;
        entry->info.state = state;
        changed = true;
    }
    if (changed) {
        member_table_mark_changed(members, entry);
    }
    return change;
}

/**
 * member_table_apply() - merge an update about another instance
 * @members: the member table
 * @update: the update
 *
 * Return: effect on the entry; ENTRY_UNCHANGED also when only the refutation
 * number has grown.
 */
enum entry_change
member_table_apply(struct member_table *members,
                   const struct member_info *update)
{
    struct member_entry *entry = member_table_find(members, update->id, NULL);

    if (entry == NULL || entry->candidate) {
        return apply_first_update(members, entry, update);
    }
    if (update->started_ms < entry->info.started_ms) {
        return ENTRY_UNCHANGED;
    }
    if (update->started_ms > entry->info.started_ms) {
        replace_entry(entry, update);
        member_table_mark_changed(members, entry);
        return update->state == MEMBER_DEAD ? ENTRY_DEAD : ENTRY_NEW;
    }
    return apply_same_process(members, entry, update);
}

/**
 * member_entry_state() - state to report to other members
 * @entry: the entry
 */
enum member_state
member_entry_state(const struct member_entry *entry)
{
    return entry->leaving && entry->info.state == MEMBER_ALIVE
               ? MEMBER_LEAVING
               : entry->info.state;
}

/**
 * member_entry_is_active() - whether an instance is alive or suspect,
 * leaving or not
 * @entry: the entry
 */
bool
member_entry_is_active(const struct member_entry *entry)
{
    return !entry->candidate && entry->info.state != MEMBER_DEAD;
}

static bool
contains_member(const struct member_info *updates, int count, uint64_t id)
{
    for (int i = 0; i < count; i++) {
        if (updates[i].id == id) {
            return true;
        }
    }
    return false;
}

static void
fill_update(struct member_info *update, const struct member_entry *entry)
{
    *update = entry->info;
    update->state = member_entry_state(entry);
}

/* Calls still go to a member whose leaving or death isn't known, so updates
 * about such members are sent before those about members that are alive. */
static bool
has_priority(const struct member_entry *entry)
{
    return entry->leaving || entry->info.state == MEMBER_DEAD;
}

/* Inserts an entry into the list of the newest ones, newest first. */
static int
insert_newest(struct member_entry **picked, int count, int max,
              struct member_entry *entry)
{
    int position = count;

    while (position > 0 &&
           picked[position - 1]->change_number < entry->change_number) {
        position--;
    }
    if (position == max) {
        return count;
    }
    if (count < max) {
        count++;
    }
    memmove(&picked[position + 1], &picked[position],
            (size_t)(count - position - 1) * sizeof(struct member_entry *));
    picked[position] = entry;
    return count;
}

/* Adds one entry in round-robin order, changed or not, to replace updates that
 * were in lost messages. */
static int
add_round_robin(struct member_table *members, struct member_info *updates,
                int count)
{
    const struct member_entry *entry;
    uint32_t cursor = members->round_robin_slot;

    entry = table_next(&members->entries, &cursor, NULL);
    members->round_robin_slot = entry == NULL ? 0 : cursor;
    if (entry == NULL || !member_entry_is_active(entry) ||
        contains_member(updates, count, entry->info.id)) {
        return count;
    }
    fill_update(&updates[count], entry);
    return count + 1;
}

static uint32_t
transmit_limit(uint32_t members)
{
    uint32_t log2 = 1;

    while (members > 1u << log2) {
        log2++;
    }
    return TRANSMIT_FACTOR * log2;
}

/* Adds the newest entries, either those with priority or the others. */
static int
add_newest(struct member_table *members, struct member_info *updates,
           int count, int max, bool priority)
{
    struct member_entry *picked[SWIM_UPDATES_MAX];
    struct member_entry *entry;
    uint32_t cursor = 0;
    uint32_t limit = transmit_limit(table_count(&members->entries));
    int picked_count = 0;
    int room = max - count;

    while (room > 0 &&
           (entry = table_next(&members->entries, &cursor, NULL)) != NULL) {
        if (entry->transmit_count < limit && !entry->candidate &&
            has_priority(entry) == priority &&
            !contains_member(updates, count, entry->info.id)) {
            picked_count = insert_newest(picked, picked_count, room, entry);
        }
    }
    for (int i = 0; i < picked_count; i++) {
        picked[i]->transmit_count++;
        fill_update(&updates[count++], picked[i]);
    }
    return count;
}

/**
 * member_table_pick_updates() - choose the updates of a message
 * @members: the member table
 * @updates: receives the updates
 * @count: number of updates that @updates holds already
 * @max: size of @updates
 *
 * Leaving and dead members come first, but leave ALIVE_UPDATES_MIN updates to
 * the others; within each group, the newest comes first.
 *
 * Return: number of updates in @updates.
 */
int
member_table_pick_updates(struct member_table *members,
                          struct member_info *updates, int count, int max)
{
    count = add_newest(members, updates, count, max - ALIVE_UPDATES_MIN, true);
    count = add_newest(members, updates, count, max, false);
    count = add_newest(members, updates, count, max, true);
    return count < max ? add_round_robin(members, updates, count) : count;
}
