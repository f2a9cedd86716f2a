/* Tests of what another writer's item in the store does to the others. */
#include <curl/curl.h>
#include <glib.h>
#include <json-c/json.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

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
#include "script.h"

/*
 * Guards against an odd item that fails the response it stands in, hides or
 * replaces another item, or is read as a deletion.
 *
 * The item stands between servers/a and servers/z. What is read: KEY=VALUE, or
 * "KEY gone" for a deletion; an unreadable value is empty.
 */
struct item_case {
    const char *name;
    const char *item;
    const char *read; /* of the item */
};

#define ITEM(value) "{\"key\":\"servers/m\",\"revision\":6" value "}"

static const struct item_case item_cases[] = {
    {"sound", ITEM(",\"value\":\"bQ==\""), "servers/m=m "},
    {"deleted", ITEM(",\"deleted\":true"), "servers/m gone "},
    {"empty", ITEM(",\"value\":\"\""), "servers/m= "},
    {"no_value", ITEM(""), "servers/m= "},
    {"null_value", ITEM(",\"value\":null"), "servers/m= "},
    {"number_value", ITEM(",\"value\":7"), "servers/m= "},
    {"object_value", ITEM(",\"value\":{\"value\":\"bQ==\"}"), "servers/m= "},
    {"deleted_as_number", ITEM(",\"deleted\":1"), "servers/m gone "},
    {"not_deleted", ITEM(",\"deleted\":false,\"value\":\"bQ==\""),
     "servers/m=m "},
    {"value_without_padding", ITEM(",\"value\":\"bQ\""), "servers/m= "},
    {"value_with_spaces", ITEM(",\"value\":\"b Q==\""), "servers/m= "},
    {"value_with_bytes_of_no_code", ITEM(",\"value\":\"b\xff==\""),
     "servers/m= "},
    {"value_behind_padding", ITEM(",\"value\":\"bQ==bQ==\""), "servers/m= "},
    {"no_revision", "{\"key\":\"servers/m\",\"value\":\"bQ==\"}", ""},
    {"revision_0", ITEM(",\"revision\":0,\"value\":\"bQ==\""), ""},
    {"revision_negative", ITEM(",\"revision\":-6,\"value\":\"bQ==\""), ""},
    {"revision_as_text", ITEM(",\"revision\":\"x\",\"value\":\"bQ==\""), ""},
    {"revision_2_63",
     ITEM(",\"revision\":9223372036854775808,\"value\":\"bQ==\""), ""},
    {"revision_1e400", ITEM(",\"revision\":1e400,\"value\":\"bQ==\""), ""},
    {"null", "null", ""},
    {"array", "[\"key\",\"servers/m\"]", ""},
    {"no_key", "{\"value\":\"bQ==\",\"revision\":6}", ""},
    {"nul_in_key",
     "{\"key\":\"servers/a\\u0000b\",\"value\":\"bQ==\",\"revision\":6}", ""},
    {"nul_in_value", ITEM(",\"value\":\"bQ==\\u0000\""), "servers/m= "},
    {"number_key", "{\"key\":1,\"value\":\"bQ==\",\"revision\":6}", ""},
};

static char *
http_response(const char *body)
{
    return g_strdup_printf("HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
                           strlen(body), body);
}

static char *
page_with(const char *item)
{
    char *items = g_strdup_printf(
        "[{\"key\":\"servers/a\",\"value\":\"YQ==\",\"revision\":5},%s,"
        "{\"key\":\"servers/z\",\"value\":\"eg==\",\"revision\":7}]",
        item);
    char *page = g_strdup_printf(
        "{\"items\":%s,\"events\":%s,\"store_revision\":9}", items, items);

    g_free(items);
    return page;
}

static char *
items_text(const struct store_items *items)
{
    GString *text = g_string_new(NULL);

    for (int i = 0; i < items->count; i++) {
        const struct store_item *item = &items->items[i];

        if (item->value == NULL) {
            g_string_append_printf(text, "%s gone ", item->key);
        }
        else {
            g_string_append_printf(text, "%s=%s ", item->key, item->value);
        }
    }
    return g_string_free(text, FALSE);
}

static void
check_items(struct store_items *items, const char *read)
{
    char *text = items_text(items);
    char *wanted = g_strdup_printf("servers/a=a %sservers/z=z ", read);

    g_assert_cmpstr(text, ==, wanted);
    g_assert_cmpint(items->revision, ==, 9);
    store_items_clear(items);
    g_free(wanted);
    g_free(text);
}

