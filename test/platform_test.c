/* Tests of the platform adapter with malformed and unusual documents. */
#include <curl/curl.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <json-c/json.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/view/fns.h"
#include "gate/follow/dat.h"
#include "gate/follow/fns.h"
#include "gate/relay/dat.h"
#include "platform/dat.h"
#include "platform/fns.h"
#include "cases.h"
#include "script.h"
#include "support.h"

/* Guards against other programs' entries that are taken for targets. */
struct target_case {
    const char *name;
    const char *entry;
    bool usable;
};

#define ENTRY(rest)                                                           \
    "{\"service\":\"s\",\"address\":\"10.0.0.1:1\",\"zone\":\"z\"," rest "}"

#define AT(address)                                                           \
    "{\"service\":\"s\",\"address\":\"" address "\",\"zone\":\"z\","          \
    "\"slots\":4,\"state\":\"ready\"}"

#define SLOTS(slots) ENTRY("\"state\":\"ready\",\"slots\":" slots)
#define BORN(born) SLOTS("4,\"born\":" born)

static const struct target_case target_cases[] = {
    {"ready", ENTRY("\"slots\":4,\"state\":\"ready\""), true},
    {"draining", ENTRY("\"slots\":4,\"state\":\"draining\""), true},
    {"new_fields", ENTRY("\"slots\":4,\"state\":\"ready\",\"x\":[1]"), true},
    {"unknown_state", ENTRY("\"slots\":4,\"state\":\"asleep\""), false},
    {"no_state", ENTRY("\"slots\":4"), false},
    {"slots_as_text", ENTRY("\"slots\":\"4\",\"state\":\"ready\""), false},
    {"no_slots", ENTRY("\"state\":\"ready\""), false},
    {"state_as_number", ENTRY("\"slots\":4,\"state\":1"), false},
    {"no_service",
     "{\"address\":\"a\",\"zone\":\"z\",\"slots\":4,\"state\":\"ready\"}",
     false},
    {"array", "[1,2]", false},
    {"nul_in_state", ENTRY("\"slots\":4,\"state\":\"ready\\u0000\""), false},
    {"invalid_json", "\xff\xfe{", false},
    {"empty", "", false},
    {"port_0", AT("10.0.0.1:0"), false},
    {"port_65535", AT("10.0.0.1:65535"), true},
    {"port_65536", AT("10.0.0.1:65536"), false},
    {"port_99999", AT("10.0.0.1:99999"), false},
    {"port_of_ten_digits", AT("10.0.0.1:4294967297"), false},
    {"port_negative", AT("10.0.0.1:-1"), false},
    {"port_signed", AT("10.0.0.1:+80"), false},
    {"port_as_text", AT("10.0.0.1:http"), false},
    {"port_empty", AT("10.0.0.1:"), false},
    {"port_missing", AT("10.0.0.1"), false},
    {"port_behind_space", AT("10.0.0.1: 80"), false},
    {"address_with_newline", AT("10.0.0.1:80\\n"), false},
    {"address_with_path", AT("10.0.0.1:80/x"), false},
    {"address_with_spaces", AT(" 10.0.0.1:80"), false},
    {"address_empty", AT(""), false},
    {"address_too_long",
     AT("10.0.0.1:000000000000000000000000000000000000000000000000000000000"
        "00000000000000000000000000000000000000000000000000000000000000000080"),
     false},
    {"host_name", AT("engine.example:80"), false},
    {"host_out_of_range", AT("10.0.0.256:80"), false},
    {"ipv6", AT("[::1]:80"), true},
    {"ipv6_without_brackets", AT("::1:80"), false},
    {"ipv6_unclosed", AT("[::1:80"), false},
    {"address_as_number",
     "{\"service\":\"s\",\"address\":80,\"zone\":\"z\",\"slots\":4,"
     "\"state\":\"ready\"}",
     false},
    {"address_as_object",
     "{\"service\":\"s\",\"address\":{\"port\":80},\"zone\":\"z\",\"slots\":4,"
     "\"state\":\"ready\"}",
     false},
    {"models_as_text",
     ENTRY("\"slots\":4,\"state\":\"ready\",\"models\":\"m\""), false},
    {"models_of_numbers",
     ENTRY("\"slots\":4,\"state\":\"ready\",\"models\":[1,null,{}]"), true},
    {"coming_of_nulls",
     ENTRY("\"slots\":4,\"state\":\"ready\",\"coming\":[null,1,{},\"a\"]"),
     true},
    {"at_hand_as_text",
     ENTRY("\"slots\":4,\"state\":\"ready\",\"at_hand\":\"m\""), false},
    {"models_null", SLOTS("4,\"models\":null"), true},
    {"models_object", SLOTS("4,\"models\":{\"name\":\"m\"}"), false},
    {"adapters_as_text",
     SLOTS("4,\"models\":[{\"name\":\"m\",\"adapters\":\"a1\"}]"), false},
    {"adapters_null",
     SLOTS("4,\"models\":[{\"name\":\"m\",\"adapters\":null}]"), true},
    {"coming_as_number", SLOTS("4,\"coming\":1"), false},
    {"coming_null", SLOTS("4,\"coming\":null"), true},
    {"at_hand_null", SLOTS("4,\"at_hand\":null"), true},
    {"at_hand_array", SLOTS("4,\"at_hand\":[]"), false},
    {"in_memory_as_text", SLOTS("4,\"at_hand\":{\"in_memory\":\"m\"}"), false},
    {"on_disk_object", SLOTS("4,\"at_hand\":{\"on_disk\":{}}"), false},
    {"on_disk_null", SLOTS("4,\"at_hand\":{\"on_disk\":null}"), true},
    {"names_odd",
     SLOTS(
         "4,\"models\":[{\"name\":\"\"},{\"name\":\"/\"},{\"name\":\"a/b/c\"},{\"name\":\"a\\nb\"},{\"name\":[\"m\"]}]"),
     true},
    {"slots_0", SLOTS("0"), false},
    {"slots_1", SLOTS("1"), true},
    {"slots_negative", SLOTS("-1"), false},
    {"slots_minus_0", SLOTS("-0"), false},
    {"slots_100001", SLOTS("100001"), false},
    {"slots_2_31", SLOTS("2147483648"), false},
    {"slots_2_32_and_4", SLOTS("4294967300"), false},
    {"slots_2_63", SLOTS("9223372036854775808"), false},
    {"slots_of_many_digits", SLOTS("9999999999999999999999999999999999"),
     false},
    {"slots_1e400", SLOTS("1e400"), false},
    {"slots_fraction", SLOTS("4.5"), false},
    {"slots_nan", SLOTS("NaN"), false},
    {"slots_null", SLOTS("null"), false},
    {"slots_array", SLOTS("[4]"), false},
    {"slots_object", SLOTS("{\"slots\":4}"), false},
    {"slots_bool", SLOTS("true"), false},
    {"born", BORN("1764892800000"), true},
    {"born_null", BORN("null"), true},
    {"born_negative", BORN("-1"), false},
    {"born_2_63", BORN("9223372036854775808"), false},
    {"born_1e400", BORN("1e400"), false},
    {"born_fraction", BORN("1764892800000.5"), false},
    {"born_as_text", BORN("\"1764892800000\""), false},
    {"born_array", BORN("[]"), false},
    {"sequence", SLOTS("4,\"sequence\":7"), true},
    {"sequence_as_text", SLOTS("4,\"sequence\":\"7\""), false},
    {"sequence_2_64", SLOTS("4,\"sequence\":18446744073709551616"), false},
    {"sequence_negative", SLOTS("4,\"sequence\":-1"), false},
    {"cold_fraction", SLOTS("4,\"cold_remaining_ms\":0.5"), true},
    {"cold_1e400", SLOTS("4,\"cold_remaining_ms\":1e400"), false},
    {"cold_as_text", SLOTS("4,\"cold_remaining_ms\":\"soon\""), false},
    {"remaining_nan", SLOTS("4,\"remaining_ms\":NaN"), false},
};

