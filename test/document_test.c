/*
 * Each field of the documents that other programs write, in the forms that
 * they may use, and what becomes of a part that can't be used.
 */
#include <curl/curl.h>
#include <glib.h>
#include <json-c/json.h>
#include <string.h>
#include <ulfius.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/view/fns.h"
#include "gate/follow/dat.h"
#include "gate/follow/fns.h"
#include "http/dat.h"
#include "http/fns.h"
#include "platform/dat.h"
#include "platform/fns.h"
#include "cases.h"
#include "script.h"

/* GLib's table of quarks drops the arrays that it outgrows, the first of which
 * is made as the library is loaded. That is no leak of a decoder: a model may
 * have 10,000 adapters. Only whole stacks tell it from others. */
const char *__asan_default_options(void);
const char *__lsan_default_suppressions(void);

const char *
__asan_default_options(void)
{
    return "fast_unwind_on_malloc=0";
}

const char *
__lsan_default_suppressions(void)
{
    return "leak:g_quark_from_string\nleak:_dl_init\n";
}

/*
 * Guards against a figure of the configuration that is taken as 0 or replaced
 * by a default without a word, and against a document that is rejected for one
 * part. Each case adds members to one object of a sound document; of two
 * members with one name the last one counts. The other route stays in use.
 */
struct part_case {
    const char *name;
    const char *object;
    const char *members;
    const char *read;  /* what the document is read as has this */
    const char *fault; /* place of the one part that is left out */
};

#define TEXT_64                                                               \
    "1234567890123456789012345678901234567890123456789012345678901234"