static void
start_store(struct platform_store *store, struct scripted_target *script,
            const char *const *answers)
{
    struct err err = {0};
    char address[ADDRESS_MAX_BYTES];

    script_start(script, answers, 1);
    g_snprintf(address, sizeof(address), "127.0.0.1:%d", script->ports[0]);
    memset(store, 0, sizeof(*store));
    g_assert_true(platform_store_init(store, address, 0, &err));
}

static void
stop_store(struct platform_store *store, struct scripted_target *script)
{
    platform_client_clear(&store->client);
    script_stop(script);
}

static void
check_page(const char *item, const char *read)
{
    char *page = page_with(item);
    char *response = http_response(page);
    const char *answers[] = {response, response, NULL};
    struct scripted_target script;
    struct platform_store store;
    struct store_items list = {0};
    struct store_items changes = {0};
    struct err err = {0};

    start_store(&store, &script, answers);
    g_assert_true(store.base.ops->list(&store.base, "", "", &list, &err));
    check_items(&list, read);
    g_assert_true(
        store.base.ops->watch(&store.base, "", 1, 10, &changes, &err));
    check_items(&changes, read);
    stop_store(&store, &script);
    g_free(response);
    g_free(page);
}

static void
test_item(gconstpointer data)
{
    const struct item_case *c = data;

    check_page(c->item, c->read);
}

/*
 * Guards against an item nested so deeply that the parser refuses the response
 * it stands in, or that the stack overflows.
 *
 * @depth arrays or objects stand at the "%s" of the item.
 */
struct deep_case {
    const char *name;
    const char *item;
    const char *open;
    const char *middle;
    const char *close;
    int depth;
    const char *read; /* of the item */
};

#define VALUE ITEM(",\"value\":%s")
#define OTHER ITEM(",\"value\":\"bQ==\",\"x\":%s")

static const struct deep_case deep_cases[] = {
    {"value_2", VALUE, "[", "1", "]", 2, "servers/m= "},
    {"value_28", VALUE, "[", "1", "]", 28, "servers/m= "},
    {"value_29", VALUE, "[", "1", "]", 29, "servers/m= "},
    {"value_40", VALUE, "[", "1", "]", 40, "servers/m= "},
    {"value_100000", VALUE, "[", "1", "]", 100000, "servers/m= "},
    {"empty_100000", VALUE, "[", "", "]", 100000, "servers/m= "},
    {"object_100000", VALUE, "{\"a\":", "1", "}", 100000, "servers/m= "},
    {"spaced_100000", VALUE, "[ ", "1", ", 2 ]", 100000, "servers/m= "},
    {"string_40", VALUE, "[", "\"]]\\\"]]{\"", "]", 40, "servers/m= "},
    {"single_quotes_40", VALUE, "[", "']]\\']]{\"'", "]", 40, "servers/m= "},
    {"comment_40", VALUE, "[", "/*]]\"*/1", "]", 40, "servers/m= "},
    {"line_comment_40", VALUE, "[", "//]]\"\n1", "]", 40, "servers/m= "},
    {"other_member_100000", OTHER, "[", "1", "]", 100000, "servers/m=m "},
    {"brackets_in_string", OTHER, "", "\"[[[[[[{{{\\\"[\"", "", 0,
     "servers/m=m "},
};

static char *
deep_item(const struct deep_case *c)
{
    GString *nested = g_string_new(NULL);
    char **parts = g_strsplit(c->item, "%s", 2);
    char *item;

    for (int i = 0; i < c->depth; i++) {
        g_string_append(nested, c->open);
    }
    g_string_append(nested, c->middle);
    for (int i = 0; i < c->depth; i++) {
        g_string_append(nested, c->close);
    }
    item = g_strconcat(parts[0], nested->str, parts[1], NULL);
    g_string_free(nested, TRUE);
    g_strfreev(parts);
    return item;
}

static void
test_deep(gconstpointer data)
{
    const struct deep_case *c = data;
    char *item = deep_item(c);

    check_page(item, c->read);
    g_free(item);
}

/*
 * Guards against a response that ends the watch for good, makes the feed list
 * all keys at each poll, or ends a list before its last page.
 */
struct revision_case {
    const char *name;
    const char *response;
    int64_t revision; /* 0 for a failed call */
};

#define PAGE(rest) "{\"items\":[],\"events\":[]" rest "}"