static void
test_target(gconstpointer data)
{
    const struct target_case *c = data;
    struct target_info info;
    struct err err = {0};

    memset(&info, 0, sizeof(info));
    g_assert_cmpint(
        platform_decode.target("i-1", c->entry, strlen(c->entry), &info, &err),
        ==, c->usable);
    g_assert_cmpint(err.kind == ERR_NONE, ==, c->usable);
}

/* Guards against an id that ends a header field of the requests sent to its
 * target, and against names that other programs take for several lines. */
struct text_case {
    const char *name;
    const char *id;
    const char *service;
    bool usable;
};

#define TEXT_64                                                               \
    "1234567890123456789012345678901234567890123456789012345678901234"

static const struct text_case text_cases[] = {
    {"sound", "i-7f3a91c2", "s", true},
    {"id_with_slash", "a/b", "s", true},
    {"id_empty", "", "s", false},
    {"id_with_line_break", "i-1\r\nKv-Fetch: x", "s", false},
    {"id_with_space", "i 1", "s", false},
    {"id_with_tab", "i-1\t", "s", false},
    {"id_with_delete", "i-1\x7f", "s", false},
    {"id_not_ascii", "i-1\xff", "s", false},
    /* A key of the store, "servers/" and the id, has at most 200 bytes. */
    {"id_of_192", TEXT_64 TEXT_64 TEXT_64, "s", true},
    {"id_of_200", TEXT_64 TEXT_64 TEXT_64 "12345678", "s", true},
    {"id_of_201", TEXT_64 TEXT_64 TEXT_64 "123456789", "s", false},
    {"service_of_200", "i-1", TEXT_64 TEXT_64 TEXT_64 "12345678", true},
    {"service_of_201", "i-1", TEXT_64 TEXT_64 TEXT_64 "123456789", false},
    {"service_utf8", "i-1", "\xc3\xa9", true},
    {"service_not_utf8", "i-1", "\xff\xfe", false},
    {"service_with_line_break", "i-1", "s\\nevent=config", false},
    {"service_with_escape", "i-1", "\\u001b[2J", false},
    {"service_empty", "i-1", "", false},
};

static void
test_text(gconstpointer data)
{
    const struct text_case *c = data;
    char *entry = g_strdup_printf(
        "{\"service\":\"%s\",\"address\":\"10.0.0.1:1\",\"zone\":\"z\","
        "\"slots\":4,\"state\":\"ready\"}",
        c->service);
    struct target_info info;
    struct err err = {0};

    memset(&info, 0, sizeof(info));
    g_assert_cmpint(
        platform_decode.target(c->id, entry, strlen(entry), &info, &err), ==,
        c->usable);
    g_free(entry);
}

/* Guards against a document that is no configuration and replaces one, against
 * one that is rejected whole for a part of it, and against a part that is left
 * out without a word. */
enum config_outcome { CONFIG_WHOLE, CONFIG_IN_PART, CONFIG_REJECTED };

struct config_case {
    const char *name;
    const char *text;
    enum config_outcome outcome;
    const char *fault; /* of the first part that is left out */
};

#define ROUTE(rest)                                                           \
    "{\"version\":1,\"services\":[{\"name\":\"s\"}],\"routes\":[{"            \
    "\"host\":\"h\",\"path_prefix\":\"/x/\"," rest "}]}"

static const struct config_case config_cases[] = {
    {"service", ROUTE("\"kind\":\"idempotent\",\"service\":\"s\""),
     CONFIG_WHOLE, NULL},
    {"split",
     ROUTE("\"kind\":\"stream\",\"split\":[{\"service\":\"s\",\"weight\":1}]"),
     CONFIG_WHOLE, NULL},
    {"unknown_service", ROUTE("\"kind\":\"idempotent\",\"service\":\"t\""),
     CONFIG_IN_PART, "routes[0].service: "},
    {"no_service", ROUTE("\"kind\":\"idempotent\""), CONFIG_IN_PART,
     "routes[0].service: missing"},
    {"unknown_kind", ROUTE("\"kind\":\"often\",\"service\":\"s\""),
     CONFIG_IN_PART, "routes[0].kind: "},
    {"no_host", "{\"version\":1,\"routes\":[{\"path_prefix\":\"/\"}]}",
     CONFIG_IN_PART, "routes[0].host: missing"},
    {"no_routes", "{\"version\":1}", CONFIG_WHOLE, NULL},
    {"routes_null", "{\"version\":1,\"routes\":null,\"services\":null}",
     CONFIG_WHOLE, NULL},
    {"routes_as_text", "{\"version\":1,\"routes\":\"r\"}", CONFIG_REJECTED,
     NULL},
    {"routes_as_object", "{\"version\":1,\"routes\":{\"r\":{}}}",
     CONFIG_REJECTED, NULL},
    {"routes_of_nulls", "{\"version\":1,\"routes\":[null]}", CONFIG_IN_PART,
     "routes[0]: not an object"},
    {"services_as_number", "{\"version\":1,\"services\":7}", CONFIG_REJECTED,
     NULL},
    {"services_of_texts", "{\"version\":1,\"services\":[\"s\"]}",
     CONFIG_IN_PART, "services[0]: not an object"},
    {"services_of_nulls", "{\"version\":1,\"services\":[null]}",
     CONFIG_IN_PART, "services[0]: not an object"},
    {"version_missing", "{\"routes\":[],\"services\":[]}", CONFIG_REJECTED,
     NULL},
    {"version_whole_fraction", "{\"version\":7.0}", CONFIG_WHOLE, NULL},
    {"version_exponent", "{\"version\":1e3}", CONFIG_WHOLE, NULL},
    {"version_null", "{\"version\":null}", CONFIG_REJECTED, NULL},
    {"version_0", "{\"version\":0}", CONFIG_REJECTED, NULL},
    {"version_negative", "{\"version\":-1}", CONFIG_REJECTED, NULL},
    {"version_fraction", "{\"version\":1.5}", CONFIG_REJECTED, NULL},
    {"version_as_text", "{\"version\":\"x\"}", CONFIG_REJECTED, NULL},
    {"version_as_digits", "{\"version\":\"7\"}", CONFIG_REJECTED, NULL},
    {"version_2_63", "{\"version\":9223372036854775807}", CONFIG_REJECTED,
     NULL},
    {"version_2_64", "{\"version\":18446744073709551616}", CONFIG_REJECTED,
     NULL},
    {"version_1e400", "{\"version\":1e400}", CONFIG_REJECTED, NULL},
    {"array", "[]", CONFIG_REJECTED, NULL},
    {"null", "null", CONFIG_REJECTED, NULL},
    {"empty", "", CONFIG_REJECTED, NULL},
    {"not_utf8", "\xff\xfe", CONFIG_REJECTED, NULL},
    {"too_deep",
     "{\"version\":1,\"x\":[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[",
     CONFIG_REJECTED, NULL},
    {"invalid_json", "{\"version\":", CONFIG_REJECTED, NULL},
};