static const struct part_case part_cases[] = {
    {"sound", "route", "\"sticky\":true", "route usable timeout=1000 ", NULL},

    {"name_of_70", "route",
     "\"name\":\"1234567890123456789012345678901234567890123456789012345678901"
     "234567890\"",
     "name=1234567890123456789012345678901234567890123456789012345678901234567"
     "890 ",
     NULL},
    {"name_number", "route", "\"name\":7", "name=- ", "routes[0].name"},
    {"host_missing", "route", "\"host\":null", "no route", "routes[0].host"},
    {"host_empty", "route", "\"host\":\"\"", "no route", "routes[0].host"},
    {"prefix_number", "route", "\"path_prefix\":1", "no route",
     "routes[0].path_prefix"},
    {"timeout_fraction", "route", "\"timeout_ms\":1000.5", "timeout=1001 ",
     NULL},
    {"timeout_whole_fraction", "route", "\"timeout_ms\":1000.0",
     "timeout=1000 ", NULL},
    {"timeout_exponent", "route", "\"timeout_ms\":2e3", "timeout=2000 ", NULL},
    {"timeout_below_1", "route", "\"timeout_ms\":0.25", "timeout=1 ", NULL},
    {"timeout_0", "route", "\"timeout_ms\":0", "timeout=0 ", NULL},
    {"timeout_missing", "route", "\"timeout_ms\":null",
     "usable timeout=86400000 ", NULL},
    {"timeout_text", "route", "\"timeout_ms\":\"1000\"",
     "usable timeout=86400000 ", "routes[0].timeout_ms"},
    {"timeout_negative", "route", "\"timeout_ms\":-1",
     "usable timeout=86400000 ", "routes[0].timeout_ms"},
    {"timeout_1e400", "route", "\"timeout_ms\":1e400",
     "usable timeout=86400000 ", "routes[0].timeout_ms"},
    {"timeout_2_63", "route", "\"timeout_ms\":9223372036854775808",
     "usable timeout=86400000 ", "routes[0].timeout_ms"},
    {"goal_fraction", "route", "\"latency_goal_ms\":99.5", "goal=100 ", NULL},
    {"goal_text", "route", "\"latency_goal_ms\":\"soon\"", "goal=0 ",
     "routes[0].latency_goal_ms"},
    {"gap_fraction", "route", "\"gap_aim_ms\":300.0", "gap=300 ", NULL},
    {"gap_list", "route", "\"gap_aim_ms\":[300]", "gap=0 ",
     "routes[0].gap_aim_ms"},
    {"priority_whole_fraction", "route", "\"priority\":2.0", "priority=2 ",
     NULL},
    {"priority_text", "route", "\"priority\":\"2\"", "priority=0 ",
     "routes[0].priority"},
    {"attempts_fraction", "route", "\"max_attempts\":2.9", "attempts=2 ",
     NULL},
    {"attempts_text", "route", "\"max_attempts\":\"3\"", "attempts=1 ",
     "routes[0].max_attempts"},
    {"public_text", "route", "\"public\":\"true\"", "route unusable",
     "routes[0].public"},
    {"public_1", "route", "\"public\":1", "route unusable",
     "routes[0].public"},
    {"resumable_text", "route", "\"kind\":\"stream\",\"resumable\":\"yes\"",
     "usable timeout=1000 stream=1 retryable=0 ", "routes[0].resumable"},
    {"kind_missing", "route", "\"kind\":null", "route unusable",
     "routes[0].kind"},
    {"split_text", "route", "\"split\":\"s\"", "route unusable",
     "routes[0].split"},
    {"split_empty", "route", "\"split\":[]", "usable ", NULL},
    {"service_number", "route", "\"service\":1", "route unusable",
     "routes[0].service"},

    {"weights", "split",
     "{\"service\":\"s\",\"weight\":90},{\"service\":\"t\",\"weight\":10}",
     "shares=90,10 ", NULL},
    {"weights_fractions", "split",
     "{\"service\":\"s\",\"weight\":0.75},{\"service\":\"t\",\"weight\":0.25}",
     "shares=750000,250000 ", NULL},
    {"weights_whole_fractions", "split",
     "{\"service\":\"s\",\"weight\":3.0},{\"service\":\"t\",\"weight\":1e0}",
     "shares=3,1 ", NULL},
    {"weight_tiny", "split",
     "{\"service\":\"s\",\"weight\":1},{\"service\":\"t\",\"weight\":1e-9}",
     "shares=1000000,1 ", NULL},
    {"weight_text", "split",
     "{\"service\":\"s\",\"weight\":\"9\"},{\"service\":\"t\",\"weight\":1}",
     "usable timeout=1000 stream=0 retryable=1 shares=1 ",
     "routes[0].split[0].weight"},
    {"weight_missing", "split",
     "{\"service\":\"s\",\"weight\":9},{\"service\":\"t\"}", "shares=9 ",
     "routes[0].split[1].weight"},
    {"weight_negative", "split",
     "{\"service\":\"s\",\"weight\":-1},{\"service\":\"t\",\"weight\":1}",
     "shares=1 ", "routes[0].split[0].weight"},
    {"share_of_unknown_service", "split",
     "{\"service\":\"u\",\"weight\":1},{\"service\":\"t\",\"weight\":1}",
     "shares=1 ", "routes[0].split[0].service"},
    {"share_null", "split", "null,{\"service\":\"t\",\"weight\":1}",
     "shares=1 ", "routes[0].split[0].service"},
    {"weights_0", "split", "{\"service\":\"s\",\"weight\":0}",
     "usable timeout=1000 stream=0 retryable=1 shares=0 ", NULL},
    {"no_share_left", "split", "{\"service\":\"s\",\"weight\":\"1\"}",
     "route unusable", "routes[0].split[0].weight"},

    {"service_name_of_201", "service",
     "\"name\":\"" TEXT_64 TEXT_64 TEXT_64 "123456789\"", "route unusable",
     "services[1].name"},
    {"connections_text", "service", "\"max_conns\":\"many\"", "usable ",
     "services[1].max_conns"},
    {"engine_text", "service", "\"engine\":\"x\"", "route unusable",
     "services[1].engine"},
    {"engine_null", "service", "\"engine\":null", "usable ", NULL},

    {"memory_fraction", "engine", "\"weights_mb\":200000.5",
     "memory=200000.5 ", NULL},
    {"memory_text", "engine", "\"weights_mb\":\"200000\"", "memory=0 ",
     "services[1].engine.weights_mb"},
    {"places_whole_fraction", "engine", "\"adapter_slots\":8.0", "places=8 ",
     NULL},
    {"places_text", "engine", "\"adapter_slots\":\"8\"", "places=0 ",
     "services[1].engine.adapter_slots"},
    {"loads_whole", "engine", "\"loads_per_s\":39", "loads=39 ", NULL},
    {"loads_true", "engine", "\"loads_per_s\":true", "loads=0 ",
     "services[1].engine.loads_per_s"},
    {"slots_whole_fraction", "engine", "\"slots\":16.0", "slots=16 ", NULL},
    {"slots_text", "engine", "\"slots\":\"16\"", "slots=1 ",
     "services[1].engine.slots"},
    {"tokens_whole_fraction", "engine", "\"kv_capacity\":86121.0",
     "tokens=86121 ", NULL},
    {"tokens_beyond_1e6", "engine", "\"kv_capacity\":118137000",
     "tokens=118137000 ", NULL},
    {"tokens_text", "engine", "\"kv_capacity\":\"86121\"", "tokens=0 ",
     "services[1].engine.kv_capacity"},
    {"models_object", "engine", "\"models\":{\"name\":\"m\"}",
     "route unusable", "services[1].engine.models"},
    {"model_null", "engine",
     "\"models\":[null,{\"name\":\"m\",\"weights_mb\":5}]", "models=1 mb=5 ",
     "services[1].engine.models[0].name"},

    {"model_name_missing", "model", "\"name\":null", "models=0",
     "services[1].engine.models[0].name"},
    {"model_name_of_119", "model",
     "\"name\":\"" TEXT_64
     "1234567890123456789012345678901234567890123456789012345\"",
     "models=1 ", NULL},
    {"model_name_of_121", "model",
     "\"name\":\"" TEXT_64
     "123456789012345678901234567890123456789012345678901234567\"",
     "models=0 ", "services[1].engine.models[0].name"},
    {"weights_text", "model", "\"weights_mb\":\"60000\"", "mb=1e+12 ",
     "services[1].engine.models[0].weights_mb"},
    {"weights_missing", "model", "\"weights_mb\":null", "mb=1e+12 ",
     "services[1].engine.models[0].weights_mb"},
    {"weights_negative", "model", "\"weights_mb\":-1", "mb=1e+12 ",
     "services[1].engine.models[0].weights_mb"},
    {"adapters_whole_fraction", "model", "\"adapters\":3.0", "adapters=3 ",
     NULL},
    {"adapters_fraction", "model", "\"adapters\":2.5", "adapters=0 ",
     "services[1].engine.models[0].adapters"},
    {"adapters_list", "model", "\"adapters\":[\"a1\"]", "adapters=0 ",
     "services[1].engine.models[0].adapters"},
    {"adapters_10001", "model", "\"adapters\":10001", "adapters=10000 ",
     "services[1].engine.models[0].adapters"},
    {"adapter_size_missing", "model", "\"adapter_mb\":null",
     "adapter_mb=1e+12 ", "services[1].engine.models[0].adapter_mb"},
    {"adapter_size_text", "model", "\"adapter_mb\":\"40\"",
     "adapter_mb=1e+12 ", "services[1].engine.models[0].adapter_mb"},
    {"load_fraction", "model", "\"load_s\":7.8004", "load=7801 ", NULL},
    {"load_text", "model", "\"load_s\":\"7.8\"", "load=0 ",
     "services[1].engine.models[0].load_s"},
    {"warm_below_1_ms", "model", "\"warm_s\":0.0001", "warm=1 ", NULL},
    {"disk_list", "model", "\"disk_s\":[]", "disk=0 ",
     "services[1].engine.models[0].disk_s"},

    {"head_whole_fraction", "limits", "\"max_header_bytes\":8192.0",
     "head=8192 ", NULL},
    {"head_0", "limits", "\"max_header_bytes\":0", "head=16384 ",
     "limits.max_header_bytes"},
    {"head_text", "limits", "\"max_header_bytes\":\"8192\"", "head=16384 ",
     "limits.max_header_bytes"},
    {"body_whole_fraction", "limits", "\"max_body_bytes\":4194304.0",
     "body=4194304 ", NULL},
    {"body_2_31", "limits", "\"max_body_bytes\":2147483648",
     "body=2147483647 ", "limits.max_body_bytes"},
    {"head_time_fraction", "limits", "\"header_timeout_ms\":2999.5",
     "head_ms=3000 ", NULL},
    {"idle_exponent", "limits", "\"idle_timeout_ms\":1.5e4", "idle_ms=15000 ",
     NULL},
    {"idle_false", "limits", "\"idle_timeout_ms\":false", "idle_ms=15000 ",
     "limits.idle_timeout_ms"},
};

