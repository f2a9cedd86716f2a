/**
 * DOC: Entries of all instances and the rules that merge news into them.
 *
 * Within one start of an instance, the pair of refutation number and state
 * only grows (alive < suspect < dead), and leaving is never undone, so the
 * order in which news arrives doesn't matter.
 */
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "turmericd/fleet/member/dat.h"
#include "turmericd/fleet/member/fns.h"

enum {
    /* News is sent SENDS_FACTOR * log2(members) times, which reaches every
     * member with high probability. */
    TRANSMIT_FACTOR = 3,
    /* When half of a fleet is dead, that news would fill each message for
     * minutes; two entries are left for members that are alive. */
    ALIVE_UPDATES_MIN = 2,
};

/**
 * member_table_init() - set up an empty roster
 * @roster: the roster
 * @err: filled in on failure
 */
bool
member_table_init(struct member_table *roster, struct err *err)
{
    memset(roster, 0, sizeof(*roster));
    return table_init(&roster->entries, MEMBERS_MAX,
                      sizeof(struct member_entry), err);
}

/**
 * member_table_free() - release a roster
 * @roster: the roster
 */
void
member_table_free(struct member_table *roster)
{
    table_free_all(&roster->entries);
}

/**
 * member_table_find() - entry of an instance
 * @roster: the roster
 * @id: id of the instance
 * @handle: set to the entry's handle; may be NULL
 *
 * Return: the entry, or NULL.
 */
struct member_entry *
member_table_find(struct member_table *roster, uint64_t id,
                  struct handle *handle)
{
    for (uint32_t i = 0; i < MEMBERS_MAX; i++) {
        if (roster->ids[i] == id && id != 0) {
            uint32_t cursor = i;

            return table_next(&roster->entries, &cursor, handle);
        }
    }
    return NULL;
}

/* Entry to give up when the roster is full: a candidate, the one that has
 * been silent for longest. */
static bool
find_evictable_candidate(struct member_table *roster, struct handle *evicted)
{
    uint32_t cursor = 0;
    struct handle handle;
    const struct member_entry *entry;
    int64_t longest_ms = -1;

    while ((entry = table_next(&roster->entries, &cursor, &handle)) != NULL) {
        if (entry->candidate && entry->hello_backoff_ms > longest_ms) {
            longest_ms = entry->hello_backoff_ms;
            *evicted = handle;
        }
    }
    return longest_ms >= 0;
}

/**
 * member_table_add() - add an instance
 * @roster: the roster
 * @info: its identity
 * @handle: set to the entry's handle
 *
 * Return: the entry, or NULL when MEMBERS_MAX members are known.
 */
struct member_entry *
member_table_add(struct member_table *roster, const struct member_info *info,
                 struct handle *handle)
{
    struct member_entry *entry;
    struct err err = {0};

    entry = table_alloc(&roster->entries, handle, &err);
    if (entry == NULL && find_evictable_candidate(roster, handle)) {
        member_table_remove(roster, *handle);
        entry = table_alloc(&roster->entries, handle, &err);
    }
    if (entry == NULL) {
        refusal_add(ERR_TABLE_FULL);
        return NULL;
    }
    entry->info = *info;
    entry->info.revision = 0;
    roster->ids[handle->index] = info->id;
    return entry;
}

/**
 * member_table_remove() - remove an entry
 * @roster: the roster
 * @handle: its handle
 */
void
member_table_remove(struct member_table *roster, struct handle handle)
{
    if (table_free(&roster->entries, handle)) {
        roster->ids[handle.index] = 0;
        roster->published = false;
    }
}

/**
 * member_table_mark_changed() - an entry has changed and must be told to
 * others
 * @roster: the roster
 * @entry: the entry
 */
void
member_table_mark_changed(struct member_table *roster,
                          struct member_entry *entry)
{
    entry->change_number = ++roster->change_count;
    entry->transmit_count = 0;
    roster->published = false;
}