static void
test_config(gconstpointer data)
{
    const struct config_case *c = data;
    struct err err = {0};
    struct gate_config *config =
        platform_decode_config(c->text, strlen(c->text), &err);

    g_assert_cmpint(config == NULL, ==, c->outcome == CONFIG_REJECTED);
    g_assert_cmpint(err.kind != ERR_NONE, ==, c->outcome == CONFIG_REJECTED);
    if (config != NULL) {
        g_assert_cmpint(config->fault_count > 0, ==,
                        c->outcome == CONFIG_IN_PART);
    }
    if (c->outcome == CONFIG_IN_PART) {
        g_assert_true(g_str_has_prefix(config->faults[0], c->fault));
    }
    gate_config_unref(config);
}

/* Guards against a configuration that is rejected whole because one of its
 * routes is split over many services: the split must reach each of them. */
struct split_case {
    const char *name;
    int services;
};

static const struct split_case split_cases[] = {
    {"one", 1},
    {"eight", 8},
    {"nine", 9},
    {"three_hundred", 300},
};

/* A configuration with one route that is split evenly. */
static char *
format_split(int services)
{
    GString *names = g_string_new(NULL);
    GString *shares = g_string_new(NULL);
    char *text;

    for (int i = 0; i < services; i++) {
        const char *comma = i > 0 ? "," : "";

        g_string_append_printf(names, "%s{\"name\":\"s-%d\"}", comma, i);
        g_string_append_printf(shares, "%s{\"service\":\"s-%d\",\"weight\":1}",
                               comma, i);
    }
    text = g_strdup_printf(
        "{\"version\":1,\"services\":[%s],\"routes\":[{\"host\":\"h\","
        "\"path_prefix\":\"/x/\",\"kind\":\"idempotent\",\"split\":[%s]}]}",
        names->str, shares->str);
    g_string_free(names, TRUE);
    g_string_free(shares, TRUE);
    return text;
}

static void
test_split(gconstpointer data)
{
    const struct split_case *c = data;
    char *text = format_split(c->services);
    struct err err = {0};
    struct gate_config *config =
        platform_decode_config(text, strlen(text), &err);

    g_assert_cmpstr(err.text, ==, "");
    g_assert_nonnull(config);
    for (int i = 0; i < c->services; i++) {
        g_assert_cmpint(
            gate_route_pick_service(&config->routes[0], (uint64_t)i), ==, i);
    }
    gate_config_unref(config);
    g_free(text);
}

/* Guards against malformed header values that are read as valid ones, and
 * against reserved fields that callers can set. */
struct field_case {
    const char *name;
    const char *field;
    const char *value;
    enum field_action use;
};

#define TEXT_63                                                               \
    "123456789012345678901234567890123456789012345678901234567890123"

static const struct field_case field_cases[] = {
    {"attempt", "attempt-id", "a", FIELD_PASS},
    {"attempt_of_127", "Attempt-Id", TEXT_64 TEXT_63, FIELD_PASS},
    {"attempt_of_128", "Attempt-Id", TEXT_64 TEXT_64, FIELD_INVALID},
    {"model_of_127", "Model", TEXT_64 TEXT_63, FIELD_PASS},
    {"model_of_128", "Model", TEXT_64 TEXT_64, FIELD_INVALID},
    {"attempt_empty", "Attempt-Id", "", FIELD_INVALID},
    {"deadline", "Deadline-Ms", "100", FIELD_DROP},
    {"deadline_fraction", "Deadline-Ms", "99.9", FIELD_DROP},
    {"deadline_fraction_empty", "Deadline-Ms", "99.", FIELD_INVALID},
    {"deadline_negative", "Deadline-Ms", "-1", FIELD_INVALID},
    {"deadline_text", "Deadline-Ms", "1s", FIELD_INVALID},
    {"tokens", "Token-Count", "10,20", FIELD_PASS},
    {"tokens_one_number", "Token-Count", "10", FIELD_INVALID},
    {"tokens_no_output", "Token-Count", "10,", FIELD_INVALID},
    {"tokens_output_text", "Token-Count", "10,x", FIELD_INVALID},
    {"tokens_text_behind", "Token-Count", "10,20x", FIELD_INVALID},
    {"tokens_space_behind", "Token-Count", "10,20 ", FIELD_PASS},
    {"last_event", "Last-Event-Id", "3", FIELD_DROP},
    {"last_event_2_63", "Last-Event-Id", "9223372036854775808", FIELD_INVALID},
    {"last_event_before_2_63", "Last-Event-Id", "9223372036854775806",
     FIELD_DROP},
    {"last_event_text", "Last-Event-Id", "x", FIELD_INVALID},
    {"parts_malformed", "Prompt-Prefix", "zz:1,,", FIELD_PASS},
    {"reserved", "Kv-Fetch", "1.2.3.4:5", FIELD_DROP},
    {"other", "X-Any", "", FIELD_PASS},
};

static void
test_field(gconstpointer data)
{
    const struct field_case *c = data;
    struct request_meta facts = {.deadline_ms = -1, .last_event_id = -1};

    g_assert_cmpint(platform_dialect.ops->read_request_field(
                        &platform_dialect, c->field, c->value, &facts),
                    ==, c->use);
}

/* Guards against a number of tokens that no integer holds and that is taken
 * for a small one: 2^32 + 1 was charged to a quota as 1. */
struct tokens_case {
    const char *name;
    const char *value;
    int prompt;
    int output;
};

static const struct tokens_case tokens_cases[] = {
    {"usual", "10,20", 10, 20},
    {"largest", "2147483647,2147483647", G_MAXINT, G_MAXINT},
    {"prompt_too_large", "4294967297,20", G_MAXINT, 20},
    {"output_too_large", "10,4294967296", 10, G_MAXINT},
    {"beyond_long", "99999999999999999999,1", G_MAXINT, 1},
    {"negative", "-4294967295,-1", G_MININT, -1},
};

static void
test_tokens(gconstpointer data)
{
    const struct tokens_case *c = data;
    struct request_meta facts = {.deadline_ms = -1, .last_event_id = -1};

    platform_dialect.ops->read_request_field(&platform_dialect, "Token-Count",
                                             c->value, &facts);
    g_assert_cmpint(facts.prompt_tokens, ==, c->prompt);
    g_assert_cmpint(facts.max_output_tokens, ==, c->output);
}

/* Guards against a request whose own part passes as one that others share, and
 * against two parts that pass as one. */
struct parts_case {
    const char *name;
    const char *value;
    const char *ids; /* in hexadecimal */
    bool cut;
};