/* Adds the case's members to the object that it names. */
static void
append_members(GString *text, const struct part_case *c, const char *object)
{
    if (strcmp(c->object, object) == 0) {
        g_string_append_printf(text, ",%s", c->members);
    }
}

static char *
format_document(const struct part_case *c)
{
    GString *text = g_string_new("{\"version\":1,\"routes\":[");

    g_string_append(text, "{\"name\":\"r\",\"host\":\"h\",\"path_prefix\":"
                          "\"/x/\",\"kind\":\"idempotent\",\"service\":\"s\","
                          "\"timeout_ms\":1000");
    append_members(text, c, "route");
    if (strcmp(c->object, "split") == 0) {
        g_string_append_printf(text, ",\"split\":[%s]", c->members);
    }
    g_string_append(text,
                    "},{\"host\":\"h\",\"path_prefix\":\"/y/\","
                    "\"kind\":\"idempotent\",\"service\":\"t\"}],"
                    "\"services\":[{\"name\":\"t\"},{\"name\":\"s\","
                    "\"engine\":{\"slots\":4,\"models\":[{\"name\":\"m\","
                    "\"weights_mb\":60000,\"adapters\":2,"
                    "\"adapter_mb\":40");
    append_members(text, c, "model");
    g_string_append(text, "}]");
    append_members(text, c, "engine");
    g_string_append(text, "}");
    append_members(text, c, "service");
    g_string_append(text, "}],\"limits\":{\"x\":1");
    append_members(text, c, "limits");
    g_string_append(text, "}}");
    return g_string_free(text, FALSE);
}

