/* Tests of the claims of idempotency keys. */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "kv/dat.h"
#include "kv/fns.h"
#include "turmericd/state/claim/dat.h"
#include "turmericd/state/claim/fns.h"
#include "cases.h"

enum {
    INSTANCES = 2,
    KEYS = 8,
    TICK_MS = 10,
    UNREACHED_COUNT = 1000000, /* more calls or keys than any test uses */
    HOUR_MS = 3600000,
    MINUTE_MS = 60000,
};

static const int64_t NOW_MS = 1000000;
static const int64_t WALL_MS = 0x0197e5a61000;

/* Key-value store as seen by one instance, with injected faults. */
struct faulty_kv {
    struct kv kv;
    struct kv_memory *memory;
    int calls_before_faults; /* calls that succeed before the faults start */
    int failing_calls;       /* calls that fail without effect */
    bool lose_response;      /* the next cas takes effect but fails */
    bool delay_write;        /* the next cas fails and is kept for later */
    int failing_calls_after; /* calls that fail after that cas */
    char delayed_key[KV_KEY_MAX_BYTES];
    char *delayed_value;
    size_t delayed_value_bytes;
};

static bool
call_is_served(struct faulty_kv *faulty, struct err *err)
{
    if (faulty->calls_before_faults > 0) {
        faulty->calls_before_faults--;
        return true;
    }
    if (faulty->failing_calls > 0) {
        faulty->failing_calls--;
        return err_set(err, ERR_KV_DOWN, "call failed by the test");
    }
    return true;
}

static bool
faulty_kv_get(struct kv *kv, const char *key, struct kv_entry *entry,
              struct err *err)
{
    struct faulty_kv *faulty = (struct faulty_kv *)kv;

    return call_is_served(faulty, err) &&
           kv_get(&faulty->memory->kv, key, entry, err);
}

static bool
faulty_kv_range(struct kv *kv, const char *from, const char *end, int limit,
                struct kv_entries *entries, struct err *err)
{
    struct faulty_kv *faulty = (struct faulty_kv *)kv;

    return call_is_served(faulty, err) &&
           kv_range(&faulty->memory->kv, from, end, limit, entries, err);
}

static bool
faulty_kv_cas(struct kv *kv, const char *key, int64_t expected,
              const void *value, size_t bytes, int64_t *revision,
              struct err *err)
{
    struct faulty_kv *faulty = (struct faulty_kv *)kv;
    bool fault_due;

    if (!call_is_served(faulty, err)) {
        return false;
    }
    fault_due = faulty->calls_before_faults == 0 &&
                (faulty->lose_response || faulty->delay_write);
    if (faulty->delay_write) {
        g_strlcpy(faulty->delayed_key, key, sizeof(faulty->delayed_key));
        faulty->delayed_value = g_memdup2(value, bytes);
        faulty->delayed_value_bytes = bytes;
    }
    else if (!kv_cas(&faulty->memory->kv, key, expected, value, bytes,
                     revision, err)) {
        return false;
    }
    if (fault_due) {
        faulty->lose_response = false;
        faulty->delay_write = false;
        faulty->failing_calls = faulty->failing_calls_after;
        return err_set(err, ERR_KV_DOWN, "response lost by the test");
    }
    return true;
}

static bool
faulty_kv_remove(struct kv *kv, const char *from, const char *end,
                 struct err *err)
{
    struct faulty_kv *faulty = (struct faulty_kv *)kv;

    return call_is_served(faulty, err) &&
           kv_remove(&faulty->memory->kv, from, end, err);
}

static const struct kv_ops faulty_kv_ops = {faulty_kv_get, faulty_kv_range,
                                            faulty_kv_cas, faulty_kv_remove};

static void
apply_delayed_write(struct faulty_kv *faulty)
{
    kv_cas(&faulty->memory->kv, faulty->delayed_key, 0, faulty->delayed_value,
           faulty->delayed_value_bytes, NULL, NULL);
    g_free(faulty->delayed_value);
    faulty->delayed_value = NULL;
}

/* An instance with its claim duty; the ids are 1 and 2. */
struct test_instance {
    struct claim_port port;
    struct faulty_kv kv;
    struct claim *claim;
    struct test_instance *instances;
    uint64_t believed_owner;
    struct ring results;
    bool config_stale;
    int messages_to_drop;
};

static void
instance_report_result(struct claim_port *port,
                       const struct claim_result *result)
{
    g_assert_true(
        ring_push(&((struct test_instance *)port)->results, result, NULL));
}

static uint64_t
instance_shard_owner(struct claim_port *port, int shard)
{
    (void)shard;
    return ((struct test_instance *)port)->believed_owner;
}

static bool
instance_send(struct claim_port *port, uint64_t instance_id,
              Turmeric__Envelope *envelope)
{
    struct test_instance *instance = (struct test_instance *)port;
    size_t bytes = turmeric__envelope__get_packed_size(envelope);
    uint8_t *packed = g_malloc(bytes);
    Turmeric__Envelope *copy;

    if (instance->messages_to_drop > 0) {
        instance->messages_to_drop--;
        g_free(packed);
        return true;
    }
    turmeric__envelope__pack(envelope, packed);
    copy = turmeric__envelope__unpack(NULL, bytes, packed);
    g_free(packed);
    if (!claim_post_envelope(instance->instances[instance_id - 1].claim, copy,
                             NULL)) {
        turmeric__envelope__free_unpacked(copy, NULL);
    }
    return true;
}

static bool
instance_config_fresh(struct claim_port *port)
{
    return !((struct test_instance *)port)->config_stale;
}

static const struct claim_port_ops instance_port_ops = {
    instance_report_result, instance_shard_owner, instance_send,
    instance_config_fresh};

static void
instances_init(struct test_instance *instances, struct kv_memory *memory)
{
    kv_memory_init(memory);
    memset(instances, 0, INSTANCES * sizeof(*instances));
    for (int i = 0; i < INSTANCES; i++) {
        struct test_instance *instance = &instances[i];

        instance->port.ops = &instance_port_ops;
        instance->instances = instances;
        instance->believed_owner = 1;
        instance->kv.kv.ops = &faulty_kv_ops;
        instance->kv.memory = memory;
        ring_init(&instance->results, 16384, sizeof(struct claim_result),
                  NULL);
        instance->claim = claim_new(&instance->kv.kv, (uint64_t)i + 1,
                                    &instance->port, NULL);
        g_assert_nonnull(instance->claim);
    }
}