#define PART8 "1:1,2:1,3:1,4:1,5:1,6:1,7:1,8:1"
#define ID8 "1 2 3 4 5 6 7 8 "

static const struct parts_case parts_cases[] = {
    {"one", "a1:5", "a1 ", false},
    {"three", "a1:5,B2:6,c3:7", "a1 b2 c3 ", false},
    {"spaces", "a1:5, b2:6", "a1 b2 ", false},
    {"no_number", "a1:5,b2:", "a1 ", true},
    {"no_colon", "a1:5,b2", "a1 ", true},
    {"no_id", "a1:5,:3", "a1 ", true},
    {"sign", "a1:5,-1:3", "a1 ", true},
    {"ends_with_comma", "a1:5,", "a1 ", true},
    {"text_behind", "a1:5;b2:6", "a1 ", true},
    {"as_many_as_fit", PART8 "," PART8 "," PART8 "," PART8, ID8 ID8 ID8 ID8,
     false},
    {"one_too_many", PART8 "," PART8 "," PART8 "," PART8 ",9:1",
     ID8 ID8 ID8 ID8, true},
};

static void
test_parts(gconstpointer data)
{
    const struct parts_case *c = data;
    struct request_meta facts = {.deadline_ms = -1, .last_event_id = -1};
    GString *ids = g_string_new(NULL);

    platform_dialect.ops->read_request_field(
        &platform_dialect, "Prompt-Prefix", c->value, &facts);
    for (int i = 0; i < facts.part_count; i++) {
        g_string_append_printf(ids, "%" G_GINT64_MODIFIER "x ",
                               facts.parts[i].id);
    }
    g_assert_cmpstr(ids->str, ==, c->ids);
    g_assert_cmpint(facts.parts_cut, ==, c->cut);
    g_string_free(ids, TRUE);
}

/* Guards against a start without required settings, and against a memory limit
 * that is not read. */
struct settings_case {
    const char *name;
    const char *text;
    bool usable;
    int memory_mb;
};

#define LISTEN "\"listen\":{\"front\":\"1.2.3.4:1\",\"ready\":\"1.2.3.4:2\"}"
#define STORE "\"platform\":{\"address\":\"1.2.3.4:3\"}"

static const struct settings_case settings_cases[] = {
    {"minimal",
     "{\"node_name\":\"n\",\"zone\":\"z\",\"ip\":\"1.2.3.4\","
     "\"internal_ports\":[7000,7001]," LISTEN "," STORE "}",
     true, 0},
    {"memory",
     "{\"node_name\":\"n\",\"zone\":\"z\",\"ip\":\"1.2.3.4\","
     "\"internal_ports\":[7000,7001]," LISTEN "," STORE
     ",\"limits\":{\"memory_mb\":260}}",
     true, 260},
    {"no_name",
     "{\"zone\":\"z\",\"ip\":\"1.2.3.4\",\"internal_ports\":[7000]," LISTEN
     "," STORE "}",
     false, 0},
    {"no_ports",
     "{\"node_name\":\"n\",\"zone\":\"z\",\"ip\":\"1.2.3.4\"," LISTEN "," STORE
     "}",
     false, 0},
    {"no_store",
     "{\"node_name\":\"n\",\"zone\":\"z\",\"ip\":\"1.2.3.4\","
     "\"internal_ports\":[7000]," LISTEN "}",
     false, 0},
    {"invalid_json", "node_name = \"n\"", false, 0},
};

static bool
read_settings_text(const char *text, struct gate_settings *settings,
                   struct err *err)
{
    char *directory = g_dir_make_tmp("turmeric-XXXXXX", NULL);
    char *file = test_write_file(directory, "settings.json", text, 0600);
    bool succeeded = platform_settings_read(file, settings, err);

    g_assert_cmpint(g_remove(file), ==, 0);
    g_assert_cmpint(g_rmdir(directory), ==, 0);
    g_free(file);
    g_free(directory);
    return succeeded;
}

static void
test_settings(gconstpointer data)
{
    const struct settings_case *c = data;
    struct gate_settings settings;
    struct err err = {0};

    g_assert_cmpint(read_settings_text(c->text, &settings, &err), ==,
                    c->usable);
    g_assert_cmpint(err.kind, ==, c->usable ? ERR_NONE : ERR_SETTINGS);
    g_assert_cmpint(settings.memory_mb, ==, c->memory_mb);
}

/* Guards against a figure of the settings that is replaced by a default
 * without a word: a fraction, which the deployment may use for any of them,
 * removed the limit that it stands for. */
struct figure_case {
    const char *name;
    const char *table;
    const char *members;
    const char *expected; /* NULL when the settings are refused */
    const char *fault;    /* NULL when they are used */
};

#define STRICT(revoke_ms) "\"revoke_strict\":true,\"revoke_ms\":" revoke_ms
#define QUOTA(window) "\"quota_slack\":9.5,\"quota_window_s\":" window