static void
describe_route(const struct gate_config *config, GString *text)
{
    const struct gate_route *route =
        gate_config_match_route(config, "h", "/x/1");

    if (route == NULL) {
        g_string_append(text, "no route ");
        return;
    }
    g_string_append_printf(
        text, "route %s timeout=%d stream=%d retryable=%d shares=",
        route->unusable ? "unusable" : "usable", (int)route->timeout_ms,
        route->stream, route->retryable);
    for (int i = 0; i < route->share_count; i++) {
        g_string_append_printf(text, "%s%d", i > 0 ? "," : "",
                               (int)route->shares[i].weight);
    }
    g_string_append_printf(
        text, " goal=%d gap=%d priority=%d attempts=%d name=%s ",
        (int)route->latency_goal_ms, (int)route->interval_goal_ms,
        route->priority, route->attempts_max, route->name);
}

static void
describe_service(const struct gate_config *config, GString *text)
{
    const struct gate_service *service = gate_config_find_service(config, "s");

    if (service == NULL) {
        return;
    }
    g_string_append_printf(
        text, "memory=%.10g places=%d loads=%g slots=%d tokens=%d models=%d ",
        service->memory_mb, service->adapter_slots, service->loads_per_s,
        service->slots, service->token_capacity, service->model_count);
    for (int i = 0; i < service->model_count; i++) {
        const struct gate_model *model = &service->models[i];

        g_string_append_printf(
            text, "mb=%g adapters=%d adapter_mb=%g load=%d warm=%d disk=%d ",
            model->weights_mb, model->adapter_count, model->adapter_mb,
            (int)model->store_load_ms, (int)model->memory_load_ms,
            (int)model->disk_load_ms);
    }
}

