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
    SENDS_FACTOR = 3,
    /* When half of a fleet is dead, that news would fill each message for
     * minutes; two entries are left for members that are alive. */
    ALIVE_NEWS_MIN = 2,
};

/**
 * roster_init() - set up an empty roster
 * @roster: the roster
 * @err: filled in on failure
 */
bool
roster_init(struct roster *roster, struct err *err)
{
    memset(roster, 0, sizeof(*roster));
    return table_init(&roster->entries, MEMBERS_MAX,
                      sizeof(struct roster_entry), err);
}

/**
 * roster_free() - release a roster
 * @roster: the roster
 */
void
roster_free(struct roster *roster)
{
    table_free_all(&roster->entries);
}

/**
 * roster_find() - entry of an instance
 * @roster: the roster
 * @id: id of the instance
 * @handle: set to the entry's handle; may be NULL
 *
 * Return: the entry, or NULL.
 */
struct roster_entry *
roster_find(struct roster *roster, uint64_t id, struct handle *handle)
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
candidate_to_evict(struct roster *roster, struct handle *victim)
{
    uint32_t cursor = 0;
    struct handle handle;
    const struct roster_entry *entry;
    int64_t longest_ms = -1;

    while ((entry = table_next(&roster->entries, &cursor, &handle)) != NULL) {
        if (entry->candidate && entry->hello_wait_ms > longest_ms) {
            longest_ms = entry->hello_wait_ms;
            *victim = handle;
        }
    }
    return longest_ms >= 0;
}

/**
 * roster_add() - add an instance
 * @roster: the roster
 * @info: its identity
 * @handle: set to the entry's handle
 *
 * Return: the entry, or NULL when MEMBERS_MAX members are known.
 */
struct roster_entry *
roster_add(struct roster *roster, const struct member_info *info,
           struct handle *handle)
{
    struct roster_entry *entry;
    struct err err = {0};