static const struct figure_case figure_cases[] = {
    {"revoke_whole", "bounds", STRICT("5000"), "revocation=5000 ", NULL},
    {"revoke_fraction", "bounds", STRICT("4999.5"), "revocation=4999 ", NULL},
    {"revoke_whole_fraction", "bounds", STRICT("5000.0"), "revocation=5000 ",
     NULL},
    {"revoke_exponent", "bounds", STRICT("5e3"), "revocation=5000 ", NULL},
    {"revoke_below_1", "bounds", STRICT("0.5"), NULL, "bounds.revoke_ms: "},
    {"revoke_0", "bounds", STRICT("0"), NULL, "bounds.revoke_ms: "},
    {"revoke_text", "bounds", STRICT("\"5000\""), NULL, "bounds.revoke_ms: "},
    {"revoke_true", "bounds", STRICT("true"), NULL, "bounds.revoke_ms: "},
    {"revoke_negative", "bounds", STRICT("-1"), NULL, "bounds.revoke_ms: "},
    {"revoke_1e400", "bounds", STRICT("1e400"), NULL, "bounds.revoke_ms: "},
    {"revoke_null", "bounds", STRICT("null"), NULL, "bounds.revoke_ms: "},
    {"revoke_missing", "bounds", "\"revoke_strict\":true", NULL,
     "bounds.revoke_ms: "},
    {"revoke_not_strict", "bounds",
     "\"revoke_strict\":false,\"revoke_ms\":5000", "revocation=0 ", NULL},
    {"strict_text", "bounds", "\"revoke_strict\":\"true\"", NULL,
     "bounds.revoke_strict: "},
    {"strict_1", "bounds", "\"revoke_strict\":1", NULL,
     "bounds.revoke_strict: "},
    {"config_apply_fraction", "bounds", "\"config_apply_ms\":1999.5",
     "change=1999 ", NULL},
    {"config_apply_0", "bounds", "\"config_apply_ms\":0", NULL,
     "bounds.config_apply_ms: "},
    {"drain_fraction", "bounds", "\"drain_ms\":1500.25", "change=1500 ", NULL},
    {"drain_text", "bounds", "\"drain_ms\":\"2000\"", NULL,
     "bounds.drain_ms: "},
    {"extra_fraction", "bounds", "\"budget_extra\":54.9", "allowance=54 ",
     NULL},
    {"extra_whole_fraction", "bounds", "\"budget_extra\":184.0",
     "allowance=184 ", NULL},
    {"extra_2_31", "bounds", "\"budget_extra\":2147483648", NULL,
     "bounds.budget_extra: "},
    {"ratio_whole", "bounds", "\"budget_ratio\":1", "ratio=1 ", NULL},
    {"ratio_text", "bounds", "\"budget_ratio\":\"0.2\"", NULL,
     "bounds.budget_ratio: "},
    {"ratio_true", "bounds", "\"budget_ratio\":true", NULL,
     "bounds.budget_ratio: "},
    {"ratio_negative", "bounds", "\"budget_ratio\":-0.2", NULL,
     "bounds.budget_ratio: "},
    {"window_fraction", "bounds", "\"budget_window_s\":2.5",
     "retry_window=2500 ", NULL},
    {"window_0", "bounds", "\"budget_window_s\":0", NULL,
     "bounds.budget_window_s: "},
    {"grace_fraction", "bounds", "\"grace_s\":7.75", "grace=7750 ", NULL},
    {"grace_1e300", "bounds", "\"grace_s\":1e300", NULL, "bounds.grace_s: "},
    {"ttl_fraction", "bounds", "\"ttl_max_s\":4.5", "ttl=5 ", NULL},
    {"ttl_below_1", "bounds", "\"ttl_max_s\":0.5", "ttl=1 ", NULL},
    {"quota_window_fraction", "bounds", QUOTA("7.5"),
     "quota_window=7500 slack=9.5 ", NULL},
    {"quota_window_missing", "bounds", QUOTA("null"), NULL,
     "bounds.quota_window_s: "},
    {"quota_over_text", "bounds", "\"quota_over\":\"0.1\"", NULL,
     "bounds.quota_over: "},
    {"memory", "limits", "\"memory_mb\":260", "memory=260 ", NULL},
    {"memory_fraction", "limits", "\"memory_mb\":259.9", "memory=259 ", NULL},
    {"memory_0", "limits", "\"memory_mb\":0", NULL, "limits.memory_mb: "},
    {"memory_text", "limits", "\"memory_mb\":\"260\"", NULL,
     "limits.memory_mb: "},
    {"descriptors_fraction", "limits", "\"max_fds\":4100.5",
     "descriptors=4100 ", NULL},
    {"descriptors_list", "limits", "\"max_fds\":[4100]", NULL,
     "limits.max_fds: "},
    {"link_fraction", "limits", "\"link_mbps\":0.5", "link=1 ", NULL},
    {"cores", "limits", "\"cpu_share\":0.25,\"cores\":2", "cores=0.5 ", NULL},
    {"cores_text", "limits", "\"cores\":\"2\"", NULL, "limits.cores: "},
    {"lease_fraction", "platform", "\"ttl_min_ms\":999.5", "lease=1000 ",
     NULL},
    {"value_bytes_text", "platform", "\"value_bytes\":\"1048576\"", NULL,
     "platform.value_bytes: "},
    {"heartbeat_fraction", NULL, "\"heartbeat_ms\":1199.5", "heartbeat=1200 ",
     NULL},
    {"heartbeat_0", NULL, "\"heartbeat_ms\":0", NULL, "heartbeat_ms: "},
    {"zone_empty", NULL, "\"zone\":\"\"", NULL, "zone: "},
    {"store_name", "platform", "\"address\":\"store:80\"", NULL,
     "platform.address: "},
    {"cores_negative", "limits", "\"cpu_share\":-1", NULL,
     "limits.cpu_share: "},
    {"quota_slack_1e16", "bounds", "\"quota_slack\":1e16", NULL,
     "bounds.quota_slack: "},
    {"lease_text", "platform", "\"ttl_min_ms\":\"1000\"", NULL,
     "platform.ttl_min_ms: "},
    {"link_text", "limits", "\"link_mbps\":\"200\"", NULL,
     "limits.link_mbps: "},
    {"bounds_text", NULL, "\"bounds\":\"none\"", NULL, "bounds: "},
    {"bounds_null", NULL, "\"bounds\":null", "revocation=0 ", NULL},
    {"limits_list", NULL, "\"limits\":[]", NULL, "limits: "},
    {"directory_missing", NULL, "\"serves\":[\"front\",\"directory\"]", NULL,
     "listen.directory: "},
    {"name_64", NULL,
     "\"node_name\":\"123456789012345678901234567890123456789012345678901234"
     "5678901234\"",
     NULL, "node_name: "},
    {"name_number", NULL, "\"node_name\":7", NULL, "node_name: "},
    {"port_whole_fraction", NULL, "\"internal_ports\":[7000.0,7001]",
     "peer=1.2.3.4:7000 ", NULL},
    {"port_text", NULL, "\"internal_ports\":[\"7000\"]", NULL,
     "internal_ports: "},
    {"port_65536", NULL, "\"internal_ports\":[65536]", NULL,
     "internal_ports: "},
    {"ip_name", NULL, "\"ip\":\"front-1\"", NULL, "ip: "},
    {"front_without_port", "listen", "\"front\":\"1.2.3.4\"", NULL,
     "listen.front: "},
    {"directory_number", "listen", "\"directory\":3", NULL,
     "listen.directory: "},
    {"unknown_field", "bounds", "\"tide_ms\":\"high\"", "grace=8000 ", NULL},
};

/* The settings of a case: of two members with one name the last one counts. */
static char *
format_settings_file(const struct figure_case *c)
{
    static const char *const parts[][2] = {
        {"listen", "\"front\":\"1.2.3.4:1\",\"ready\":\"1.2.3.4:2\""},
        {"platform", "\"address\":\"1.2.3.4:3\""},
        {"limits", "\"max_fds\":900"},
        {"bounds", "\"grace_s\":8"},
    };
    GString *text =
        g_string_new("{\"node_name\":\"n\",\"zone\":\"z\",\"ip\":\"1.2.3.4\","
                     "\"internal_ports\":[7000,7001]");

    for (size_t i = 0; i < G_N_ELEMENTS(parts); i++) {
        bool here = g_strcmp0(c->table, parts[i][0]) == 0;

        g_string_append_printf(text, ",\"%s\":{%s%s%s}", parts[i][0],
                               parts[i][1], here ? "," : "",
                               here ? c->members : "");
    }
    if (c->table == NULL) {
        g_string_append_printf(text, ",%s", c->members);
    }
    g_string_append_c(text, '}');
    return g_string_free(text, FALSE);
}

static char *
format_settings(const struct gate_settings *settings)
{
    const struct gate_limits *limits = &settings->limits;

    return g_strdup_printf(
        "revocation=%d change=%d allowance=%d ratio=%g retry_window=%d "
        "grace=%d ttl=%d quota_window=%d slack=%g memory=%d descriptors=%d "
        "link=%d cores=%g lease=%d heartbeat=%d peer=%s ",
        (int)limits->key_revocation_ms, (int)limits->change_apply_ms,
        limits->retry_allowance, limits->retry_ratio,
        (int)limits->retry_window_ms, (int)limits->stop_grace_ms,
        limits->address_ttl_max_s, (int)limits->quota_window_ms,
        limits->quota_slack, settings->memory_mb, settings->descriptors_max,
        settings->link_mbps, settings->cpu_cores,
        (int)settings->lease_ttl_min_ms, (int)settings->heartbeat_ms,
        settings->peer_address);
}