static void
replace_entry(struct member_entry *entry, const struct member_info *news)
{
    int64_t revision =
        entry->info.started_ms == news->started_ms ? entry->info.revision : 0;

    entry->info = *news;
    entry->info.revision = revision;
    entry->leaving = news->state == MEMBER_LEAVING;
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
apply_first_update(struct member_table *roster, struct member_entry *entry,
                   const struct member_info *news)
{
    struct handle handle;

    if (news->state == MEMBER_DEAD) {
        return ENTRY_UNCHANGED;
    }
    if (entry == NULL) {
        entry = member_table_add(roster, news, &handle);
    }
    if (entry == NULL) {
        return ENTRY_UNCHANGED;
    }
    replace_entry(entry, news);
    member_table_mark_changed(roster, entry);
    return ENTRY_NEW;
}

static bool
is_newer(const struct member_info *info, uint32_t refutation,
         enum member_state state)
{
    return refutation > info->refutation ||
           (refutation == info->refutation && state > info->state);
}

/* News about the same start of a member. */
static enum entry_change
apply_same_process(struct member_table *roster, struct member_entry *entry,
                   const struct member_info *news)
{
    bool leaving = news->state == MEMBER_LEAVING;
    enum member_state state = leaving ? MEMBER_ALIVE : news->state;
    bool changed = leaving && !entry->leaving;
    enum entry_change change = changed ? ENTRY_LEAVING : ENTRY_UNCHANGED;

    entry->leaving = entry->leaving || leaving;
    if (is_newer(&entry->info, news->refutation, state)) {
        change = state == entry->info.state ? change : change_for_state(state);
        entry->info.refutation = news->refutation;
        entry->info.state = state;
        changed = true;
    }
    if (changed) {
        member_table_mark_changed(roster, entry);
    }
    return change;
}

/**
 * member_table_apply() - merge news about another instance
 * @roster: the roster
 * @news: the news
 *
 * Return: what has become of its entry; ROSTER_SAME also for a change that
 * leaves the state as it was.
 */
enum entry_change
member_table_apply(struct member_table *roster, const struct member_info *news)
{
    struct member_entry *entry = member_table_find(roster, news->id, NULL);

    if (entry == NULL || entry->candidate) {
        return apply_first_update(roster, entry, news);
    }
    if (news->started_ms < entry->info.started_ms) {
        return ENTRY_UNCHANGED;
    }
    if (news->started_ms > entry->info.started_ms) {
        replace_entry(entry, news);
        member_table_mark_changed(roster, entry);
        return news->state == MEMBER_DEAD ? ENTRY_DEAD : ENTRY_NEW;
    }
    return apply_same_process(roster, entry, news);
}

/**
 * member_entry_state() - state of an entry as others see it
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
 * member_entry_is_active() - whether an instance takes part
 * @entry: the entry
 */
bool
member_entry_is_active(const struct member_entry *entry)
{
    return !entry->candidate && entry->info.state != MEMBER_DEAD;
}

static bool
contains_member(const struct member_info *news, int count, uint64_t id)
{
    for (int i = 0; i < count; i++) {
        if (news[i].id == id) {
            return true;
        }
    }
    return false;
}

static void
fill_update(struct member_info *news, const struct member_entry *entry)
{
    *news = entry->info;
    news->state = member_entry_state(entry);
}

/* Calls still go to a member whose leaving or death isn't known, so that news
 * doesn't wait for the news of the members that are alive. */
static bool
has_priority(const struct member_entry *entry)
{
    return entry->leaving || entry->info.state == MEMBER_DEAD;
}

/* Inserts an entry into the list of the newest ones. */
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

/* One entry in turn, changed or not: repairs what lost messages left out. */
static int
add_round_robin(struct member_table *roster, struct member_info *news,
                int count)
{
    const struct member_entry *entry;
    uint32_t cursor = roster->round_robin_slot;

    entry = table_next(&roster->entries, &cursor, NULL);
    roster->round_robin_slot = entry == NULL ? 0 : cursor;
    if (entry == NULL || !member_entry_is_active(entry) ||
        contains_member(news, count, entry->info.id)) {
        return count;
    }
    fill_update(&news[count], entry);
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

/* Adds the newest entries, either those that take precedence or the others. */
static int
add_newest(struct member_table *roster, struct member_info *news, int count,
           int max, bool priority)
{
    struct member_entry *picked[SWIM_UPDATES_MAX];
    struct member_entry *entry;
    uint32_t cursor = 0;
    uint32_t limit = transmit_limit(table_count(&roster->entries));
    int picked_count = 0;
    int room = max - count;

    while (room > 0 &&
           (entry = table_next(&roster->entries, &cursor, NULL)) != NULL) {
        if (entry->transmit_count < limit && !entry->candidate &&
            has_priority(entry) == priority &&
            !contains_member(news, count, entry->info.id)) {
            picked_count = insert_newest(picked, picked_count, room, entry);
        }
    }
    for (int i = 0; i < picked_count; i++) {
        picked[i]->transmit_count++;
        fill_update(&news[count++], picked[i]);
    }
    return count;
}

/**
 * member_table_pick_updates() - choose news for a message: first leaving and
 * dead members, then the others, each the newest first
 * @roster: the roster
 * @news: receives the news
 * @count: number of entries that @news has already
 * @max: size of @news
 *
 * Return: number of entries that @news has now.
 */
int
member_table_pick_updates(struct member_table *roster,
                          struct member_info *news, int count, int max)
{
    count = add_newest(roster, news, count, max - ALIVE_UPDATES_MIN, true);
    count = add_newest(roster, news, count, max, false);
    count = add_newest(roster, news, count, max, true);
    return count < max ? add_round_robin(roster, news, count) : count;
}