static char *
describe_config(const struct gate_config *config)
{
    GString *text = g_string_new(NULL);

    describe_route(config, text);
    describe_service(config, text);
    g_string_append_printf(
        text, "head=%d body=%d head_ms=%d idle_ms=%d ",
        (int)config->head_max_bytes, (int)config->body_max_bytes,
        (int)config->head_timeout_ms, (int)config->idle_timeout_ms);
    return g_string_free(text, FALSE);
}

/* Leaving out one part may leave others without what they need: the first
 * report is that of the cause. */
static void
check_fault(const struct gate_config *config, const char *place)
{
    g_assert_cmpint(config->fault_count > 0, ==, place != NULL);
    if (place != NULL) {
        g_assert_true(g_str_has_prefix(config->faults[0], place));
        g_assert_cmpint(config->faults[0][strlen(place)], ==, ':');
    }
}

static void
test_part(gconstpointer data)
{
    const struct part_case *c = data;
    char *document = format_document(c);
    struct err err = {0};
    struct gate_config *config =
        platform_decode_config(document, strlen(document), &err);
    const struct gate_route *other;
    char *read;

    g_assert_cmpstr(err.text, ==, "");
    read = describe_config(config);
    if (strstr(read, c->read) == NULL) {
        g_assert_cmpstr(read, ==, c->read);
    }
    check_fault(config, c->fault);
    other = gate_config_match_route(config, "h", "/y/1");
    g_assert_nonnull(other);
    g_assert_false(other->unusable);
    gate_config_unref(config);
    g_free(read);
    g_free(document);
}

/*
 * Guards against an engine that is left out for a number in another form of
 * JSON, and against one that is taken to have room for orders because the
 * names of items that it holds can't be read.
 */
struct entry_case {
    const char *name;
    const char *members;
    const char *read;  /* NULL when the entry is left out */
    const char *fault; /* what its error names */
};

static const struct entry_case entry_cases[] = {
    {"sound", "\"slots\":4", "slots=4 born=0 writes=0 unknown=0 ", NULL},
    {"slots_whole_fraction", "\"slots\":4.0", "slots=4 ", NULL},
    {"slots_exponent", "\"slots\":1.6e1", "slots=16 ", NULL},
    {"slots_fraction", "\"slots\":4.5", NULL, "slots "},
    {"slots_text", "\"slots\":\"4\"", NULL, "slots "},
    {"slots_missing", "\"x\":1", NULL, "slots "},
    {"born_whole_fraction", "\"slots\":4,\"born\":1764892800000.0",
     "born=1764892800000 ", NULL},
    {"born_fraction", "\"slots\":4,\"born\":1764892800000.5", NULL, "born "},
    {"writes_whole_fraction", "\"slots\":4,\"sequence\":7.0", "writes=7 ",
     NULL},
    {"writes_text", "\"slots\":4,\"sequence\":\"7\"", NULL, "sequence "},
    {"writes_2_53", "\"slots\":4,\"sequence\":9007199254740992",
     "writes=9007199254740992 ", NULL},
    {"model_unknown", "\"slots\":4,\"models\":[{\"name\":\"other\"}]",
     "unknown=1 unreadable=0 ", NULL},
    {"model_number", "\"slots\":4,\"models\":[7]", "unknown=1 unreadable=1 ",
     NULL},
    {"model_name_number", "\"slots\":4,\"models\":[{\"name\":7}]",
     "unknown=1 unreadable=1 ", NULL},
    {"model_name_missing", "\"slots\":4,\"models\":[{\"adapters\":[]}]",
     "unknown=1 unreadable=1 ", NULL},
    {"adapter_number",
     "\"slots\":4,\"models\":[{\"name\":\"m\",\"adapters\":[1]}]",
     "unknown=1 unreadable=1 cut=0 held=1 ", NULL},
    {"coming_number", "\"slots\":4,\"coming\":[1]", "unknown=1 unreadable=1 ",
     NULL},
    {"copy_number", "\"slots\":4,\"at_hand\":{\"on_disk\":[7]}",
     "unknown=0 unreadable=1 ", NULL},
};