static void
test_figure(gconstpointer data)
{
    const struct figure_case *c = data;
    char *text = format_settings_file(c);
    struct gate_settings settings;
    struct err err = {0};
    bool succeeded = read_settings_text(text, &settings, &err);
    char *read = format_settings(&settings);

    if (c->expected != NULL) {
        g_assert_cmpstr(err.text, ==, "");
        g_assert_nonnull(strstr(read, c->expected));
    }
    else {
        g_assert_cmpint(err.kind, ==, ERR_SETTINGS);
        g_assert_true(g_str_has_prefix(err.text, c->fault));
    }
    g_assert_cmpint(succeeded, ==, c->expected != NULL);
    g_free(read);
    g_free(text);
}

/* Guards against a write or a lease that counts as done although the response
 * does not say so. */
struct store_case {
    const char *name;
    const char *response;
    bool lease;
    bool succeeds;
};

#define RESPONSE(length, body)                                                \
    "HTTP/1.1 200 OK\r\nContent-Length: " length "\r\n\r\n" body

static const struct store_case store_cases[] = {
    {"written", RESPONSE("14", "{\"revision\":7}"), false, true},
    {"write_without_json", RESPONSE("0", ""), false, false},
    {"write_with_other_json", RESPONSE("2", "[]"), false, false},
    {"write_with_null", RESPONSE("17", "{\"revision\":null}"), false, false},
    {"leased", RESPONSE("25", "{\"lease\":3,\"ttl_ms\":3000}"), true, true},
    {"lease_without_json", RESPONSE("0", ""), true, false},
    {"lease_without_time", RESPONSE("11", "{\"lease\":3}"), true, false},
    {"lease_of_negative_time", RESPONSE("23", "{\"lease\":3,\"ttl_ms\":-30}"),
     true, false},
};

static void
test_store(gconstpointer data)
{
    const struct store_case *c = data;
    const char *answers[] = {c->response, NULL};
    struct store_write write = {.key = "k", .value = "v"};
    struct scripted_target script;
    struct platform_store store = {0};
    struct err err = {0};
    char address[ADDRESS_MAX_BYTES];
    int64_t number = 3000;
    int64_t lease = 0;
    bool succeeded;

    script_start(&script, answers, 1);
    g_snprintf(address, sizeof(address), "127.0.0.1:%d", script.ports[0]);
    g_assert_true(platform_store_init(&store, address, 0, &err));
    succeeded =
        c->lease
            ? store.base.ops->lease_grant(&store.base, &number, &lease, &err)
            : store.base.ops->write(&store.base, &write, &number, &err);
    g_assert_cmpint(succeeded, ==, c->succeeds);
    g_assert_cmpint(err.kind != ERR_NONE, ==, !c->succeeds);
    platform_client_clear(&store.client);
    script_stop(&script);
}

/**
 * struct client_fixture - clients of one scripted server
 * @script: the server, as store and as engine
 * @address: its address
 */
struct client_fixture {
    struct scripted_target script;
    char address[ADDRESS_MAX_BYTES];
    struct platform_store store;
    struct platform_engine engine;
};

static void
client_fixture_open(struct client_fixture *fixture, const char *const *answers)
{
    struct err err = {0};

    memset(fixture, 0, sizeof(*fixture));
    script_start(&fixture->script, answers, 1);
    g_snprintf(fixture->address, sizeof(fixture->address), "127.0.0.1:%d",
               fixture->script.ports[0]);
    g_assert_true(
        platform_store_init(&fixture->store, fixture->address, 0, &err));
    g_assert_true(platform_engine_init(&fixture->engine, &err));
}

static void
client_fixture_close(struct client_fixture *fixture)
{
    platform_client_clear(&fixture->store.client);
    platform_client_clear(&fixture->engine.client);
    script_stop(&fixture->script);
}

/* Each call returns what its caller learns as a number: the kind of error, the
 * number of items, the result of the order, or the engine's sequence. */
static int
call_write(struct client_fixture *fixture)
{
    struct store_write write = {.key = "k", .value = "v"};
    struct err err = {0};
    int64_t revision;

    fixture->store.base.ops->write(&fixture->store.base, &write, &revision,
                                   &err);
    return (int)err.kind;
}

static int
call_renew(struct client_fixture *fixture)
{
    struct err err = {0};

    fixture->store.base.ops->lease_renew(&fixture->store.base, 3, &err);
    return (int)err.kind;
}

static int
call_list(struct client_fixture *fixture)
{
    struct store_items items = {0};
    struct err err = {0};
    int count;

    fixture->store.base.ops->list(&fixture->store.base, "p", "", &items, &err);
    count = items.count;
    store_items_clear(&items);
    return count;
}

static int
call_watch(struct client_fixture *fixture)
{
    struct store_items items = {0};
    struct err err = {0};

    fixture->store.base.ops->watch(&fixture->store.base, "p", 4, 1, &items,
                                   &err);
    store_items_clear(&items);
    return (int)err.kind;
}

/* A store that keeps values of 3,000,000 bytes. */
static int
call_watch_long(struct client_fixture *fixture)
{
    struct err err = {0};

    platform_client_clear(&fixture->store.client);
    g_assert_true(
        platform_store_init(&fixture->store, fixture->address, 3000000, &err));
    return call_watch(fixture);
}

static int
call_order(struct client_fixture *fixture)
{
    struct engine_order order = {.action = ORDER_LOAD, .holder = "h"};
    struct err err = {0};

    order.item = g_quark_from_string("m");
    g_strlcpy(order.target, "i-1", sizeof(order.target));
    g_strlcpy(order.address, fixture->address, sizeof(order.address));
    return (int)fixture->engine.base.ops->order(&fixture->engine.base, &order,
                                                &err);
}

static int
call_report(struct client_fixture *fixture)
{
    struct target_info info;
    struct err err = {0};

    memset(&info, 0, sizeof(info));
    fixture->engine.base.ops->report(&fixture->engine.base, fixture->address,
                                     &info, &err);
    return (int)info.sequence;
}

#define EMPTY_RESPONSE(status)                                                \
    "HTTP/1.1 " status " X\r\nContent-Length: 2\r\n\r\n{}"
#define REPORT RESPONSE("14", "{\"sequence\":1}")
#define ONE_ITEM                                                              \
    RESPONSE(                                                                 \
        "55",                                                                 \
        "{\"items\":[{\"key\":\"p\",\"revision\":4}],\"store_revision\":5}")

/* Guards against a late second copy of a response that is taken as the
 * response to the next call, and against a call that is sent twice because its
 * connection is closed. */
struct kept_case {
    const char *name;
    int (*first)(struct client_fixture *fixture);
    int (*second)(struct client_fixture *fixture);
    const char *answers[4];
    int first_result;
    int second_result;
};