static const struct revision_case revision_cases[] = {
    {"sound", PAGE(",\"store_revision\":9"), 9},
    {"missing", PAGE(""), 0},
    {"null", PAGE(",\"store_revision\":null"), 0},
    {"zero", PAGE(",\"store_revision\":0"), 0},
    {"negative", PAGE(",\"store_revision\":-9"), 0},
    {"fraction", PAGE(",\"store_revision\":9.5"), 0},
    {"array", PAGE(",\"store_revision\":[9]"), 0},
    {"2_63", PAGE(",\"store_revision\":9223372036854775807"), 0},
    {"2_64", PAGE(",\"store_revision\":18446744073709551616"), 0},
    {"1e400", PAGE(",\"store_revision\":1e400"), 0},
    {"last_page", PAGE(",\"store_revision\":9,\"truncated\":false"), 9},
    {"truncated_without_keys",
     "{\"items\":[{}],\"events\":[{}],\"store_revision\":9,\"truncated\":true}",
     0},
    {"no_lists", "{\"store_revision\":9}", 0},
    {"lists_as_text", "{\"items\":\"\",\"events\":\"\",\"store_revision\":9}",
     0},
    {"no_object", "[]", 0},
};

static void
check_revision(bool succeeded, struct store_items *items,
               const struct err *err, int64_t revision)
{
    g_assert_cmpint(succeeded, ==, revision != 0);
    g_assert_cmpint(err->kind, ==, succeeded ? ERR_NONE : ERR_BAD_JSON);
    if (succeeded) {
        g_assert_cmpint(items->revision, ==, revision);
    }
    store_items_clear(items);
}

static void
test_revision(gconstpointer data)
{
    const struct revision_case *c = data;
    char *response = http_response(c->response);
    const char *answers[] = {response, response, NULL};
    struct scripted_target script;
    struct platform_store store;
    struct store_items list = {0};
    struct store_items changes = {0};
    struct err list_err = {0};
    struct err watch_err = {0};
    bool listed;
    bool watched;

    start_store(&store, &script, answers);
    listed = store.base.ops->list(&store.base, "", "", &list, &list_err);
    watched =
        store.base.ops->watch(&store.base, "", 1, 10, &changes, &watch_err);
    check_revision(listed, &list, &list_err, c->revision);
    check_revision(watched, &changes, &watch_err, c->revision);
    stop_store(&store, &script);
    g_free(response);
}

/*
 * Guards against an entry that stays in use after it turned odd, one that
 * costs the entries next to it, and one that fills the log each time it is
 * written.
 *
 * Steps: T write target a, O write it odd, D delete it, U write target b odd,
 * G write a with more items than are kept, L one whose id has a line break, M
 * write an instance, N write it odd, C write a configuration, X write it odd,
 * F the store drops its history, r poll once.
 */
struct feed_case {
    const char *name;
    const char *steps;
    int targets;
    int members;
    int version;
    int lines; /* about entries that can't be read, or not in full */
};

static const struct feed_case feed_cases[] = {
    {"sound", "TMCr", 1, 1, 1, 0},
    {"odd_from_the_start", "ONXr", 0, 0, 0, 3},
    {"odd_beside_sound", "UTUMXr", 1, 1, 0, 2},
    {"target_turns_odd", "TMCrOr", 0, 1, 1, 1},
    {"member_turns_odd", "TMCrNr", 1, 0, 1, 1},
    {"config_turns_odd", "TMCrXr", 1, 1, 1, 1},
    {"member_is_back", "TMCrNrMr", 1, 1, 1, 1},
    {"listed_again", "TMCrNFrr", 1, 0, 1, 1},
    {"written_odd_again", "TMCrOrOrONXrONXr", 0, 0, 1, 3},
    {"two_odd", "OUrOUr", 0, 0, 0, 2},
    {"odd_after_sound", "OrTrOr", 0, 0, 0, 2},
    {"odd_after_deletion", "OrDrOr", 0, 0, 0, 2},
    {"odd_member_after_sound", "NrMrNr", 0, 0, 0, 2},
    {"line_break_in_id", "Lr", 0, 0, 0, 1},
    {"more_items_than_kept", "GrGr", 1, 0, 0, 0},
    {"odd_config_after_sound", "XrCrXr", 0, 0, 1, 2},
};

struct feed_fixture {
    struct feed_port port;
    struct memstore store;
    struct feed feed;
    int members;
    int version;
};