static void
instances_free(struct test_instance *instances, struct kv_memory *memory)
{
    for (int i = 0; i < INSTANCES; i++) {
        claim_free(instances[i].claim);
        ring_free(&instances[i].results);
        g_free(instances[i].kv.delayed_value);
    }
    kv_memory_free(memory);
}

static struct claim_request
make_text_key_request(int key, uint64_t token)
{
    struct claim_request request = {.token = token};
    char text[32];

    snprintf(text, sizeof(text), "key-%d", key);
    g_assert_true(claim_key_parse("service", text, WALL_MS, &request, NULL));
    return request;
}

static void
run_instances(struct test_instance *instances, int64_t *now_ms,
              int64_t span_ms)
{
    int64_t end_ms = *now_ms + span_ms;

    for (; *now_ms < end_ms; *now_ms += TICK_MS) {
        for (int i = 0; i < INSTANCES; i++) {
            claim_tick(instances[i].claim, *now_ms, WALL_MS);
        }
    }
}

/* Guards against a call that is sent twice, a claim without a result, a result
 * that changes, and a refused call that keeps its key claimed. The steps of a
 * script, where I is the index of an instance:
 * - claim I KEY TOKEN, release I KEY TOKEN: post a claim or a release
 * - granted I KEY TOKEN, refused I ERROR TOKEN: the next result
 * - run MS: let time pass
 * - owner I ID: instance I takes the one with ID for the owner
 * - fail I CALLS: the next calls to the key-value store fail
 * - lose_response I CALLS: the next cas takes effect but fails, then calls
 * fail
 * - delay_write I CALLS: the same, but the cas takes effect at apply_write I
 * - drop I MESSAGES: the next messages to other instances are lost
 * - stale_config I, restart I, shut_down I */
struct duty_case {
    const char *name;
    const char *script;
};

static const struct duty_case duty_cases[] = {
    {"duplicate",
     "claim 0 1 11; run 50; granted 0 1 11; claim 0 1 12; run 50; "
     "refused 0 duplicate_request 12; claim 0 1 11; run 50; granted 0 1 11"},
    {"same_batch", "claim 0 1 11; claim 0 1 12; run 50; granted 0 1 11; "
                   "refused 0 duplicate_request 12"},
    {"sent_to_owner",
     "claim 1 1 21; run 100; granted 1 1 21; claim 0 1 11; run 100; "
     "refused 0 duplicate_request 11"},
    {"request_lost", "drop 1 1; claim 1 1 21; run 600; granted 1 1 21"},
    {"reply_lost", "drop 0 1; claim 1 1 21; run 600; granted 1 1 21"},
    {"owner_unreachable",
     "drop 1 1000000; claim 1 1 21; run 4900; run 200; "
     "refused 1 claim_unavailable 21; claim 1 1 21; run 10; "
     "refused 1 claim_unavailable 21"},
    /* The owner appends the claim, but its reply comes too late. */
    {"owner_replies_lost",
     "drop 0 12; claim 1 1 21; run 5100; refused 1 claim_unavailable 21; "
     "run 5000; claim 0 1 11; run 100; granted 0 1 11"},
    {"owner_changes",
     "drop 1 1000000; claim 1 1 21; run 300; owner 1 2; run 600; "
     "granted 1 1 21"},
    {"two_owners",
     "owner 1 2; claim 0 1 11; claim 1 1 21; run 100; granted 0 1 11; "
     "refused 1 duplicate_request 21"},
    /* Both instances have read the journal. Instance 1 refuses by a set of up
     * to SET_AGE_MAX_MS of age, and grants after it has read the release. */
    {"two_owners_set_outdated",
     "owner 1 2; claim 0 1 11; run 100; claim 1 1 21; run 100; "
     "granted 0 1 11; refused 1 duplicate_request 21; release 0 1 11; "
     "run 100; claim 0 1 12; run 100; granted 0 1 12; claim 1 1 22; "
     "run 100; refused 1 duplicate_request 22; release 0 1 12; run 1100; "
     "claim 1 1 23; run 100; granted 1 1 23"},
    /* The key is free in the set of instance 1, so it appends, and the append
     * conflicts with the one of instance 0. */
    {"append_conflict",
     "owner 1 2; claim 1 1 21; run 50; granted 1 1 21; release 1 1 21; "
     "run 60; claim 0 1 11; run 50; granted 0 1 11; claim 1 1 22; "
     "run 100; refused 1 duplicate_request 22"},
    {"kv_down",
     "fail 0 1000000; claim 0 1 11; run 4900; run 200; "
     "refused 0 claim_unavailable 11; fail 0 0; run 1500; claim 0 1 12; "
     "run 100; granted 0 1 12"},
    {"kv_down_briefly", "fail 0 3; claim 0 1 11; run 4000; granted 0 1 11"},
    {"append_response_lost",
     "lose_response 0 0; claim 0 1 11; run 50; granted 0 1 11"},
    {"append_outcome_unknown_briefly",
     "lose_response 0 4; claim 0 1 11; run 4000; granted 0 1 11"},
    {"append_outcome_unknown",
     "lose_response 0 1000000; claim 0 1 11; run 5100; "
     "refused 0 claim_unavailable 11; fail 0 0; run 1500; claim 1 1 21; "
     "run 100; granted 1 1 21"},
    {"append_applied_late",
     "delay_write 0 1000000; claim 0 1 11; run 5100; "
     "refused 0 claim_unavailable 11; apply_write 0; fail 0 0; run 1500; "
     "claim 0 1 12; run 100; granted 0 1 12"},
    {"append_applied_after_other",
     "delay_write 0 1000000; claim 0 1 11; run 100; owner 1 2; "
     "claim 1 1 21; run 100; granted 1 1 21; apply_write 0; fail 0 0; "
     "run 2000; refused 0 duplicate_request 11"},
    {"restart",
     "claim 0 1 11; run 50; granted 0 1 11; restart 0; claim 0 1 12; "
     "run 50; refused 0 duplicate_request 12; claim 0 1 11; run 50; "
     "granted 0 1 11"},
    {"owner_restarts_before_reply",
     "drop 0 1000000; claim 1 1 21; run 100; restart 0; claim 0 1 11; "
     "run 600; granted 1 1 21; refused 0 duplicate_request 11"},
    {"release",
     "claim 1 1 21; run 100; granted 1 1 21; drop 1 1; release 1 1 21; "
     "run 2500; claim 0 1 11; run 100; granted 0 1 11; claim 1 1 21; "
     "run 100; refused 1 duplicate_request 21"},
    {"released_token_claimed_again",
     "claim 0 1 11; run 50; granted 0 1 11; release 0 1 11; run 100; "
     "claim 0 1 11; run 100; refused 0 claim_unavailable 11"},
    {"release_of_claim_in_progress",
     "drop 0 1; claim 1 1 21; run 50; release 1 1 21; run 100; "
     "refused 1 claim_unavailable 21; claim 0 1 11; run 100; "
     "granted 0 1 11"},
    {"release_at_shutdown",
     "claim 1 1 21; run 100; granted 1 1 21; drop 1 1000000; "
     "release 1 1 21; run 50; shut_down 1; restart 0; claim 0 1 11; "
     "run 100; granted 0 1 11"},
    {"claim_in_progress_at_shutdown",
     "fail 0 1000000; claim 0 1 11; run 100; shut_down 0; "
     "refused 0 claim_unavailable 11"},
    {"config_stale",
     "stale_config 0; claim 0 1 11; run 50; refused 0 config_stale 11"},
};