static const struct kept_case kept_cases[] = {
    {"write_after_write",
     call_write,
     call_write,
     {RESPONSE("14", "{\"revision\":7}"), "%LATE%" EMPTY_RESPONSE("412")},
     ERR_NONE,
     ERR_KV_CONFLICT},
    {"renewal_after_renewal",
     call_renew,
     call_renew,
     {EMPTY_RESPONSE("200"), "%LATE%" EMPTY_RESPONSE("404")},
     ERR_NONE,
     ERR_NOT_FOUND},
    {"list_after_list",
     call_list,
     call_list,
     {RESPONSE("31", "{\"items\":[],\"store_revision\":5}"),
      "%LATE%" ONE_ITEM},
     0,
     1},
    {"order_after_order",
     call_order,
     call_order,
     {EMPTY_RESPONSE("202"), "%LATE%" EMPTY_RESPONSE("409")},
     ORDER_ACCEPTED,
     ORDER_CONFLICT},
    {"order_after_report",
     call_report,
     call_order,
     {REPORT, "%LATE%" EMPTY_RESPONSE("202")},
     1,
     ORDER_ACCEPTED},
    {"report_after_report",
     call_report,
     call_report,
     {REPORT, "%LATE%" RESPONSE("14", "{\"sequence\":2}")},
     1,
     2},
    {"write_without_response",
     call_write,
     call_write,
     {RESPONSE("14", "{\"revision\":7}"), "<close>", EMPTY_RESPONSE("412")},
     ERR_NONE,
     ERR_KV_DOWN},
    {"order_without_response",
     call_order,
     call_order,
     {EMPTY_RESPONSE("202"), "<close>", EMPTY_RESPONSE("409")},
     ORDER_ACCEPTED,
     ORDER_IN_DOUBT},
};

static void
test_kept(gconstpointer data)
{
    const struct kept_case *c = data;
    static struct client_fixture fixture;

    client_fixture_open(&fixture, c->answers);
    g_assert_cmpint(c->first(&fixture), ==, c->first_result);
    g_assert_cmpint(c->second(&fixture), ==, c->second_result);
    g_assert_cmpint(script_request_count(&fixture.script), ==, 2);
    client_fixture_close(&fixture);
}

/* Guards against the body of a response that isn't the one asked for, and
 * against a watch that is repeated although its response is always too long.
 */
struct spoilt_case {
    const char *name;
    int (*call)(struct client_fixture *fixture);
    const char *response;
    int result;
};

static const struct spoilt_case spoilt_cases[] = {
    {"encoded_renewal", call_renew,
     "HTTP/1.1 200 X\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\n{}",
     ERR_KV_DOWN},
    {"two_lengths", call_renew,
     "HTTP/1.1 200 X\r\nContent-Length: 9\r\nContent-Length: 2\r\n\r\n{}",
     ERR_KV_DOWN},
    {"switched_protocol", call_order, "HTTP/1.1 101 X\r\n\r\n<close>",
     ORDER_IN_DOUBT},
    {"encoded_order", call_order,
     "HTTP/1.1 202 X\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\n{}",
     ORDER_IN_DOUBT},
    {"order_in_part", call_order, EMPTY_RESPONSE("206"), ORDER_IN_DOUBT},
    {"redirected_order", call_order,
     "HTTP/1.1 307 X\r\nLocation: /x\r\nContent-Length: 2\r\n\r\n{}",
     ORDER_IN_DOUBT},
    {"interim_response", call_renew,
     "HTTP/1.1 103 X\r\n\r\n" EMPTY_RESPONSE("200"), ERR_NONE},
    {"cut_renewal", call_renew,
     "HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\n{}<close>", ERR_KV_DOWN},
    {"renewal_cut_before_length", call_renew, "HTTP/1.1 200 X\r\n<close>",
     ERR_KV_DOWN},
    {"renewal_cut_in_name", call_renew, "HTTP/1.1 200 X\r\nConten<close>",
     ERR_KV_DOWN},
    {"renewal_cut_before_blank_line", call_renew,
     "HTTP/1.1 200 X\r\nContent-Length: 0\r\n<close>", ERR_KV_DOWN},
    {"renewal_cut_behind_interim_response", call_renew,
     "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 X\r\n<close>", ERR_KV_DOWN},
    {"write_cut_in_head", call_write, "HTTP/1.1 200 X\r\nA: b\r\n<close>",
     ERR_KV_DOWN},
    {"order_cut_in_head", call_order,
     "HTTP/1.1 202 X\r\nContent-Length: 0\r\n<close>", ORDER_IN_DOUBT},
    {"watch_gone", call_watch, EMPTY_RESPONSE("410"), ERR_NOT_FOUND},
    {"watch_too_long", call_watch,
     "HTTP/1.1 200 X\r\nContent-Length: 8400000\r\n\r\n{", ERR_NOT_FOUND},
    {"watch_cut", call_watch,
     "HTTP/1.1 200 X\r\nContent-Length: 8000000\r\n\r\n{<close>", ERR_KV_DOWN},
    {"watch_of_long_value", call_watch_long,
     "HTTP/1.1 200 X\r\nContent-Length: 8400000\r\n\r\n{<close>", ERR_KV_DOWN},
    {"watch_of_longer_value", call_watch_long,
     "HTTP/1.1 200 X\r\nContent-Length: 12400000\r\n\r\n{<close>",
     ERR_NOT_FOUND},
    {"watch_unreadable", call_watch, RESPONSE("2", "[]"), ERR_BAD_JSON},
    {"cut_list", call_list, "HTTP/1.1 200 X\r\n\r\n{\"items\":[<close>", 0},
};

static void
test_spoilt(gconstpointer data)
{
    const struct spoilt_case *c = data;
    const char *answers[] = {c->response, NULL};
    static struct client_fixture fixture;

    client_fixture_open(&fixture, answers);
    g_assert_cmpint(c->call(&fixture), ==, c->result);
    g_assert_cmpint(script_request_count(&fixture.script), ==, 1);
    client_fixture_close(&fixture);
}

/* Guards against an era of the store that is missed in a refusal, and against
 * one that is read where none is: it ends the term and lists all keys again.
 */
struct store_era_case {
    const char *name;
    int (*call)(struct client_fixture *fixture);
    const char *response;
    int64_t era;
    bool named;
};

#define ERA_RESPONSE(status, fields)                                          \
    "HTTP/1.1 " status " X\r\n" fields "Content-Length: 2\r\n\r\n{}"
#define ERA(value) "Store-Era: " value "\r\n"