    entry = table_alloc(&roster->entries, handle, &err);
    if (entry == NULL && candidate_to_evict(roster, handle)) {
        roster_remove(roster, *handle);
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
 * roster_remove() - remove an entry
 * @roster: the roster
 * @handle: its handle
 */
void
roster_remove(struct roster *roster, struct handle handle)
{
    if (table_free(&roster->entries, handle)) {
        roster->ids[handle.index] = 0;
        roster->published = false;
    }
}

/**
 * roster_touch() - an entry has changed and must be told to others
 * @roster: the roster
 * @entry: the entry
 */
void
roster_touch(struct roster *roster, struct roster_entry *entry)
{
    entry->changed = ++roster->changes;
    entry->sends = 0;
    roster->published = false;
}

static void
copy_news(struct roster_entry *entry, const struct member_info *news)
{
    int64_t revision =
        entry->info.start == news->start ? entry->info.revision : 0;

    entry->info = *news;
    entry->info.revision = revision;
    entry->leaving = news->state == MEMBER_LEAVING;
    if (entry->leaving) {
        entry->info.state = MEMBER_ALIVE;
    }
    entry->candidate = false;
}

static enum roster_change
change_to(enum member_state state)
{
    switch (state) {
    case MEMBER_DEAD:
        return ROSTER_DEAD;
    case MEMBER_SUSPECT:
        return ROSTER_SUSPECT;
    default:
        return ROSTER_ALIVE;
    }
}

static enum roster_change
apply_unknown(struct roster *roster, struct roster_entry *entry,
              const struct member_info *news)
{
    struct handle handle;

    if (news->state == MEMBER_DEAD) {
        return ROSTER_SAME;
    }
    if (entry == NULL) {
        entry = roster_add(roster, news, &handle);
    }
    if (entry == NULL) {
        return ROSTER_SAME;
    }
    copy_news(entry, news);
    roster_touch(roster, entry);
    return ROSTER_NEW;
}

static bool
is_newer(const struct member_info *info, uint32_t refutation,
         enum member_state state)
{
    return refutation > info->refutation ||
           (refutation == info->refutation && state > info->state);
}

/* News about the same start of a member. */
static enum roster_change
apply_same_start(struct roster *roster, struct roster_entry *entry,
                 const struct member_info *news)
{
    bool leaving = news->state == MEMBER_LEAVING;
    enum member_state state = leaving ? MEMBER_ALIVE : news->state;
    bool changed = leaving && !entry->leaving;
    enum roster_change change = changed ? ROSTER_LEAVING : ROSTER_SAME;

    entry->leaving = entry->leaving || leaving;
    if (is_newer(&entry->info, news->refutation, state)) {
        change = state == entry->info.state ? change : change_to(state);
        entry->info.refutation = news->refutation;
        entry->info.state = state;
        changed = true;
    }
    if (changed) {
        roster_touch(roster, entry);
    }
    return change;
}

/**
 * roster_apply() - merge news about another instance
 * @roster: the roster
 * @news: the news
 *
 * Return: what has become of its entry; ROSTER_SAME also for a change that
 * leaves the state as it was.
 */
enum roster_change
roster_apply(struct roster *roster, const struct member_info *news)
{
    struct roster_entry *entry = roster_find(roster, news->id, NULL);

    if (entry == NULL || entry->candidate) {
        return apply_unknown(roster, entry, news);
    }
    if (news->start < entry->info.start) {
        return ROSTER_SAME;
    }
    if (news->start > entry->info.start) {
        copy_news(entry, news);
        roster_touch(roster, entry);
        return news->state == MEMBER_DEAD ? ROSTER_DEAD : ROSTER_NEW;
    }
    return apply_same_start(roster, entry, news);
}

/**
 * roster_state() - state of an entry as others see it
 * @entry: the entry
 */
enum member_state
roster_state(const struct roster_entry *entry)
{
    return entry->leaving && entry->info.state == MEMBER_ALIVE
               ? MEMBER_LEAVING
               : entry->info.state;
}

/**
 * roster_is_member() - whether an instance takes part
 * @entry: the entry
 */
bool
roster_is_member(const struct roster_entry *entry)
{
    return !entry->candidate && entry->info.state != MEMBER_DEAD;
}

static bool
already_in(const struct member_info *news, int count, uint64_t id)
{
    for (int i = 0; i < count; i++) {
        if (news[i].id == id) {
            return true;
        }
    }
    return false;
}

static void
copy_out(struct member_info *news, const struct roster_entry *entry)
{
    *news = entry->info;
    news->state = roster_state(entry);
}

/* Calls still go to a member whose leaving or death isn't known, so that news
 * doesn't wait for the news of the members that are alive. */
static bool
takes_precedence(const struct roster_entry *entry)
{
    return entry->leaving || entry->info.state == MEMBER_DEAD;
}

/* Inserts an entry into the list of the newest ones. */
static int
insert_newest(struct roster_entry **picked, int count, int max,
              struct roster_entry *entry)
{
    int at = count;

    while (at > 0 && picked[at - 1]->changed < entry->changed) {
        at--;
    }
    if (at == max) {
        return count;
    }
    if (count < max) {
        count++;
    }
    memmove(&picked[at + 1], &picked[at],
            (size_t)(count - at - 1) * sizeof(struct roster_entry *));
    picked[at] = entry;
    return count;
}

/* One entry in turn, changed or not: repairs what lost messages left out. */
static int
add_rotation(struct roster *roster, struct member_info *news, int count)
{
    const struct roster_entry *entry;
    uint32_t cursor = roster->rotation;

    entry = table_next(&roster->entries, &cursor, NULL);
    roster->rotation = entry == NULL ? 0 : cursor;
    if (entry == NULL || !roster_is_member(entry) ||
        already_in(news, count, entry->info.id)) {
        return count;
    }
    copy_out(&news[count], entry);
    return count + 1;
}

static uint32_t
sends_for(uint32_t members)
{
    uint32_t log2 = 1;

    while (members > 1u << log2) {
        log2++;
    }
    return SENDS_FACTOR * log2;
}

/* Adds the newest entries, either those that take precedence or the others. */
static int
add_newest(struct roster *roster, struct member_info *news, int count, int max,
           bool precedence)
{
    struct roster_entry *picked[SWIM_NEWS_MAX];
    struct roster_entry *entry;
    uint32_t cursor = 0;
    uint32_t sends = sends_for(table_count(&roster->entries));
    int picked_count = 0;
    int room = max - count;

    while (room > 0 &&
           (entry = table_next(&roster->entries, &cursor, NULL)) != NULL) {
        if (entry->sends < sends && !entry->candidate &&
            takes_precedence(entry) == precedence &&
            !already_in(news, count, entry->info.id)) {
            picked_count = insert_newest(picked, picked_count, room, entry);
        }
    }
    for (int i = 0; i < picked_count; i++) {
        picked[i]->sends++;
        copy_out(&news[count++], picked[i]);
    }
    return count;
}

/**
 * roster_pick_news() - choose news for a message: first leaving and dead
 * members, then the others, each the newest first
 * @roster: the roster
 * @news: receives the news
 * @count: number of entries that @news has already
 * @max: size of @news
 *
 * Return: number of entries that @news has now.
 */
int
roster_pick_news(struct roster *roster, struct member_info *news, int count,
                 int max)
{
    count = add_newest(roster, news, count, max - ALIVE_NEWS_MIN, true);
    count = add_newest(roster, news, count, max, false);
    count = add_newest(roster, news, count, max, true);
    return count < max ? add_rotation(roster, news, count) : count;
}