struct duty_fixture {
    struct kv_memory memory;
    struct test_instance instances[INSTANCES];
    uint64_t granted_tokens[KEYS];
    int64_t now_ms;
};

struct script_step {
    struct duty_fixture *fixture;
    struct test_instance *instance;
    int argument;
    int token;
    enum err_kind kind;
};

static void
step_claim(const struct script_step *step)
{
    struct claim_request request =
        make_text_key_request(step->argument, (uint64_t)step->token);

    g_assert_true(claim_post_request(step->instance->claim, &request, NULL));
}

static void
step_release(const struct script_step *step)
{
    struct claim_request request =
        make_text_key_request(step->argument, (uint64_t)step->token);

    step->fixture->granted_tokens[step->argument] = 0;
    g_assert_true(claim_post_release(step->instance->claim, &request, NULL));
}

static void
step_refused(const struct script_step *step)
{
    struct claim_result result = {0};

    g_assert_cmpint(ring_pop(&step->instance->results, &result, 0), ==,
                    RING_OK);
    g_assert_cmpuint(result.token, ==, step->token);
    g_assert_cmpstr(err_info(result.kind)->name, ==,
                    err_info(step->kind)->name);
}

static void
step_granted(const struct script_step *step)
{
    uint64_t *granted_token = &step->fixture->granted_tokens[step->argument];

    step_refused(step);
    g_assert_true(*granted_token == 0 ||
                  *granted_token == (uint64_t)step->token);
    *granted_token = (uint64_t)step->token;
}

static void
step_owner(const struct script_step *step)
{
    step->instance->believed_owner = (uint64_t)step->argument;
}

static void
step_fail(const struct script_step *step)
{
    step->instance->kv.failing_calls = step->argument;
}

static void
step_lose_response(const struct script_step *step)
{
    step->instance->kv.lose_response = true;
    step->instance->kv.failing_calls_after = step->argument;
}

static void
step_delay_write(const struct script_step *step)
{
    step->instance->kv.delay_write = true;
    step->instance->kv.failing_calls_after = step->argument;
}

static void
step_apply_write(const struct script_step *step)
{
    apply_delayed_write(&step->instance->kv);
}

static void
step_drop(const struct script_step *step)
{
    step->instance->messages_to_drop = step->argument;
}

static void
step_stale_config(const struct script_step *step)
{
    step->instance->config_stale = true;
}

static void
step_restart(const struct script_step *step)
{
    struct test_instance *instance = step->instance;

    claim_free(instance->claim);
    instance->messages_to_drop = 0;
    instance->claim = claim_new(&instance->kv.kv,
                                (uint64_t)(instance - instance->instances) + 1,
                                &instance->port, NULL);
}

static void
step_shut_down(const struct script_step *step)
{
    claim_shut_down(step->instance->claim, step->fixture->now_ms, WALL_MS);
}

static const struct {
    const char *name;
    void (*function)(const struct script_step *step);
} step_functions[] = {
    {"claim", step_claim},
    {"release", step_release},
    {"granted", step_granted},
    {"refused", step_refused},
    {"owner", step_owner},
    {"fail", step_fail},
    {"lose_response", step_lose_response},
    {"delay_write", step_delay_write},
    {"apply_write", step_apply_write},
    {"drop", step_drop},
    {"stale_config", step_stale_config},
    {"restart", step_restart},
    {"shut_down", step_shut_down},
};

static void
run_step(struct duty_fixture *fixture, gchar **words)
{
    struct script_step step = {.fixture = fixture};
    int count = (int)g_strv_length(words);

    if (strcmp(words[0], "run") == 0) {
        run_instances(fixture->instances, &fixture->now_ms, atoi(words[1]));
        return;
    }
    step.instance = &fixture->instances[atoi(words[1])];
    step.argument = count > 2 ? atoi(words[2]) : 0;
    step.token = count > 3 ? atoi(words[3]) : 0;
    step.kind = strcmp(words[0], "refused") == 0 ? err_kind_by_name(words[2])
                                                 : ERR_NONE;
    for (size_t i = 0; i < G_N_ELEMENTS(step_functions); i++) {
        if (strcmp(words[0], step_functions[i].name) == 0) {
            step_functions[i].function(&step);
            return;
        }
    }
    g_error("unknown step %s", words[0]);
}

static void
check_no_result(struct duty_fixture *fixture)
{
    for (int i = 0; i < INSTANCES; i++) {
        g_assert_cmpuint(ring_count(&fixture->instances[i].results), ==, 0);
    }
}

/* Results wait in the rings until a step expects them. A run that follows a
 * run also checks that no result has arrived before it. */