static const struct store_era_case store_era_cases[] = {
    {"none", call_renew, ERA_RESPONSE("200", ""), 0, false},
    {"first", call_renew, ERA_RESPONSE("200", ERA("0")), 0, true},
    {"renewed", call_renew, ERA_RESPONSE("200", ERA("3")), 3, true},
    {"lease_gone", call_renew, ERA_RESPONSE("404", ERA("3")), 3, true},
    {"conflict", call_write, ERA_RESPONSE("412", ERA("3")), 3, true},
    {"write_unreadable", call_write, ERA_RESPONSE("200", ERA("3")), 3, true},
    {"watch_gone", call_watch, ERA_RESPONSE("410", ERA("3")), 3, true},
    {"watch_unreadable", call_watch, ERA_RESPONSE("200", ERA("3")), 3, true},
    {"unavailable", call_list, ERA_RESPONSE("503", ERA("3")), 3, true},
    {"too_many_requests", call_list, ERA_RESPONSE("429", ERA("3")), 3, true},
    {"name_in_lower_case", call_renew, ERA_RESPONSE("200", "store-era:3\r\n"),
     3, true},
    {"largest", call_renew, ERA_RESPONSE("200", ERA("8191")), 8191, true},
    {"too_large", call_renew, ERA_RESPONSE("200", ERA("8192")), 0, false},
    {"far_too_large", call_renew,
     ERA_RESPONSE("200", ERA("18446744073709551617")), 0, false},
    {"empty", call_renew, ERA_RESPONSE("200", ERA("")), 0, false},
    {"negative", call_renew, ERA_RESPONSE("200", ERA("-1")), 0, false},
    {"fraction", call_renew, ERA_RESPONSE("200", ERA("1.5")), 0, false},
    {"text", call_renew, ERA_RESPONSE("200", ERA("3x")), 0, false},
    {"twice", call_renew, ERA_RESPONSE("200", ERA("3") ERA("3")), 3, true},
    {"two_that_differ", call_renew, ERA_RESPONSE("200", ERA("3") ERA("4")), 0,
     false},
    {"two_that_differ_from_0", call_renew,
     ERA_RESPONSE("200", ERA("0") ERA("4")), 0, false},
    {"interim_only", call_renew,
     "HTTP/1.1 103 X\r\n" ERA("3") "\r\n" EMPTY_RESPONSE("200"), 0, false},
    {"interim_and_final", call_renew,
     "HTTP/1.1 103 X\r\n" ERA("2") "\r\n" ERA_RESPONSE("200", ERA("3")), 3,
     true},
    {"trailer", call_renew,
     "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n" ERA(
         "3") "\r\n",
     0, false},
    {"cut", call_renew,
     "HTTP/1.1 200 X\r\n" ERA("3") "Content-Length: 9\r\n\r\n{}<close>", 0,
     false},
    {"cut_in_head", call_renew, "HTTP/1.1 200 X\r\n" ERA("3") "<close>", 0,
     false},
};

static void
test_store_era(gconstpointer data)
{
    const struct store_era_case *c = data;
    const char *answers[] = {c->response, NULL};
    static struct client_fixture fixture;

    client_fixture_open(&fixture, answers);
    c->call(&fixture);
    g_assert_cmpint(fixture.store.base.era, ==, c->era);
    g_assert_cmpint(fixture.store.base.names_era, ==, c->named);
    client_fixture_close(&fixture);
}

/*
 * Guards against a report that is read as one of an idle engine that holds
 * nothing, which would be given orders for all that it has, and against one of
 * another process that is taken for one of the known process.
 */
struct report_case {
    const char *name;
    const char *report;
    bool succeeds;
    int64_t started_ms;
};

#define REPORT_WITH(rest) "{\"stage\":\"both\",\"models\":[]" rest "}"

static const struct report_case report_cases[] = {
    {"sound", REPORT_WITH(",\"sequence\":2,\"busy\":true"), true, 0},
    {"born", REPORT_WITH(",\"sequence\":2,\"born\":1768793460000"), true,
     1768793460000},
    {"born_as_text", REPORT_WITH(",\"sequence\":2,\"born\":\"12\""), false, 0},
    {"sequence_0", REPORT_WITH(",\"sequence\":0"), true, 0},
    {"models_as_text", "{\"models\":\"m\",\"sequence\":2}", false, 0},
    {"models_as_object", "{\"models\":{},\"sequence\":2}", false, 0},
    {"models_null", "{\"models\":null,\"sequence\":2}", true, 0},
    {"coming_as_text", REPORT_WITH(",\"sequence\":2,\"coming\":\"m/a1@1\""),
     false, 0},
    {"at_hand_as_array", REPORT_WITH(",\"sequence\":2,\"at_hand\":[]"), false,
     0},
    {"busy_as_text", REPORT_WITH(",\"sequence\":2,\"busy\":\"true\""), false,
     0},
    {"busy_as_number", REPORT_WITH(",\"sequence\":2,\"busy\":1"), false, 0},
    {"sequence_missing", REPORT_WITH(""), false, 0},
    {"sequence_null", REPORT_WITH(",\"sequence\":null"), false, 0},
    {"sequence_as_text", REPORT_WITH(",\"sequence\":\"x\""), false, 0},
    {"sequence_negative", REPORT_WITH(",\"sequence\":-1"), false, 0},
    {"sequence_fraction", REPORT_WITH(",\"sequence\":2.5"), false, 0},
    {"sequence_2_63", REPORT_WITH(",\"sequence\":9223372036854775808"), false,
     0},
    {"sequence_1e400", REPORT_WITH(",\"sequence\":1e400"), false, 0},
    {"array", "[]", false, 0},
    {"null", "null", false, 0},
    {"text", "\"models\"", false, 0},
    {"empty", "", false, 0},
    {"cut_off", "{\"models\":[", false, 0},
    {"not_utf8", "\xff\xfe", false, 0},
    {"too_deep", "{\"models\":[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[",
     false, 0},
};

static void
test_report(gconstpointer data)
{
    const struct report_case *c = data;
    char *response =
        g_strdup_printf("HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
                        strlen(c->report), c->report);
    const char *answers[] = {response, NULL};
    struct target_info info = {.sequence = -1};
    struct scripted_target script;
    struct platform_engine engine = {0};
    struct err err = {0};
    char address[ADDRESS_MAX_BYTES];

    script_start(&script, answers, 1);
    g_snprintf(address, sizeof(address), "127.0.0.1:%d", script.ports[0]);
    g_assert_true(platform_engine_init(&engine, &err));
    g_assert_cmpint(
        engine.base.ops->report(&engine.base, address, &info, &err), ==,
        c->succeeds);
    g_assert_cmpint(err.kind == ERR_NONE, ==, c->succeeds);
    if (c->succeeds) {
        g_assert_cmpint(info.started_ms, ==, c->started_ms);
    }
    platform_client_clear(&engine.client);
    script_stop(&script);
    g_free(response);
}

int
main(int argc, char **argv)
{
    static const struct cases groups[] = {
        CASES("/platform/target", target_cases, test_target),
        CASES("/platform/text", text_cases, test_text),
        CASES("/platform/config", config_cases, test_config),
        CASES("/platform/split", split_cases, test_split),
        CASES("/platform/store", store_cases, test_store),
        CASES("/platform/store_era", store_era_cases, test_store_era),
        CASES("/platform/kept", kept_cases, test_kept),
        CASES("/platform/spoilt", spoilt_cases, test_spoilt),
        CASES("/platform/report", report_cases, test_report),
        CASES("/platform/field", field_cases, test_field),
        CASES("/platform/tokens", tokens_cases, test_tokens),
        CASES("/platform/parts", parts_cases, test_parts),
        CASES("/platform/settings", settings_cases, test_settings),
        CASES("/platform/figure", figure_cases, test_figure),
    };

    g_test_init(&argc, &argv, NULL);
    cases_add(groups, G_N_ELEMENTS(groups));
    return g_test_run();
}
