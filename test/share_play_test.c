/* Plays the feeds of one data centre in virtual time: which instance reads the
 * store, what it passes on, and how late the others know a change. */
#include <curl/curl.h>
#include <glib.h>
#include <json-c/json.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/view/fns.h"
#include "gate/follow/dat.h"
#include "gate/follow/fns.h"
#include "platform/dat.h"
#include "platform/fns.h"
#include "cases.h"
#include "memstore.h"

enum {
    INSTANCES = 20,
    APPLY_MS = 3000,     /* in which a change has to be in force */
    RESERVE_MS = 400,    /* of these, for the relay */
    FAULT_MS = 6000,     /* when the faults begin */
    STEP_MS = 10,        /* of the clock */
    CALL_MS = 100,       /* to read the store and decode what it answers */
    FAILED_MS = 1000,    /* until a call without an answer is given up */
    MESSAGE_MS = 20,     /* between two instances */
    CHANGES_FROM = -500, /* of the first change, counted from the fault */
    CHANGES_TO = 5000,
    CHANGES_STEP = 250,
};

/**
 * struct play_case - faults of a data centre, in which instances are counted
 * by rank
 * @frozen: the first ones, which stand still from the fault on
 * @cut: the first ones that the store doesn't answer, in turns of @cut_ms
 * @lag_ms: by which messages of rank 0 are late from the fault on
 * @unreached: the last ones, which messages of rank 0 don't reach
 * @others_call: instances but rank 0 may call the store after the fault
 */
struct play_case {
    const char *name;
    int frozen;
    int cut;
    int64_t cut_ms;
    int64_t lag_ms;
    int unreached;
    bool others_call;
};

/* Guards against an instance in touch with the store that knows a change
 * later than the deployment allows, because those that read for it are gone,
 * because their messages reach the others but not it, and because messages
 * that are old when they arrive count as news; and against calls to the store
 * while the reader does all that is needed. */
static const struct play_case play_cases[] = {
    {.name = "no_fault"},
    {.name = "reader_frozen", .frozen = 1, .others_call = true},
    {.name = "seven_frozen", .frozen = 7, .others_call = true},
    {.name = "twelve_frozen", .frozen = 12, .others_call = true},
    {.name = "nineteen_frozen", .frozen = 19, .others_call = true},
    {.name = "last_unreached", .unreached = 1, .others_call = true},
    {.name = "six_unreached", .unreached = 6, .others_call = true},
    {.name = "late_messages", .lag_ms = 4000, .others_call = true},
    {.name = "late_messages_unreached",
     .lag_ms = 2000,
     .unreached = 2,
     .others_call = true},
    {.name = "first_ones_cut", .cut = 2, .cut_ms = 2200, .others_call = true},
    {.name = "many_cut_in_turns",
     .cut = 9,
     .cut_ms = 1300,
     .others_call = true},
};

/**
 * struct letter - a message on its way
 * @from: index of the sender
 * @to: index of the recipient
 * @arrives_ms: when it arrives
 * @changes: owned; NULL for an ask
 * @ask: valid without @changes
 */
struct letter {
    int from;
    int to;
    int64_t arrives_ms;
    struct store_changes *changes;
    struct fresh_ask ask;
};

struct play;

/**
 * struct instance - one feed of the play, at the index of its rank
 * @port: receives what the feed reports; first member
 * @busy_until_ms: end of the call that it makes
 * @poll_ms: when it polls next
 * @calls: to the store since the fault
 */
struct instance {
    struct feed_port port;
    struct play *play;
    struct feed feed;
    struct gate_settings settings;
    int index;
    int64_t busy_until_ms;
    int64_t poll_ms;
    int calls;
};

struct play {
    const struct play_case *c;
    struct memstore store;
    struct instance instances[INSTANCES];
    GPtrArray *letters;
    int64_t now_ms;
};

static int
find_instance(const struct play *play, uint64_t id)
{
    for (int i = 0; i < INSTANCES; i++) {
        if (play->instances[i].feed.self.id == id) {
            return i;
        }
    }
    return -1;
}

static bool
is_frozen(const struct play *play, int index)
{
    return play->now_ms >= FAULT_MS && index < play->c->frozen;
}

static bool
is_cut(const struct play *play, int index)
{
    int64_t since_ms = play->now_ms - FAULT_MS;

    return since_ms >= 0 && index < play->c->cut &&
           since_ms / play->c->cut_ms % 2 == 0;
}

static bool
is_disturbed(const struct play *play, int index)
{
    return index < play->c->frozen || index < play->c->cut;
}