static void
test_duty(gconstpointer data)
{
    const struct duty_case *c = data;
    struct duty_fixture fixture = {.now_ms = NOW_MS};
    gchar **steps = g_strsplit(c->script, "; ", -1);
    bool previous_was_run = false;

    instances_init(fixture.instances, &fixture.memory);
    for (int i = 0; steps[i] != NULL; i++) {
        gchar **words = g_strsplit(steps[i], " ", -1);
        bool is_run = strcmp(words[0], "run") == 0;

        if (previous_was_run && is_run) {
            check_no_result(&fixture);
        }
        run_step(&fixture, words);
        previous_was_run = is_run;
        g_strfreev(words);
    }
    run_instances(fixture.instances, &fixture.now_ms, 6000);
    check_no_result(&fixture);
    instances_free(fixture.instances, &fixture.memory);
    g_strfreev(steps);
}

/* Guards against more appends than the key-value store sustains, batches of
 * unlimited size, and claims that are lost when a journal is compacted. */
struct load_case {
    const char *name;
    int claims;
    int claims_per_tick;
    int appends_min;
    int appends_max;
    bool compacted;
};

static const struct load_case load_cases[] = {
    {"one_claim", 1, 1, 1, 1, false},
    {"one_batch", 500, 500, 1, 1, false},
    /* One append per 40 ms, one claim per 10 ms. */
    {"append_interval", 100, 1, 25, 26, false},
    {"batch_limit", 2500, 2500, 3, 3, false},
    {"compaction", 20000, 1, 5000, 5001, true},
};

/* The last byte of the hash, which selects the shard, is 0 for all keys. */
static struct claim_request
make_shard_0_request(int number)
{
    struct claim_request request = {.token = (uint64_t)number + 1,
                                    .key_class = CLAIM_KEY_OPAQUE};

    memcpy(request.key_hash, &number, sizeof(number));
    return request;
}

static void
take_results(struct test_instance *instance, enum err_kind kind, int *count)
{
    struct claim_result result;

    while (ring_pop(&instance->results, &result, 0) == RING_OK) {
        g_assert_cmpint(result.kind, ==, kind);
        (*count)++;
    }
}

static void
request_all(struct test_instance *instances, const struct load_case *c,
            uint64_t token_offset, enum err_kind kind, int64_t *now_ms)
{
    int answered = 0;

    for (int requested = 0; answered < c->claims;) {
        for (int i = 0; i < c->claims_per_tick && requested < c->claims; i++) {
            struct claim_request request = make_shard_0_request(requested++);

            request.token += token_offset;
            g_assert_true(
                claim_post_request(instances[0].claim, &request, NULL));
        }
        run_instances(instances, now_ms, TICK_MS);
        take_results(&instances[0], kind, &answered);
    }
    g_assert_cmpint(answered, ==, c->claims);
}

static void
test_load(gconstpointer data)
{
    const struct load_case *c = data;
    struct kv_memory memory;
    struct test_instance instances[INSTANCES];
    struct kv_entry entry;
    int64_t now_ms = NOW_MS;
    uint64_t appends = counter_read(CTR_CLAIM_APPENDS);

    instances_init(instances, &memory);
    request_all(instances, c, 0, ERR_NONE, &now_ms);
    appends = counter_read(CTR_CLAIM_APPENDS) - appends;
    g_assert_cmpuint(appends, >=, c->appends_min);
    g_assert_cmpuint(appends, <=, c->appends_max);
    g_assert_true(
        kv_get(&memory.kv, "/turmeric/claims/0/000000000001", &entry, NULL));
    g_assert_cmpint(entry.revision == 0, ==, c->compacted);
    kv_entry_free(&entry);
    claim_free(instances[0].claim);
    instances[0].claim =
        claim_new(&instances[0].kv.kv, 1, &instances[0].port, NULL);
    request_all(instances, c, UNREACHED_COUNT, ERR_DUPLICATE, &now_ms);
    instances_free(instances, &memory);
}

/* Guards against an unlimited number of operations while the key-value store
 * is down, and against claims that leave no room for releases. */
static void
test_operation_limit(void)
{
    struct kv_memory memory;
    struct test_instance instances[INSTANCES];
    struct err err = {0};
    int64_t now_ms = NOW_MS;
    int requested = 0;
    int refused_count = 0;
    struct claim_result result;
    struct claim_request release;
    uint64_t refusals_before;

    instances_init(instances, &memory);
    instances[0].kv.failing_calls = UNREACHED_COUNT;
    for (int tick = 0; tick < 10; tick++) {
        for (int i = 0; i < 1000; i++) {
            struct claim_request request = make_shard_0_request(requested++);

            g_assert_true(
                claim_post_request(instances[0].claim, &request, &err));
        }
        run_instances(instances, &now_ms, TICK_MS);
    }
    while (ring_pop(&instances[0].results, &result, 0) == RING_OK) {
        g_assert_cmpint(result.kind, ==, ERR_TABLE_FULL);
        refused_count++;
    }
    g_assert_cmpint(refused_count, >, 0);
    release = make_shard_0_request(UNREACHED_COUNT);
    refusals_before = refusal_read(ERR_TABLE_FULL);
    g_assert_true(claim_post_release(instances[0].claim, &release, &err));
    run_instances(instances, &now_ms, TICK_MS);
    g_assert_cmpuint(refusal_read(ERR_TABLE_FULL), ==, refusals_before);
    run_instances(instances, &now_ms, 5200);
    refused_count += (int)ring_count(&instances[0].results);
    g_assert_cmpint(refused_count, ==, requested);
    while (err.kind == ERR_NONE) {
        struct claim_request request = make_shard_0_request(requested++);

        claim_post_request(instances[0].claim, &request, &err);
    }
    g_assert_cmpint(err.kind, ==, ERR_RING_FULL);
    instances_free(instances, &memory);
}

static void *
run_duty(void *argument)
{
    struct duty *duty = claim_duty(argument);

    g_assert_true(duty->ops->run(duty, NULL));
    return NULL;
}

/* Guards against two instances that both grant a key when their threads append
 * to the same shards. */