static void
test_entry(gconstpointer data)
{
    const struct entry_case *c = data;
    char *text = g_strdup_printf(
        "{\"service\":\"s\",\"address\":\"10.0.0.1:1\",\"zone\":\"z\","
        "\"state\":\"ready\",%s}",
        c->members);
    struct target_info info = {0};
    struct err err = {0};
    char *read;

    g_quark_from_string("m");
    g_assert_cmpint(
        platform_decode.target("i-1", text, strlen(text), &info, &err), ==,
        c->read != NULL);
    read = g_strdup_printf(
        "slots=%d born=%" G_GINT64_FORMAT " writes=%" G_GINT64_FORMAT
        " unknown=%d unreadable=%d cut=%d held=%d ",
        info.slots, (gint64)info.started_ms, (gint64)info.entry_writes,
        info.has_unknown_items, info.unreadable_items, info.cut_items,
        info.held.count);
    if (c->read != NULL) {
        g_assert_nonnull(strstr(read, c->read));
    }
    else {
        g_assert_true(g_str_has_prefix(err.text, c->fault));
    }
    g_free(read);
    g_free(text);
}

/* Guards against an engine that is taken to have room because the set of what
 * it holds is full. */
struct full_case {
    const char *name;
    const char *list; /* behind which the names follow */
    int items;
    int cut;
    bool unknown;
};

static const struct full_case full_cases[] = {
    {"models_96", "\"models\":[{\"name\":\"m\",\"adapters\":[%s]}]", 95, 0,
     false},
    {"models_97", "\"models\":[{\"name\":\"m\",\"adapters\":[%s]}]", 96, 1,
     true},
    {"coming_97", "\"coming\":[%s]", 97, 1, true},
    {"on_disk_96", "\"at_hand\":{\"on_disk\":[%s]}", 96, 0, false},
    {"on_disk_97", "\"at_hand\":{\"on_disk\":[%s]}", 97, 1, false},
};

static void
test_full(gconstpointer data)
{
    const struct full_case *c = data;
    bool by_itself = strstr(c->list, "adapters") == NULL;
    GString *names = g_string_new(NULL);
    struct target_info info = {0};
    struct err err = {0};
    char **parts;
    char *text;
    char *list;

    for (int i = 0; i < c->items; i++) {
        char *item = g_strdup_printf("m/a%d", i);

        g_quark_from_string(item);
        g_string_append_printf(names, "%s\"%s\"", i > 0 ? "," : "",
                               by_itself ? item : item + 2);
        g_free(item);
    }
    g_quark_from_string("m");
    parts = g_strsplit(c->list, "%s", 2);
    list = g_strjoinv(names->str, parts);
    g_strfreev(parts);
    text = g_strdup_printf(
        "{\"service\":\"s\",\"address\":\"10.0.0.1:1\",\"zone\":\"z\","
        "\"state\":\"ready\",\"slots\":4,%s}",
        list);
    g_assert_true(
        platform_decode.target("i-1", text, strlen(text), &info, &err));
    g_assert_cmpint(info.cut_items, ==, c->cut);
    g_assert_cmpint(info.has_unknown_items, ==, c->unknown);
    g_free(text);
    g_free(list);
    g_string_free(names, TRUE);
}

/*
 * Guards against keys of the store that are missing because a list doesn't say
 * in a known form that it goes on, and against a key that counts as deleted.
 */
struct answer_case {
    const char *name;
    const char *body;
    const char *read; /* NULL for a failure */
};

#define LIST(rest) "{\"items\":[],\"store_revision\":530" rest "}"
#define ITEM(rest)                                                            \
    "{\"items\":[{\"key\":\"k\",\"value\":\"dg==\"" rest                      \
    "}],\"store_revision\":530}"