static struct feed_fixture *
fixture_of(struct feed_port *port)
{
    return (struct feed_fixture *)port;
}

static bool
on_config(struct feed_port *port, struct gate_config *config)
{
    fixture_of(port)->version = (int)config->version;
    return true;
}

static bool
on_target_change(struct feed_port *port, const struct target_change *change)
{
    (void)port;
    (void)change;
    return true;
}

static bool
on_targets_listed(struct feed_port *port)
{
    (void)port;
    return true;
}

static bool
on_members(struct feed_port *port, const GArray *members)
{
    fixture_of(port)->members = (int)members->len;
    return true;
}

static bool
on_holder(struct feed_port *port, const struct holder *holder)
{
    (void)port;
    (void)holder;
    return true;
}

static void
drop_confirmation(struct feed_port *port,
                  const struct confirmation *confirmation)
{
    (void)port;
    (void)confirmation;
}

static const struct feed_port_ops port_ops = {
    on_config,
    on_target_change,
    on_targets_listed,
    on_members,
    on_holder,
    NULL,
    drop_confirmation,
    NULL,
    NULL,
};

struct feed_step {
    char step;
    const char *key;
    const char *value;
};

#define TARGET(port)                                                          \
    "{\"service\":\"s\",\"address\":\"127.0.0.1:" port "\",\"zone\":\"z\","   \
    "\"slots\":4,\"state\":\"ready\"}"
#define MEMBER(port)                                                          \
    "{\"name\":\"n\",\"zone\":\"z\",\"front\":\"127.0.0.1:" port              \
    "\",\"peer\":\"127.0.0.1:2\"}"

static const struct feed_step feed_steps[] = {
    {'T', "servers/a", TARGET("1")},
    {'O', "servers/a", TARGET("65536")},
    {'U', "servers/b", "[[["},
    {'L', "servers/b\nms=1 event=x_unreadable y", "[[["},
    {'M', "turmeric/members/n", MEMBER("1")},
    {'N', "turmeric/members/n", MEMBER("65536")},
    {'C', "op/config", "{\"version\":1}"},
    {'X', "op/config", "{\"version\":1,\"routes\":1}"},
    {'P', "op/config", "{\"version\":2,\"services\":[7,{\"name\":\"s\"},8]}"},
    {'Q', "op/config", "{\"version\":3,\"services\":[7]}"},
    {'H', "servers/a",
     "{\"service\":\"s\",\"address\":\"127.0.0.1:1\",\"zone\":\"z\","
     "\"slots\":4,\"state\":\"ready\",\"models\":[7]}"},
};

/* All names are known, as those of a configuration are. */
static void
put_full_target(struct memstore *store)
{
    GString *entry = g_string_new(TARGET("1"));

    g_string_truncate(entry, entry->len - 1);
    g_string_append(entry, ",\"models\":[");
    for (int i = 0; i < 2 * TARGET_ITEMS_MAX; i++) {
        char *name = g_strdup_printf("model-%d", i);

        g_quark_from_string(name);
        g_string_append_printf(entry, "%s{\"name\":\"%s\"}", i > 0 ? "," : "",
                               name);
        g_free(name);
    }
    g_string_append(entry, "]}");
    memstore_put(store, "servers/a", entry->str, 0);
    g_string_free(entry, TRUE);
}

static void
apply_step(struct feed_fixture *fixture, char step)
{
    for (size_t i = 0; i < G_N_ELEMENTS(feed_steps); i++) {
        if (feed_steps[i].step == step) {
            memstore_put(&fixture->store, feed_steps[i].key,
                         feed_steps[i].value, 0);
        }
    }
    if (step == 'G') {
        put_full_target(&fixture->store);
    }
    if (step == 'D') {
        memstore_delete(&fixture->store, "servers/a");
    }
    if (step == 'F') {
        fixture->store.compacted_revision = fixture->store.revision;
    }
    if (step == 'r') {
        feed_poll(&fixture->feed, 1);
    }
}

/* Returns the number of log lines with one of two texts that the steps
 * write. */
static int
run_steps(struct feed_fixture *fixture, const char *steps, const char *text,
          const char *other_text)
{
    FILE *log = tmpfile();
    int standard_output = dup(STDOUT_FILENO);
    char line[1024];
    int lines = 0;

    fflush(stdout);
    g_assert_cmpint(dup2(fileno(log), STDOUT_FILENO), >=, 0);
    for (const char *step = steps; *step != '\0'; step++) {
        apply_step(fixture, *step);
    }
    g_assert_cmpint(dup2(standard_output, STDOUT_FILENO), >=, 0);
    close(standard_output);
    rewind(log);
    while (fgets(line, sizeof(line), log) != NULL) {
        lines +=
            strstr(line, text) != NULL || strstr(line, other_text) != NULL;
    }
    fclose(log);
    return lines;
}