static void
test_concurrent_claims(void)
{
    enum { CLAIMED_KEYS = 300 };
    struct kv_memory memory;
    struct test_instance instances[INSTANCES];
    pthread_t threads[INSTANCES];
    int granted[CLAIMED_KEYS] = {0};

    instances_init(instances, &memory);
    instances[1].believed_owner = 2;
    for (int i = 0; i < INSTANCES; i++) {
        pthread_create(&threads[i], NULL, run_duty, instances[i].claim);
    }
    for (int key = 0; key < CLAIMED_KEYS; key++) {
        for (int i = 0; i < INSTANCES; i++) {
            struct claim_request request = make_text_key_request(
                key, (uint64_t)(key * INSTANCES + i + 1));

            g_assert_true(
                claim_post_request(instances[i].claim, &request, NULL));
        }
    }
    for (int i = 0; i < INSTANCES * CLAIMED_KEYS; i++) {
        struct claim_result result;

        g_assert_cmpint(
            ring_pop(&instances[i % INSTANCES].results, &result, -1), ==,
            RING_OK);
        granted[(result.token - 1) / INSTANCES] += result.kind == ERR_NONE;
    }
    for (int key = 0; key < CLAIMED_KEYS; key++) {
        g_assert_cmpint(granted[key], <=, 1);
    }
    for (int i = 0; i < INSTANCES; i++) {
        claim_duty(instances[i].claim)
            ->ops->stop(claim_duty(instances[i].claim));
        pthread_join(threads[i], NULL);
    }
    instances_free(instances, &memory);
}

/* Guards against malformed messages of other instances. */
struct message_case {
    const char *name;
    uint64_t sender;
    size_t hash_bytes;
    uint32_t key_class;
    int64_t key_time_ms;
    uint32_t shard;
    bool accepted;
};

static const struct message_case message_cases[] = {
    {"valid", 2, 16, 1, 0, 0, true},
    {"no_sender", 0, 16, 1, 0, 0, false},
    {"short_hash", 2, 15, 1, 0, 0, false},
    {"unknown_key_class", 2, 16, 2, 0, 0, false},
    {"negative_key_time", 2, 16, 0, -1, 0, false},
    {"time_over_48_bits", 2, 16, 0, (int64_t)1 << 48, 0, false},
    {"wrong_shard", 2, 16, 1, 0, 3, false},
};

static void
test_message(gconstpointer data)
{
    const struct message_case *c = data;
    struct kv_memory memory;
    struct test_instance instances[INSTANCES];
    struct err err = {0};
    unsigned char hash[CLAIM_HASH_BYTES] = {0};
    Turmeric__Envelope envelope = TURMERIC__ENVELOPE__INIT;
    Turmeric__Envelope *copy;
    Turmeric__ClaimAsk ask = TURMERIC__CLAIM_ASK__INIT;
    uint8_t packed[128];
    size_t bytes;

    instances_init(instances, &memory);
    envelope.from = c->sender;
    envelope.body_case = TURMERIC__ENVELOPE__BODY_CLAIM_ASK;
    envelope.claim_ask = &ask;
    ask.key_hash.data = hash;
    ask.key_hash.len = c->hash_bytes;
    ask.key_class = c->key_class;
    ask.key_time_ms = c->key_time_ms;
    ask.shard = c->shard;
    bytes = turmeric__envelope__pack(&envelope, packed);
    copy = turmeric__envelope__unpack(NULL, bytes, packed);
    if (claim_post_envelope(instances[0].claim, copy, &err) != c->accepted) {
        g_test_fail();
    }
    if (!c->accepted) {
        g_assert_cmpint(err.kind, ==, ERR_BAD_FRAME);
        turmeric__envelope__free_unpacked(copy, NULL);
    }
    instances_free(instances, &memory);
}

/* Guards against keys that are accepted although too old or too far in the
 * future, and against keys that are assigned the wrong class. The timestamp of
 * UUIDV7, 0197e5a6-1000, is WALL_MS. */
struct key_case {
    const char *name;
    const char *key;
    int64_t wall_offset_ms;
    enum err_kind kind;
    enum claim_key_class key_class;
};

#define UUIDV7 "0197e5a6-1000-7abc-8def-0123456789ab"

static const struct key_case key_cases[] = {
    {"uuidv7", UUIDV7, 0, ERR_NONE, CLAIM_KEY_UUIDV7},
    {"max_age", UUIDV7, 24 * HOUR_MS, ERR_NONE, CLAIM_KEY_UUIDV7},
    {"expired", UUIDV7, 24 * HOUR_MS + 1, ERR_KEY_EXPIRED, CLAIM_KEY_UUIDV7},
    {"max_future", UUIDV7, -5 * MINUTE_MS, ERR_NONE, CLAIM_KEY_UUIDV7},
    {"too_far_in_future", UUIDV7, -5 * MINUTE_MS - 1, ERR_KEY_IN_FUTURE,
     CLAIM_KEY_UUIDV7},
    {"uuidv4", "0197e5a6-1000-4abc-8def-0123456789ab", 99 * (int64_t)HOUR_MS,
     ERR_NONE, CLAIM_KEY_OPAQUE},
    {"other_variant", "0197e5a6-1000-7abc-cdef-0123456789ab", 0, ERR_NONE,
     CLAIM_KEY_OPAQUE},
    {"no_dash", "0197e5a6-1000-7abc-8def00123456789ab", 0, ERR_NONE,
     CLAIM_KEY_OPAQUE},
    {"not_hex", "0197e5a6-1000-7abc-8def-0123456789ag", 0, ERR_NONE,
     CLAIM_KEY_OPAQUE},
    {"plain_text", "order 17", 0, ERR_NONE, CLAIM_KEY_OPAQUE},
    {"empty", "", 0, ERR_KEY_BAD, CLAIM_KEY_OPAQUE},
    {"control_character", "a\tb", 0, ERR_KEY_BAD, CLAIM_KEY_OPAQUE},
    {"not_ascii", "caf\xc3\xa9", 0, ERR_KEY_BAD, CLAIM_KEY_OPAQUE},
};