static void
send_letter(struct play *play, const struct letter *letter)
{
    bool faulty = play->now_ms >= FAULT_MS && letter->from == 0;
    struct letter *sent;

    if (faulty && letter->to >= INSTANCES - play->c->unreached) {
        store_changes_free(letter->changes);
        return;
    }
    sent = g_memdup2(letter, sizeof(*letter));
    sent->arrives_ms =
        play->now_ms + MESSAGE_MS + (faulty ? play->c->lag_ms : 0);
    g_ptr_array_add(play->letters, sent);
}

static struct store_changes *
copy_changes(const struct store_changes *changes, uint64_t from)
{
    struct store_changes *copy = g_memdup2(changes, sizeof(*changes));

    copy->from = from;
    copy->fresh = changes->fresh != NULL ? g_array_copy(changes->fresh) : NULL;
    copy->items.items = g_new0(struct store_item, changes->items.count + 1);
    for (int i = 0; i < changes->items.count; i++) {
        copy->items.items[i] = changes->items.items[i];
        copy->items.items[i].key = g_strdup(changes->items.items[i].key);
        copy->items.items[i].value = g_strdup(changes->items.items[i].value);
    }
    return copy;
}

static bool
take_config(struct feed_port *port, struct gate_config *config)
{
    (void)port;
    (void)config;
    return true;
}

static bool
take_target(struct feed_port *port, const struct target_change *change)
{
    (void)port;
    (void)change;
    return true;
}

static bool
take_listed(struct feed_port *port)
{
    (void)port;
    return true;
}

static bool
take_members(struct feed_port *port, const GArray *members)
{
    (void)port;
    (void)members;
    return true;
}

static bool
take_holder(struct feed_port *port, const struct holder *holder)
{
    (void)port;
    (void)holder;
    return true;
}

static void
pass_on(struct feed_port *port, const struct store_changes *changes)
{
    struct instance *sender = (struct instance *)port;

    for (int i = 0; i < INSTANCES; i++) {
        struct letter letter = {.from = sender->index, .to = i};

        if (i != sender->index) {
            letter.changes = copy_changes(changes, sender->feed.self.id);
            send_letter(sender->play, &letter);
        }
    }
}

static void
take_confirmation(struct feed_port *port,
                  const struct confirmation *confirmation)
{
    (void)port;
    (void)confirmation;
}

static void
pass_ask(struct feed_port *port, uint64_t member, int64_t sent_ms)
{
    struct instance *sender = (struct instance *)port;
    struct letter letter = {.from = sender->index,
                            .to = find_instance(sender->play, member),
                            .ask = {sender->feed.self.id, sent_ms}};

    send_letter(sender->play, &letter);
}

static void
ask_contact(struct feed_port *port)
{
    (void)port;
}

static const struct feed_port_ops port_ops = {
    take_config, take_target,       take_listed, take_members, take_holder,
    pass_on,     take_confirmation, pass_ask,    ask_contact,
};

static void
receive(struct play *play, struct letter *letter)
{
    struct instance *instance = &play->instances[letter->to];

    if (letter->changes == NULL) {
        fresh_add_ask(&instance->feed.fresh, &letter->ask);
    }
    else {
        int64_t wait_ms =
            feed_take_changes(&instance->feed, letter->changes, play->now_ms);

        if (instance->feed.share.rank > 0) {
            instance->poll_ms = play->now_ms + wait_ms;
        }
    }
}

/* An instance in a call, or frozen, reads its messages afterwards. */
static void
receive_all(struct play *play)
{
    for (guint i = 0; i < play->letters->len;) {
        struct letter *letter = play->letters->pdata[i];
        bool reads = !is_frozen(play, letter->to) &&
                     play->now_ms >= play->instances[letter->to].busy_until_ms;

        if (!reads || letter->arrives_ms > play->now_ms) {
            i++;
            continue;
        }
        receive(play, letter);
        g_ptr_array_remove_index(play->letters, i);
    }
}

static void
poll_instance(struct play *play, struct instance *instance)
{
    int calls = play->store.read_count;

    play->store.down = is_cut(play, instance->index);
    instance->poll_ms =
        play->now_ms + feed_poll(&instance->feed, play->now_ms);
    if (play->store.read_count > calls) {
        instance->calls += play->now_ms >= FAULT_MS ? 1 : 0;
        instance->busy_until_ms =
            play->now_ms + (play->store.down ? FAILED_MS : CALL_MS);
        instance->poll_ms += instance->busy_until_ms - play->now_ms;
    }
    play->store.down = false;
}