static const struct answer_case answer_cases[] = {
    {"sound", LIST(",\"truncated\":false"), "at=530 more=0 "},
    {"more", LIST(",\"truncated\":true"), "at=530 more=1 "},
    {"more_missing", LIST(""), "at=530 more=0 "},
    {"more_null", LIST(",\"truncated\":null"), "at=530 more=0 "},
    {"more_number", LIST(",\"truncated\":1"), NULL},
    {"more_text", LIST(",\"truncated\":\"true\""), NULL},
    {"revision_whole_fraction", "{\"items\":[],\"store_revision\":530.0}",
     "at=530 "},
    {"revision_fraction", "{\"items\":[],\"store_revision\":530.5}", NULL},
    {"revision_text", "{\"items\":[],\"store_revision\":\"530\"}", NULL},
    {"revision_0", "{\"items\":[],\"store_revision\":0}", NULL},
    {"revision_missing", "{\"items\":[]}", NULL},
    {"items_object", "{\"items\":{},\"store_revision\":530}", NULL},
    {"item", ITEM(",\"revision\":412,\"create_rev\":400"),
     "k@412/400=v items_rejected=0 "},
    {"item_whole_fractions", ITEM(",\"revision\":412.0,\"create_rev\":4e2"),
     "k@412/400=v items_rejected=0 "},
    {"item_without_creation", ITEM(",\"revision\":412"),
     "k@412/0=v items_rejected=0 "},
    {"item_created_at_text", ITEM(",\"revision\":412,\"create_rev\":\"400\""),
     "more=0 items_rejected=1 "},
    {"item_revision_text", ITEM(",\"revision\":\"412\""),
     "more=0 items_rejected=1 "},
    {"item_deleted", ITEM(",\"revision\":412,\"deleted\":true"),
     "k@412/0 gone items_rejected=0 "},
    {"item_not_deleted", ITEM(",\"revision\":412,\"deleted\":false"),
     "k@412/0=v items_rejected=0 "},
    {"item_deleted_text", ITEM(",\"revision\":412,\"deleted\":\"false\""),
     "more=0 items_rejected=1 "},
};

static char *
describe_items(const struct store_items *items, int rejected)
{
    GString *text = g_string_new(NULL);

    g_string_append_printf(text, "at=%d more=%d ", (int)items->revision,
                           items->more);
    for (int i = 0; i < items->count; i++) {
        const struct store_item *item = &items->items[i];

        g_string_append_printf(text, "%s@%d/%d%s%s ", item->key,
                               (int)item->revision, (int)item->create_revision,
                               item->value != NULL ? "=" : " gone",
                               item->value != NULL ? item->value : "");
    }
    g_string_append_printf(text, "items_rejected=%d ", rejected);
    return g_string_free(text, FALSE);
}

static void
test_answer(gconstpointer data)
{
    const struct answer_case *c = data;
    char *response =
        g_strdup_printf("HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
                        strlen(c->body), c->body);
    const char *answers[] = {response, NULL};
    uint64_t rejected = counter_read(CTR_ENTRIES_REJECTED);
    struct scripted_target script;
    struct platform_store store = {0};
    struct store_items items = {0};
    struct err err = {0};
    char address[ADDRESS_MAX_BYTES];
    char *read;

    script_start(&script, answers, 1);
    g_snprintf(address, sizeof(address), "127.0.0.1:%d", script.ports[0]);
    g_assert_true(platform_store_init(&store, address, 0, &err));
    g_assert_cmpint(store.base.ops->list(&store.base, "", "", &items, &err),
                    ==, c->read != NULL);
    read = describe_items(
        &items, (int)(counter_read(CTR_ENTRIES_REJECTED) - rejected));
    if (c->read != NULL) {
        g_assert_nonnull(strstr(read, c->read));
    }
    else {
        g_assert_cmpint(err.kind, ==, ERR_BAD_JSON);
    }
    g_free(read);
    store_items_clear(&items);
    platform_client_clear(&store.client);
    script_stop(&script);
    g_free(response);
}

/* Guards against a lease that is taken for a shorter or a longer one. */
struct granted_case {
    const char *name;
    const char *body;
    int64_t lease; /* 0 for a failure */
    int64_t ttl_ms;
};