static void
test_key(gconstpointer data)
{
    const struct key_case *c = data;
    struct claim_request request = {0};
    struct err err = {0};

    claim_key_parse("s", c->key, WALL_MS + c->wall_offset_ms, &request, &err);
    g_assert_cmpint(err.kind, ==, c->kind);
    if (c->kind != ERR_KEY_BAD) {
        g_assert_cmpint(request.key_class, ==, c->key_class);
        g_assert_cmpint(request.key_time_ms, ==,
                        c->key_class == CLAIM_KEY_UUIDV7 ? WALL_MS : 0);
    }
}

/* Guards against keys that are too long, a hash that depends on the case of a
 * UUIDv7, and equal hashes for different services. */
static void
test_key_hash(void)
{
    struct claim_request requests[4];
    char key[CLAIM_KEY_MAX_BYTES + 2];
    char *upper = g_ascii_strup(UUIDV7, -1);

    memset(key, 'k', sizeof(key));
    key[CLAIM_KEY_MAX_BYTES + 1] = '\0';
    g_assert_false(claim_key_parse("s", key, WALL_MS, requests, NULL));
    key[CLAIM_KEY_MAX_BYTES] = '\0';
    g_assert_true(claim_key_parse("s", key, WALL_MS, requests, NULL));
    g_assert_true(claim_key_parse("s", UUIDV7, WALL_MS, &requests[0], NULL));
    g_assert_true(claim_key_parse("s", upper, WALL_MS, &requests[1], NULL));
    g_assert_true(claim_key_parse("ab", "c", WALL_MS, &requests[2], NULL));
    g_assert_true(claim_key_parse("a", "bc", WALL_MS, &requests[3], NULL));
    g_assert_cmpmem(requests[0].key_hash, 16, requests[1].key_hash, 16);
    g_assert_true(memcmp(requests[2].key_hash, requests[3].key_hash, 16) != 0);
    g_free(upper);
}

/* Guards against decisions that do not follow from the records of the journal
 * and their order. A record is c (claim) or r (release), a key and a token; an
 * upper-case C or R stands for a UUIDv7 key created at WALL_MS. */
struct set_case {
    const char *name;
    const char *journal;
    const char *record;
    int64_t wall_offset_ms;
    enum claim_decision decision;
    enum err_kind kind;
};

static const struct set_case set_cases[] = {
    {"unclaimed", "", "c1a", 0, CLAIM_APPEND, ERR_NONE},
    {"same_token", "c1a", "c1a", 0, CLAIM_IN_EFFECT, ERR_NONE},
    {"other_key", "c1a", "c2b", 0, CLAIM_APPEND, ERR_NONE},
    {"duplicate", "c1a", "c1b", 0, CLAIM_REFUSED, ERR_DUPLICATE},
    {"first_claim_wins", "c1ac1b", "c1b", 0, CLAIM_REFUSED, ERR_DUPLICATE},
    {"released", "c1ar1a", "c1b", 0, CLAIM_APPEND, ERR_NONE},
    {"release_of_other_token", "c1ar1b", "c1c", 0, CLAIM_REFUSED,
     ERR_DUPLICATE},
    {"claimed_again", "c1ar1ac1b", "c1c", 0, CLAIM_REFUSED, ERR_DUPLICATE},
    {"repeated_old_release", "c1ar1ac1br1a", "c1c", 0, CLAIM_REFUSED,
     ERR_DUPLICATE},
    {"claim_after_release", "r1ac1a", "c1b", 0, CLAIM_APPEND, ERR_NONE},
    {"released_token", "c1ar1a", "c1a", 0, CLAIM_REFUSED,
     ERR_CLAIM_UNAVAILABLE},
    {"release", "c1a", "r1a", 0, CLAIM_APPEND, ERR_NONE},
    {"repeated_release", "c1ar1a", "r1a", 0, CLAIM_IN_EFFECT, ERR_NONE},
    {"max_age", "", "C1a", 24 * HOUR_MS, CLAIM_APPEND, ERR_NONE},
    {"expired", "", "C1a", 24 * HOUR_MS + 1, CLAIM_REFUSED, ERR_KEY_EXPIRED},
    /* One clock is 5 min ahead, the other 5 min behind. */
    {"retained", "C1a", "C1b", 24 * HOUR_MS + 10 * MINUTE_MS, CLAIM_REFUSED,
     ERR_DUPLICATE},
    {"removed", "C1a", "C1b", 24 * HOUR_MS + 10 * MINUTE_MS + 1, CLAIM_REFUSED,
     ERR_KEY_EXPIRED},
    {"opaque_never_expires", "c1a", "c1b", 9000 * (int64_t)HOUR_MS,
     CLAIM_REFUSED, ERR_DUPLICATE},
};

static struct claim_record
parse_record(const char *text)
{
    bool is_uuidv7 = g_ascii_isupper(text[0]);
    struct claim_record record = {
        .token = (uint64_t)text[2],
        .key_time_ms = is_uuidv7 ? WALL_MS : 0,
        .key_class = is_uuidv7 ? CLAIM_KEY_UUIDV7 : CLAIM_KEY_OPAQUE,
        .release = g_ascii_tolower(text[0]) == 'r',
    };

    record.key_hash[0] = (unsigned char)text[1];
    return record;
}

/* Rebuilds a set from its export, as a snapshot does. The copy must decide
 * like the original. */
static void
copy_set(struct claim_set *to, const struct claim_set *from)
{
    uint32_t count;
    struct claim_record *records = claim_set_export(from, &count);
    struct claim_batch batch = {7, records, count};
    struct claim_batch decoded;
    unsigned char *encoded = g_malloc(claim_batch_bytes(count));

    claim_batch_encode(&batch, encoded);
    g_assert_true(
        claim_batch_decode(encoded, claim_batch_bytes(count), &decoded, NULL));
    for (uint32_t i = 0; i < decoded.count; i++) {
        claim_set_apply(to, &decoded.records[i]);
    }
    claim_batch_free(&decoded);
    g_free(encoded);
    g_free(records);
}