static void
step(struct play *play)
{
    play->now_ms += STEP_MS;
    memstore_set_time(&play->store, play->now_ms);
    receive_all(play);
    for (int i = 0; i < INSTANCES; i++) {
        struct instance *instance = &play->instances[i];

        if (is_frozen(play, i) || play->now_ms < instance->busy_until_ms) {
            continue;
        }
        feed_ask(&instance->feed, play->now_ms);
        if (play->now_ms >= instance->poll_ms) {
            poll_instance(play, instance);
        }
    }
}

static int
compare_ids(const void *a, const void *b)
{
    const struct gate_member *first = a;
    const struct gate_member *second = b;

    return (first->id > second->id) - (first->id < second->id);
}

static void
list_members(struct memstore *store, struct gate_member *members)
{
    for (int i = 0; i < INSTANCES; i++) {
        char *key;
        char *text;

        g_snprintf(members[i].name, NAME_MAX_BYTES, "m%d", i);
        g_strlcpy(members[i].zone, "z", NAME_MAX_BYTES);
        g_strlcpy(members[i].front_address, "127.0.0.1:1", ADDRESS_MAX_BYTES);
        g_strlcpy(members[i].peer_address, "127.0.0.1:2", ADDRESS_MAX_BYTES);
        members[i].id = hash_text(members[i].name);
        members[i].started_ms = 1;
        key = g_strdup_printf("%s%s", member_prefix, members[i].name);
        text = member_format(&members[i]);
        memstore_put(store, key, text, 0);
        g_free(text);
        g_free(key);
    }
    qsort(members, INSTANCES, sizeof(members[0]), compare_ids);
}

static void
put_config(struct memstore *store, int version)
{
    char *text = g_strdup_printf(
        "{\"version\":%d,\"routes\":[],\"services\":[]}", version);

    memstore_put(store, "op/config", text, 0);
    g_free(text);
}

static struct play *
start(const struct play_case *c)
{
    struct gate_member members[INSTANCES] = {0};
    struct play *play = g_new0(struct play, 1);
    struct err err = {0};

    play->c = c;
    play->letters = g_ptr_array_new_with_free_func(g_free);
    memstore_init(&play->store);
    put_config(&play->store, 1);
    list_members(&play->store, members);
    for (int i = 0; i < INSTANCES; i++) {
        struct instance *instance = &play->instances[i];

        instance->port.ops = &port_ops;
        instance->play = play;
        instance->index = i;
        instance->settings.heartbeat_ms = 1200;
        instance->settings.limits.change_apply_ms = APPLY_MS;
        g_strlcpy(instance->settings.name, members[i].name, NAME_MAX_BYTES);
        g_strlcpy(instance->settings.zone, "z", NAME_MAX_BYTES);
        g_assert_true(feed_init(&instance->feed, &instance->settings,
                                &play->store.store, &platform_decode,
                                &instance->port, &err));
    }
    return play;
}

static void
end(struct play *play)
{
    for (guint i = 0; i < play->letters->len; i++) {
        store_changes_free(
            ((struct letter *)play->letters->pdata[i])->changes);
    }
    for (int i = 0; i < INSTANCES; i++) {
        feed_clear(&play->instances[i].feed);
    }
    g_ptr_array_free(play->letters, TRUE);
    memstore_clear(&play->store);
    g_free(play);
}

/* Returns the number of undisturbed instances that don't know a change in
 * time that is made at @change_ms. */
static int
count_late(const struct play_case *c, int64_t change_ms)
{
    struct play *play = start(c);
    int late = 0;

    while (play->now_ms < change_ms) {
        step(play);
    }
    put_config(&play->store, 2);
    while (play->now_ms < change_ms + APPLY_MS - RESERVE_MS) {
        step(play);
    }
    for (int i = 0; i < INSTANCES; i++) {
        if (!is_disturbed(play, i) &&
            play->instances[i].feed.config_version < 2) {
            g_test_message("rank %d doesn't know the change of %d ms", i,
                           (int)(change_ms - FAULT_MS));
            late++;
        }
        if (!c->others_call && i > 0) {
            g_assert_cmpint(play->instances[i].calls, ==, 0);
        }
    }
    end(play);
    return late;
}

static void
test_play(gconstpointer data)
{
    const struct play_case *c = data;
    int late = 0;

    for (int64_t ms = CHANGES_FROM; ms <= CHANGES_TO; ms += CHANGES_STEP) {
        late += count_late(c, FAULT_MS + ms);
    }
    g_assert_cmpint(late, ==, 0);
}

int
main(int argc, char **argv)
{
    static const struct cases groups[] = {
        CASES("/share_play/in_time", play_cases, test_play),
    };

    g_test_init(&argc, &argv, NULL);
    cases_add(groups, G_N_ELEMENTS(groups));
    return g_test_run();
}