static void
test_feed(gconstpointer data)
{
    const struct feed_case *c = data;
    static const struct gate_settings settings = {.name = "m0", .zone = "z"};
    struct feed_fixture fixture = {.port = {&port_ops}};
    struct err err = {0};

    memstore_init(&fixture.store);
    g_assert_true(feed_init(&fixture.feed, &settings, &fixture.store.store,
                            &platform_decode, &fixture.port, &err));
    g_assert_cmpint(run_steps(&fixture, c->steps, "_unreadable ", "_cut "), ==,
                    c->lines);
    g_assert_cmpint(g_hash_table_size(fixture.feed.registry.entries), ==,
                    c->targets);
    g_assert_cmpint(fixture.members, ==, c->members);
    g_assert_cmpint(fixture.version, ==, c->version);
    feed_clear(&fixture.feed);
    memstore_clear(&fixture.store);
}

/* Guards against a part that is left out without a word, and against a line
 * for each time that it is read. */
struct told_case {
    const char *name;
    const char *steps;
    const char *event;
    int lines;
    int version;
    int parts; /* that are counted */
};

static const struct told_case told_cases[] = {
    {"config_whole", "Cr", "event=config_part", 0, 1, 0},
    {"config_in_part", "Pr", "part=\"services[0]: not an object\"", 1, 2, 2},
    {"config_two_parts", "Pr", "event=config_part_unusable version=2 ", 2, 2,
     2},
    {"config_sum", "Pr", "event=config_partly_used version=2 unusable=2", 1, 2,
     2},
    {"config_listed_again", "PrFrr", "event=config_partly_used", 1, 2, 2},
    {"config_written_again", "PrPr", "event=config_partly_used", 1, 2, 2},
    {"config_newer", "PrQr", "event=config_partly_used", 2, 3, 3},
    {"config_after_sound", "CrPr", "event=config_partly_used", 1, 2, 2},
    {"config_missing", "Pr",
     "event=config_missing version=2 members=4 "
     "defaults_of=\"limits.max_header_bytes ",
     1, 2, 2},
    {"config_missing_listed_again", "PrFrr", "event=config_missing", 1, 2, 2},
    {"items_cut", "Gr", "event=target_items_unknown target=a cut=96 ", 1, 0,
     0},
    {"items_cut_again", "GrGrGr", "event=target_items_unknown", 1, 0, 0},
    {"items_unreadable", "Hr", "cut=0 unreadable=1 limit=96", 1, 0, 0},
    {"items_sound_between", "HrTrHr", "event=target_items_unknown", 2, 0, 0},
    {"items_of_another", "HrDrHr", "event=target_items_unknown", 2, 0, 0},
};

static void
test_told(gconstpointer data)
{
    const struct told_case *c = data;
    static const struct gate_settings settings = {.name = "m0", .zone = "z"};
    struct feed_fixture fixture = {.port = {&port_ops}};
    uint64_t parts = counter_read(CTR_CONFIG_PARTS_UNUSABLE);
    struct err err = {0};

    memstore_init(&fixture.store);
    g_assert_true(feed_init(&fixture.feed, &settings, &fixture.store.store,
                            &platform_decode, &fixture.port, &err));
    g_assert_cmpint(run_steps(&fixture, c->steps, c->event, c->event), ==,
                    c->lines);
    g_assert_cmpint(fixture.version, ==, c->version);
    g_assert_cmpint(counter_read(CTR_CONFIG_PARTS_UNUSABLE) - parts, ==,
                    c->parts);
    feed_clear(&fixture.feed);
    memstore_clear(&fixture.store);
}

int
main(int argc, char **argv)
{
    static const struct cases groups[] = {
        CASES("/entries/item", item_cases, test_item),
        CASES("/entries/deep", deep_cases, test_deep),
        CASES("/entries/revision", revision_cases, test_revision),
        CASES("/entries/feed", feed_cases, test_feed),
        CASES("/entries/told", told_cases, test_told),
    };

    g_test_init(&argc, &argv, NULL);
    cases_add(groups, G_N_ELEMENTS(groups));
    return g_test_run();
}