static void
test_set(gconstpointer data)
{
    const struct set_case *c = data;
    struct claim_record candidate = parse_record(c->record);
    struct claim_set sets[2];

    claim_set_init(&sets[0]);
    claim_set_init(&sets[1]);
    for (const char *text = c->journal; *text != '\0'; text += 3) {
        struct claim_record record = parse_record(text);

        claim_set_apply(&sets[0], &record);
    }
    claim_set_remove_expired(&sets[0], WALL_MS + c->wall_offset_ms);
    copy_set(&sets[1], &sets[0]);
    for (int i = 0; i < 2; i++) {
        enum err_kind kind;

        g_assert_cmpint(claim_set_decide(&sets[i], &candidate,
                                         WALL_MS + c->wall_offset_ms, &kind),
                        ==, c->decision);
        g_assert_cmpint(kind, ==, c->kind);
        claim_set_free(&sets[i]);
    }
}

/* Guards against an unlimited number of opaque claims and released tokens. */
static void
test_set_limits(void)
{
    struct claim_set set;
    struct claim_record record = parse_record("c1a");
    enum err_kind kind;

    claim_set_init(&set);
    for (int i = 0; i < CLAIM_OPAQUE_MAX; i++) {
        memcpy(record.key_hash, &i, sizeof(i));
        g_assert_cmpint(claim_set_decide(&set, &record, 0, &kind), ==,
                        CLAIM_APPEND);
        claim_set_apply(&set, &record);
    }
    record.key_hash[15] = 1;
    g_assert_cmpint(claim_set_decide(&set, &record, 0, &kind), ==,
                    CLAIM_REFUSED);
    g_assert_cmpint(kind, ==, ERR_CLAIMS_FULL);
    record.key_class = CLAIM_KEY_UUIDV7;
    g_assert_cmpint(claim_set_decide(&set, &record, 0, &kind), ==,
                    CLAIM_APPEND);
    record.release = true;
    for (uint64_t token = 1000; token <= 1000 + CLAIM_RELEASED_TOKENS_MAX;
         token++) {
        record.token = token;
        claim_set_apply(&set, &record);
    }
    g_assert_cmpint(claim_set_decide(&set, &record, 0, &kind), ==,
                    CLAIM_IN_EFFECT);
    record.token = 1000;
    g_assert_cmpint(claim_set_decide(&set, &record, 0, &kind), ==,
                    CLAIM_APPEND);
    claim_set_free(&set);
}

/* Guards against decoding a damaged or newer entry with claims missing. */
struct decode_case {
    const char *name;
    int offset;
    unsigned char value;
    int truncated_bytes;
    bool valid;
};

static const struct decode_case decode_cases[] = {
    {"valid", 0, 1, 0, true},
    {"unknown_version", 0, 2, 0, false},
    {"truncated", 0, 1, 1, false},
    {"empty", 0, 1, 46, false},
    {"header_only", 0, 1, 33, false},
    {"count_too_low", 12, 0, 0, false},
    {"count_too_high", 9, 255, 0, false},
    {"unknown_flags", 13, 4, 0, false},
};

static void
test_decode(gconstpointer data)
{
    const struct decode_case *c = data;
    struct claim_record record = parse_record("c1a");
    struct claim_batch batch = {7, &record, 1};
    unsigned char encoded[46];
    struct err err = {0};

    g_assert_cmpuint(claim_batch_bytes(1), ==, sizeof(encoded));
    claim_batch_encode(&batch, encoded);
    encoded[c->offset] = c->value;
    g_assert_cmpint(claim_batch_decode(
                        encoded, sizeof(encoded) - (size_t)c->truncated_bytes,
                        &batch, &err),
                    ==, c->valid);
    g_assert_cmpint(err.kind, ==, c->valid ? ERR_NONE : ERR_INTERNAL);
    if (c->valid) {
        claim_batch_free(&batch);
    }
}

/* An instance that uses the store of shard 0. */
struct store_user {
    struct faulty_kv kv;
    struct claim_store store;
    struct claim_set set;
    uint64_t last_batch_id;
};

static void
store_user_init(struct store_user *user, struct kv_memory *memory,
                uint64_t last_batch_id)
{
    memset(user, 0, sizeof(*user));
    user->kv.kv.ops = &faulty_kv_ops;
    user->kv.memory = memory;
    user->last_batch_id = last_batch_id;
    claim_set_init(&user->set);
    g_assert_true(claim_store_init(&user->store, &user->kv.kv, 0, NULL));
}

static void
store_user_free(struct store_user *user)
{
    claim_store_free(&user->store);
    claim_set_free(&user->set);
}

static enum journal_append_result
store_user_append(struct store_user *user, const char *text)
{
    struct claim_record record = parse_record(text);
    struct claim_batch batch = {++user->last_batch_id, &record, 1};
    unsigned char encoded[46];
    enum journal_append_result result;

    claim_batch_encode(&batch, encoded);
    result = claim_store_append(&user->store, encoded, sizeof(encoded), NULL);
    if (result == JOURNAL_APPENDED) {
        claim_set_apply(&user->set, &record);
    }
    return result;
}

static bool
store_user_has_claims(struct store_user *user, const char *keys)
{
    for (; *keys != '\0'; keys++) {
        char text[] = {'c', *keys, 'z', '\0'};
        struct claim_record record = parse_record(text);
        enum err_kind kind;

        claim_set_decide(&user->set, &record, 0, &kind);
        if (kind != ERR_DUPLICATE) {
            return false;
        }
    }
    return true;
}

/* Guards against an instance that misses a claim because of a compaction: it
 * reads a gap, or an append of its own or of another instance creates a
 * removed entry number again. The reader and a paused instance have read one
 * entry; then an active instance appends and compacts. The actions:
 * - a: the active instance appends
 * - c: the active instance compacts
 * - p: an append of the paused instance is refused
 * - b: the paused instance compacts
 * - B: a compaction of the paused instance is refused */
struct compaction_race_case {
    const char *name;
    const char *actions;
    enum journal_append_result append_result;
    const char *claimed_keys;
};

static const struct compaction_race_case compaction_race_cases[] = {
    {"entry_not_read", "a", JOURNAL_CONFLICT, "12"},
    {"gap", "aac", JOURNAL_CONFLICT, "123"},
    {"all_entries_removed", "ac", JOURNAL_CONFLICT, "12"},
    {"gap_before_entry", "aaca", JOURNAL_CONFLICT, "1234"},
    {"number_created_again", "aacp", JOURNAL_CONFLICT, "123"},
    {"number_created_again_before_entry", "acpa", JOURNAL_CONFLICT, "123"},
    {"compacted_by_paused", "ab", JOURNAL_CONFLICT, "12"},
    {"older_snapshot", "acaB", JOURNAL_CONFLICT, "123"},
    {"compacted_twice", "acaca", JOURNAL_CONFLICT, "1234"},
};