static const struct granted_case granted_cases[] = {
    {"sound", "{\"lease\":77120,\"ttl_ms\":3000}", 77120, 3000},
    {"fraction", "{\"lease\":77120,\"ttl_ms\":2999.5}", 77120, 2999},
    {"whole_fractions", "{\"lease\":77120.0,\"ttl_ms\":3e3}", 77120, 3000},
    {"lease_of_63_bits", "{\"lease\":9007199254740993,\"ttl_ms\":3000}",
     9007199254740993, 3000},
    {"lease_fraction", "{\"lease\":77120.5,\"ttl_ms\":3000}", 0, 0},
    {"lease_text", "{\"lease\":\"77120\",\"ttl_ms\":3000}", 0, 0},
    {"ttl_text", "{\"lease\":77120,\"ttl_ms\":\"3000\"}", 0, 0},
    {"ttl_below_1", "{\"lease\":77120,\"ttl_ms\":0.5}", 0, 0},
    {"ttl_missing", "{\"lease\":77120}", 0, 0},
};

static void
test_granted(gconstpointer data)
{
    const struct granted_case *c = data;
    char *response =
        g_strdup_printf("HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
                        strlen(c->body), c->body);
    const char *answers[] = {response, NULL};
    struct scripted_target script;
    struct platform_store store = {0};
    struct err err = {0};
    char address[ADDRESS_MAX_BYTES];
    int64_t ttl_ms = 3000;
    int64_t lease = 0;

    script_start(&script, answers, 1);
    g_snprintf(address, sizeof(address), "127.0.0.1:%d", script.ports[0]);
    g_assert_true(platform_store_init(&store, address, 0, &err));
    g_assert_cmpint(
        store.base.ops->lease_grant(&store.base, &ttl_ms, &lease, &err), ==,
        c->lease != 0);
    if (c->lease != 0) {
        g_assert_cmpint(lease, ==, c->lease);
        g_assert_cmpint(ttl_ms, ==, c->ttl_ms);
    }
    platform_client_clear(&store.client);
    script_stop(&script);
    g_free(response);
}

/* Guards against a member that is taken as 0 or as the largest number though
 * it is another one, or none. */
struct integer_case {
    const char *name;
    const char *member;
    int64_t number; /* the fallback is -7 */
};

static const struct integer_case integer_cases[] = {
    {"integer", "2", 2},
    {"negative", "-2", -2},
    {"whole_fraction", "2.0", 2},
    {"exponent", "2e3", 2000},
    {"fraction", "2.5", -7},
    {"text", "\"2\"", 2},
    {"text_of_63_bits", "\"9223372036854775807\"", INT64_MAX},
    {"text_beyond_63_bits", "\"9223372036854775808\"", -7},
    {"text_fraction", "\"2.5\"", -7},
    {"text_empty", "\"\"", -7},
    {"text_no_number", "\"x\"", -7},
    {"text_number_and_more", "\"2x\"", -7},
    {"beyond_63_bits", "9223372036854775808", -7},
    {"below_63_bits", "-9223372036854775809", -7},
    {"beyond_64_bits", "18446744073709551616", -7},
    {"1e400", "1e400", -7},
    {"boolean", "true", -7},
    {"null", "null", -7},
    {"list", "[2]", -7},
};

static void
test_integer(gconstpointer data)
{
    const struct integer_case *c = data;
    char *text = g_strdup_printf("{\"n\":%s}", c->member);
    struct json_object *object = json_parse(text, strlen(text), NULL);

    g_assert_cmpint(json_get_int64(object, "n", -7), ==, c->number);
    g_assert_cmpint(json_get_int64(object, "m", -7), ==, -7);
    json_object_put(object);
    g_free(text);
}

int
main(int argc, char **argv)
{
    static const struct cases groups[] = {
        CASES("/document/integer", integer_cases, test_integer),
        CASES("/document/part", part_cases, test_part),
        CASES("/document/entry", entry_cases, test_entry),
        CASES("/document/full", full_cases, test_full),
        CASES("/document/answer", answer_cases, test_answer),
        CASES("/document/granted", granted_cases, test_granted),
    };

    g_test_init(&argc, &argv, NULL);
    cases_add(groups, G_N_ELEMENTS(groups));
    return g_test_run();
}