static void
test_compaction_race(gconstpointer data)
{
    const struct compaction_race_case *c = data;
    struct kv_memory memory;
    struct store_user active;
    struct store_user reader;
    struct store_user paused;
    char text[] = "c1a";

    kv_memory_init(&memory);
    store_user_init(&active, &memory, 100);
    store_user_init(&reader, &memory, 200);
    store_user_init(&paused, &memory, 300);
    g_assert_true(claim_store_catch_up(&active.store, &active.set, NULL));
    g_assert_cmpint(store_user_append(&active, text), ==, JOURNAL_APPENDED);
    g_assert_true(claim_store_catch_up(&reader.store, &reader.set, NULL));
    g_assert_true(claim_store_catch_up(&paused.store, &paused.set, NULL));
    for (const char *action = c->actions; *action != '\0'; action++) {
        if (*action == 'a') {
            text[1]++;
            g_assert_cmpint(store_user_append(&active, text), ==,
                            JOURNAL_APPENDED);
        }
        else if (*action == 'c') {
            g_assert_true(claim_store_compact(&active.store, &active.set,
                                              ++active.last_batch_id, NULL));
        }
        else if (g_ascii_tolower(*action) == 'b') {
            g_assert_cmpint(claim_store_compact(&paused.store, &paused.set,
                                                ++paused.last_batch_id, NULL),
                            ==, *action == 'b');
        }
        else {
            g_assert_cmpint(store_user_append(&paused, "c9p"), ==,
                            JOURNAL_CONFLICT);
        }
    }
    /* The reader appends, which must not take effect, before it catches up;
     * the paused instance only catches up. */
    g_assert_cmpint(store_user_append(&reader, "c2r"), ==, c->append_result);
    g_assert_true(claim_store_catch_up(&reader.store, &reader.set, NULL));
    g_assert_true(store_user_has_claims(&reader, c->claimed_keys));
    g_assert_false(store_user_has_claims(&reader, "9"));
    g_assert_true(claim_store_catch_up(&paused.store, &paused.set, NULL));
    g_assert_true(store_user_has_claims(&paused, c->claimed_keys));
    store_user_free(&active);
    store_user_free(&reader);
    store_user_free(&paused);
    kv_memory_free(&memory);
}

/* Guards against a second entry when an append succeeds and the read of the
 * snapshot pointer after it fails. */
static void
test_append_verification_fails(void)
{
    struct kv_memory memory;
    struct store_user user;

    kv_memory_init(&memory);
    store_user_init(&user, &memory, 100);
    g_assert_true(claim_store_catch_up(&user.store, &user.set, NULL));
    user.kv.calls_before_faults = 1;
    user.kv.failing_calls = 1;
    g_assert_cmpint(store_user_append(&user, "c1a"), ==, JOURNAL_IN_DOUBT);
    g_assert_cmpint(store_user_append(&user, "c1a"), ==, JOURNAL_APPENDED);
    g_assert_cmpint(memory.writes, ==, 1);
    store_user_free(&user);
    kv_memory_free(&memory);
}

/* Guards against claims that are lost when a compaction fails at any of its
 * calls, whether or not the failed call took effect. */
static void
test_compaction_interrupted(void)
{
    bool completed = false;

    for (int call = 0; !completed; call++) {
        for (int effective = 0; effective < 2; effective++) {
            struct kv_memory memory;
            struct store_user active;
            struct store_user reader;
            bool compacted;

            kv_memory_init(&memory);
            store_user_init(&active, &memory, 100);
            store_user_init(&reader, &memory, 200);
            g_assert_true(
                claim_store_catch_up(&active.store, &active.set, NULL));
            store_user_append(&active, "c1a");
            store_user_append(&active, "c2b");
            active.kv.calls_before_faults = call;
            active.kv.lose_response = effective;
            active.kv.failing_calls = effective ? 0 : UNREACHED_COUNT;
            compacted =
                claim_store_compact(&active.store, &active.set, 1, NULL);
            completed = completed || (compacted && !effective);
            active.kv.lose_response = false;
            active.kv.failing_calls = 0;
            g_assert_true(
                claim_store_catch_up(&reader.store, &reader.set, NULL));
            g_assert_true(store_user_has_claims(&reader, "12"));
            g_assert_true(
                claim_store_catch_up(&active.store, &active.set, NULL));
            g_assert_cmpint(store_user_append(&active, "c3c"), ==,
                            JOURNAL_APPENDED);
            g_assert_true(
                claim_store_compact(&active.store, &active.set, 2, NULL));
            g_assert_true(
                claim_store_catch_up(&reader.store, &reader.set, NULL));
            g_assert_true(store_user_has_claims(&reader, "123"));
            store_user_free(&active);
            store_user_free(&reader);
            kv_memory_free(&memory);
        }
        g_assert_cmpint(call, <, 20);
    }
}

static const struct cases groups[] = {
    CASES("/claim/key", key_cases, test_key),
    CASES("/claim/set", set_cases, test_set),
    CASES("/claim/decode", decode_cases, test_decode),
    CASES("/claim/compaction_race", compaction_race_cases,
          test_compaction_race),
    CASES("/claim/duty", duty_cases, test_duty),
    CASES("/claim/load", load_cases, test_load),
    CASES("/claim/message", message_cases, test_message),
};

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    cases_add(groups, G_N_ELEMENTS(groups));
    g_test_add_func("/claim/key_hash", test_key_hash);
    g_test_add_func("/claim/set_limits", test_set_limits);
    g_test_add_func("/claim/append_verification_fails",
                    test_append_verification_fails);
    g_test_add_func("/claim/compaction_interrupted",
                    test_compaction_interrupted);
    g_test_add_func("/claim/operation_limit", test_operation_limit);
    g_test_add_func("/claim/concurrent_claims", test_concurrent_claims);
    return g_test_run();
}
