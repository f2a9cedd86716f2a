/* The cases that are played with the stand-ins of world.c. */
#include "world.h"

#include <stdio.h>
#include <string.h>

enum {
    /* From the first token of a prompt to the first event. */
    PREFILL_MS = 260,
    RESTART_MS = 500,
    DARK_MS = 2000, /* machines without power */
    READY_MAX_MS = 12000,
};

static int sends_after; /* to engines, in touch, later than the bound */
static int64_t gates_calm_from_ms; /* all machines are in touch from then */
static int late_expected = -1;
static int64_t late_by_ms;

static void
put_config(const char *models)
{
    char *text = g_strdup_printf(
        "{\"version\":3,\"routes\":[{\"name\":\"r-chat\",\"host\":\"a.example\""
        ",\"path_prefix\":\"/chat/\",\"kind\":\"stream\",\"timeout_ms\":12000,"
        "\"latency_goal_ms\":500,\"priority\":1,\"service\":\"mind\","
        "\"max_attempts\":2,\"sticky\":true,\"resumable\":true,"
        "\"gap_aim_ms\":300},{\"name\":\"r-batch\",\"host\":\"a.example\","
        "\"path_prefix\":\"/batch/\",\"kind\":\"stream\",\"timeout_ms\":25000,"
        "\"latency_goal_ms\":3000,\"priority\":1,\"service\":\"mind\","
        "\"max_attempts\":1,\"sticky\":true,\"resumable\":false,"
        "\"gap_aim_ms\":300}],\"services\":[{\"name\":\"mind\",\"health_path\":"
        "\"/health\",\"max_conns\":250,\"protocol\":\"h1\",\"tls\":false,"
        "\"engine\":{\"slots\":32,\"kv_capacity\":119151,\"weights_mb\":200000,"
        "\"adapter_slots\":8,\"loads_per_s\":5.7,\"models\":[%s]}}],"
        "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
        "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}",
        models);

    put_key("op/config", text, strlen(text), 0);
    g_free(text);
}

#define MODEL(name)                                                           \
    "{\"name\":\"" name "\",\"weights_mb\":72700,\"load_s\":6.0,"             \
    "\"adapters\":4,\"adapter_mb\":40,\"warm_s\":0.4,\"disk_s\":1.0}"

/* Engines that hold the model m0 from the start. */
static bool
begin(int engine_total)
{
    put_config(MODEL("m0"));
    for (int i = 0; i < engine_total; i++) {
        engine_add("mind", 32);
        strcpy(engines[i].held[engines[i].held_count++], "m0");
        strcpy(engines[i].disk[engines[i].disk_count++], "m0");
    }
    gate_add("za");
    gate_add("za");
    if (!wait_ready(READY_MAX_MS)) {
        note("the gates are not ready");
        return false;
    }
    gates_calm_from_ms = now_ms() + CONTACT_MS;
    wait_until(gates_calm_from_ms);
    return true;
}

static struct attempt *
chat(int gate, const char *tag, const char *parts, int number)
{
    char fields[1024];

    snprintf(
        fields, sizeof(fields),
        "Model: m0\r\nToken-Count: 900,60\r\nPrompt-Prefix: %s,%x:300\r\n",
        parts, 0x5000 + number);
    return client_send(gate, tag, "POST", "/chat/x", fields, 6000);
}

/* Requests with the part dead01 crash their engine. */
static void
arrived_deadly(int engine, struct run *run, struct attempt *attempt)
{
    int64_t now = now_ms();

    run->next_ms = now + PREFILL_MS;
    if (strstr(run->parts, "dead01") == NULL) {
        return;
    }
    note("engine %d %s: %s arrives, parts %s", engine, engines[engine].id,
         run->id, run->parts);
    run->deadly = trouble;
    if (trouble) {
        if (crash_count >= 5 && now >= crash_ms[4] + CONTACT_MS &&
            now >= gates_calm_from_ms) {
            sends_after++;
            note(
                "counts: request %d with the part later than contact_ms after "
                "the fifth crash",
                sends_after);
        }
    }
    (void)attempt;
}

static void
judge_budget(void)
{
    note("%d crashes by the part, %d requests with it reached engines later "
         "than contact_ms after the fifth (3 are allowed), %d other requests "
         "were at work on engines that crashed",
         crash_count, sends_after, lost_with_engines);
    exit_code = sends_after > 3 ? 1 : 0;
}

/* --- sound requests are refused for what another part does --- */

static void
count_begun(const char *tag, int64_t from_ms, int64_t to_ms, int *all,
            int *begun)
{
    *all = 0;
    *begun = 0;
    for (guint i = 0; i < attempts->len; i++) {
        const struct attempt *attempt = attempts->pdata[i];

        if (strcmp(attempt->tag, tag) == 0 && attempt->sent_ms >= from_ms &&
            attempt->sent_ms < to_ms) {
            (*all)++;
            *begun += attempt->begun_ms != 0 ? 1 : 0;
        }
    }
}

static void
play_blamed(void)
{
    enum { PERIOD_MS = 1500, BEFORE = 22, AFTER = 28 };
    int64_t first_ms;
    int64_t last_crash_ms;
    int all_before, begun_before, all_after, begun_after;
    int number = 0;

    if (!begin(8)) {
        return;
    }
    first_ms = now_ms();
    for (int i = 0; i < BEFORE + AFTER; i++) {
        int64_t sound_ms = first_ms + i * PERIOD_MS;

        wait_until(sound_ms);
        chat(i % 2, "s", "a0:119,c0:79", number++);
        if (i == BEFORE - 1) {
            /* Two users of the part, between two sound requests. */
            wait_until(sound_ms + 300);
            chat(0, "d", "a0:119,dead01:60,c0:79", number++);
            wait_until(sound_ms + 820);
            chat(1, "d", "a0:119,dead01:60,c0:79", number++);
        }
        else if (i >= BEFORE && i % 2 == 0) {
            wait_until(sound_ms + 700);
            chat(i / 2 % 2, "d", "a0:119,dead01:60,c0:79", number++);
        }
    }
    wait_until(now_ms() + 2500);
    last_crash_ms = crash_count > 0
                        ? crash_ms[(crash_count < 5 ? crash_count : 5) - 1]
                        : first_ms + BEFORE * PERIOD_MS;
    count_begun("s", first_ms, first_ms + BEFORE * PERIOD_MS - 100,
                &all_before, &begun_before);
    count_begun("s", last_crash_ms + 2 * CONTACT_MS, INT64_MAX, &all_after,
                &begun_after);
    note(
        "%d crashes by the part; sound requests with the same first part that "
        "began at the first attempt: %d of %d before, %d of %d from 2 x "
        "contact_ms after the last counted crash",
        crash_count, begun_before, all_before, begun_after, all_after);
    exit_code = 0;
    if (all_before < 20 || all_after < 20) {
        exit_code = 2;
    }
    else if (begun_after * all_before * 2 < begun_before * all_after) {
        exit_code = 1;
    }
}

static const struct scenario blamed = {"blamed", play_blamed, arrived_deadly,
                                       NULL, 0};

/* --- each session with the part is blamed for itself --- */

static void
play_sessions(void)
{
    enum { SESSIONS = 7, PERIOD_MS = 7000, AHEAD = 2 };
    int64_t first_ms;
    int number = 0;

    if (!begin(10)) {
        return;
    }
    first_ms = now_ms();
    for (int i = 0; i < SESSIONS; i++) {
        int64_t at_ms = first_ms + i * PERIOD_MS;
        char sound[64];
        char deadly[64];

        /* The session's own sound request comes long before. */
        snprintf(sound, sizeof(sound), "a0:119,c%d:79", i + AHEAD);
        snprintf(deadly, sizeof(deadly), "a0:119,dead01:60,c%d:79", i);
        wait_until(at_ms);
        chat(0, "s", sound, number++);
        chat(1, "s", "a0:119,b0:79", number++);
        wait_until(at_ms + 700);
        chat(0, "d", deadly, number++);
        wait_until(at_ms + 1220);
        chat(1, "d", deadly, number++);
        for (int j = 0; j < 4; j++) {
            wait_until(at_ms + 2000 + j * 1200);
            chat(j % 2, "s", "a0:119,b0:79", number++);
        }
    }
    wait_until(now_ms() + 2500);
    judge_budget();
}

static const struct scenario sessions = {"sessions", play_sessions,
                                         arrived_deadly, NULL, 0};

/* --- the engine crashes behind its first event --- */

static void
play_first_event(void)
{
    enum { REQUESTS = 10, PERIOD_MS = 3000 };
    int64_t first_ms;
    int number = 0;

    if (!begin(10)) {
        return;
    }
    first_ms = now_ms();
    for (int i = 0; i < REQUESTS; i++) {
        int64_t at_ms = first_ms + i * PERIOD_MS;

        for (int j = 0; j < 5; j++) {
            wait_until(at_ms + j * 500);
            chat(j % 2, "s", "a0:119,b0:79", number++);
        }
        chat(i % 2, "d", "a0:119,dead01:60", number++);
    }
    wait_until(now_ms() + 3000);
    judge_budget();
}

static const struct scenario first_event = {"first_event", play_first_event,
                                            arrived_deadly, NULL, 1};

/* --- the part is the 33rd of its prompt; a trial, of no case --- */

static void
play_long_prompt(void)
{
    enum { REQUESTS = 10, PERIOD_MS = 3000, PARTS = 32 };
    GString *parts = g_string_new(NULL);
    int64_t first_ms;
    int number = 0;

    if (!begin(10)) {
        return;
    }
    for (int i = 0; i < PARTS; i++) {
        g_string_append_printf(parts, "%sa%02x:10", i > 0 ? "," : "", i);
    }
    first_ms = now_ms();
    for (int i = 0; i < REQUESTS; i++) {
        int64_t at_ms = first_ms + i * PERIOD_MS;
        char *deadly = g_strdup_printf("%s,dead01:60", parts->str);

        for (int j = 0; j < 5; j++) {
            wait_until(at_ms + j * 500);
            chat(j % 2, "s", parts->str, number++);
        }
        chat(i % 2, "d", deadly, number++);
        g_free(deadly);
    }
    wait_until(now_ms() + 3000);
    judge_budget();
}

static const struct scenario long_prompt = {"long_prompt", play_long_prompt,
                                            arrived_deadly, NULL, 0};

/* --- what is known of the part ends with the processes --- */

static void
play_forgotten(void)
{
    enum { KILLS = 3, PERIOD_MS = 20000 };
    int64_t first_ms;
    int number = 0;

    if (!begin(10)) {
        return;
    }
    first_ms = now_ms();
    for (int i = 0; i < KILLS; i++) {
        int64_t at_ms = first_ms + i * PERIOD_MS;

        wait_until(at_ms);
        for (int j = 0; j < 4; j++) {
            wait_until(at_ms + j * 3500);
            chat(j % 2, "d", "a0:119,dead01:60", number++);
            wait_until(at_ms + j * 3500 + 1500);
            chat(j % 2, "s", "a0:119,b0:79", number++);
        }
        if (i == KILLS - 1) {
            break;
        }
        wait_until(at_ms + 14000);
        if (trouble) {
            gate_kill(0, RESTART_MS);
            gate_kill(1, RESTART_MS);
        }
        gates_calm_from_ms = now_ms() + RESTART_MS + CONTACT_MS + 500;
    }
    wait_until(now_ms() + 3000);
    judge_budget();
}

/* Without the kills the part crashes engines all the same. */
static void
arrived_always_deadly(int engine, struct run *run, struct attempt *attempt)
{
    bool with = trouble;

    trouble = true;
    arrived_deadly(engine, run, attempt);
    trouble = with;
}

static const struct scenario forgotten = {"forgotten", play_forgotten,
                                          arrived_always_deadly, NULL, 0};

/* --- an order to a former process of an engine --- */

static void
arrived_plain(int engine, struct run *run, struct attempt *attempt)
{
    (void)engine;
    (void)attempt;
    run->next_ms = now_ms() + PREFILL_MS;
}

static bool
order_late(int engine, bool load, const char *item, int64_t expected)
{
    if (!load || strcmp(item, "m2") != 0 || expected != 3 ||
        late_expected >= 0) {
        return false;
    }
    late_expected = (int)expected;
    late_by_ms = now_ms() + 11500;
    engines[engine].late.at_ms = late_by_ms;
    return true;
}

static void
ask(int gate, const char *tag, const char *model, int number)
{
    char fields[256];

    snprintf(fields, sizeof(fields),
             "Model: %s\r\nToken-Count: 900,60\r\n"
             "Prompt-Prefix: a0:119,%x:300\r\n",
             model, 0x5000 + number);
    client_send(gate, tag, "POST", "/batch/x", fields, 20000);
}

/* Requests for what the other engines hold, so that they keep it. */
static void
others_until(int64_t at_ms, int *number)
{
    static const char *const models[] = {"m3", "m4", "m5", "m6", "m7", "m8"};
    static int64_t next_ms;
    static unsigned turn;

    while (now_ms() < at_ms) {
        if (now_ms() >= next_ms) {
            next_ms = now_ms() + 100;
            turn++;
            ask((int)(turn % 2), "k", models[turn % G_N_ELEMENTS(models)],
                (*number)++);
        }
        wait_until(MIN(at_ms, next_ms));
    }
}

static void
hold(struct engine *engine, const char *model)
{
    strcpy(engine->held[engine->held_count++], model);
    strcpy(engine->disk[engine->disk_count++], model);
}

static void
play_late(void)
{
    int64_t end_ms;
    int number = 0;

    put_config(
        MODEL("m0") "," MODEL("m1") "," MODEL("m2") "," MODEL("m3") "," MODEL(
            "m4") "," MODEL("m5") "," MODEL("m6") "," MODEL("m7") "," MODEL("m8"));
    for (int i = 0; i < 4; i++) {
        engine_add("mind", 32);
    }
    hold(&engines[1], "m3");
    hold(&engines[1], "m4");
    hold(&engines[2], "m5");
    hold(&engines[2], "m6");
    hold(&engines[3], "m7");
    hold(&engines[3], "m8");
    engines[0].same_id = true;
    gate_add("za");
    gate_add("za");
    /* The first ones come before the first holder decides. */
    others_until(now_ms() + 1500, &number);
    if (!wait_ready(READY_MAX_MS)) {
        note("the gates are not ready");
        return;
    }
    exit_code = 0;
    end_ms = now_ms() + 45000;
    while (now_ms() < end_ms && late_expected < 0 &&
           !engine_holds(&engines[0], "m2")) {
        others_until(now_ms() + 10, &number);
    }
    if (late_expected >= 0) {
        others_until(now_ms() + 300, &number);
        engine_crash(0, 1000, "loses power");
        gate_kill(0, DARK_MS);
        gate_kill(1, DARK_MS);
    }
    else if (trouble) {
        note("no order as expected");
        exit_code = 2;
        return;
    }
    end_ms = now_ms() + 16000;
    others_until(now_ms() + 2000, &number);
    for (int i = 0; now_ms() < end_ms; i++) {
        ask(i % 2, "a", "m0", number++);
        ask(i % 2, "b", "m1", number++);
        if (engine_holds(&engines[0], "m0") &&
            engine_holds(&engines[0], "m1")) {
            ask(i % 2, "c", "m0/a1", number++);
        }
        others_until(now_ms() + 400, &number);
    }
    note("%d crashes of engine 0; %d requests were at work there then",
         engines[0].crashes, lost_with_engines);
}

static const struct scenario late = {"late", play_late, arrived_plain,
                                     order_late, 0};

/* --- two engines crash after a restart, and all are refused --- */

/* A first event within the goal of 500 ms, pauses well within 300 ms. */
enum { BUSY_PREFILL_MS = 400, BUSY_EVENT_MS = 100 };

static void
arrived_long(int engine, struct run *run, struct attempt *attempt)
{
    (void)engine;
    (void)attempt;
    run->next_ms = now_ms() + BUSY_PREFILL_MS;
    run->event_ms = BUSY_EVENT_MS;
}

/* The engine that works on an attempt; -1 for none. */
static int
engine_of(const struct attempt *attempt)
{
    return attempt->at_engine;
}

static void
count_served(int64_t from_ms, int64_t to_ms, int *all, int *served)
{
    *all = 0;
    *served = 0;
    for (guint i = 0; i < attempts->len; i++) {
        const struct attempt *attempt = attempts->pdata[i];

        if (attempt->sent_ms >= from_ms && attempt->sent_ms < to_ms) {
            (*all)++;
            *served += attempt->status == 200 && attempt->complete ? 1 : 0;
        }
    }
}

static void
play_recover(void)
{
    enum { PERIOD_MS = 1500, BEFORE = 14, AFTER = 30 };
    int64_t first_ms;
    int64_t fault_ms;
    int64_t back_ms;
    struct attempt *a;
    struct attempt *b;
    int all_before, served_before, all_after, served_after;
    int number = 0;

    if (!begin(8)) {
        return;
    }
    first_ms = now_ms();
    for (int i = 0; i < BEFORE; i++) {
        wait_until(first_ms + i * PERIOD_MS);
        chat(i % 2, "s", "a0:119", number++);
    }
    wait_until(first_ms + BEFORE * PERIOD_MS);
    fault_ms = now_ms();
    if (trouble) {
        gate_kill(0, RESTART_MS);
        gate_kill(1, RESTART_MS);
        wait_until(now_ms() + RESTART_MS);
    }
    back_ms = now_ms();
    if (!wait_ready(READY_MAX_MS)) {
        note("the gates are not ready");
        return;
    }
    wait_until(now_ms() + 1000);
    a = chat(0, "s", "a0:119", number++);
    wait_until(now_ms() + 40);
    b = chat(0, "s", "a0:119", number++);
    wait_until(now_ms() + 40);
    chat(1, "s", "a0:119", number++);
    wait_until(now_ms() + 70);
    if (trouble && engine_of(a) >= 0) {
        engine_crash(engine_of(a), 3000, "a crash of its own");
    }
    wait_until(now_ms() + 200);
    if (trouble && engine_of(b) >= 0) {
        engine_crash(engine_of(b), 3000, "a crash of its own");
    }
    for (int i = 0; i < AFTER; i++) {
        wait_until(back_ms + 5000 + i * PERIOD_MS);
        chat(i % 2, "s", "a0:119", number++);
    }
    wait_until(now_ms() + 2500);
    count_served(first_ms, fault_ms - PERIOD_MS, &all_before, &served_before);
    count_served(back_ms + 12000, INT64_MAX, &all_after, &served_after);
    note("served: %d of %d before the final fault, %d of %d sent later than "
         "recover_s after the machines were back",
         served_before, all_before, served_after, all_after);
    exit_code = 0;
    if (all_before < 10 || served_before * 4 < all_before || all_after < 10) {
        exit_code = 2;
    }
    else if (served_after * 4 < all_after) {
        exit_code = 1;
    }
}

static const struct scenario recover = {"recover", play_recover, arrived_long,
                                        NULL, 0};

/* --- engines leave while a machine is cut off from the store --- */

static int64_t heal_ms;
static int late_requests;

static void
arrived_cut(int engine, struct run *run, struct attempt *attempt)
{
    enum { DRAIN_MS = 2000 };
    int64_t now = now_ms();
    int64_t removed_ms = engines[engine].removed_ms;

    run->next_ms = now + PREFILL_MS;
    run->event_ms = BUSY_EVENT_MS;
    if (attempt != NULL && removed_ms != 0 && now > removed_ms + DRAIN_MS &&
        attempt->sent_ms > removed_ms + DRAIN_MS && heal_ms != 0 &&
        attempt->sent_ms > heal_ms + CONTACT_MS) {
        late_requests++;
        note("DRAIN: %s, sent %" G_GINT64_FORMAT
             " ms after the path had healed, reaches engine %s"
             " %" G_GINT64_FORMAT " ms after its entry was removed",
             attempt->id, attempt->sent_ms - heal_ms, engines[engine].id,
             now - removed_ms);
    }
}

static void
play_cut(void)
{
    enum { ENGINES = 6, SERVE_ON_MS = 3600, CUT_MS = 5000 };
    int64_t first_ms;
    int64_t cut_ms = 0;
    int64_t left_ms = 0;
    int released = 0;
    int lost = 0;
    int number = 0;

    put_config(MODEL("m0") "," MODEL("m9"));
    for (int i = 0; i < ENGINES; i++) {
        engine_add("mind", 32);
        hold(&engines[i], i == ENGINES - 1 ? "m9" : "m0");
    }
    gate_add("za");
    gate_add("za");
    gate_add("za");
    if (!wait_ready(READY_MAX_MS)) {
        note("the gates are not ready");
        return;
    }
    first_ms = now_ms() + CONTACT_MS;
    while (left_ms == 0 || now_ms() < left_ms + 6000) {
        int64_t now = now_ms();

        if (cut_ms == 0 && now >= first_ms) {
            cut_ms = now;
            if (trouble) {
                gate_cut(0, true);
            }
        }
        /* Engines are replaced one after the other; the new one first. */
        if (cut_ms != 0 && released < 4 &&
            now >= cut_ms + 500 + released * 1000) {
            engine_add("mind", 32);
            engine_release(released++, SERVE_ON_MS);
        }
        /* It heals while a call is on its way. */
        if (cut_ms != 0 && heal_ms == 0 && now >= cut_ms + CUT_MS &&
            (!trouble || gates[0].cut_call_ms >= cut_ms + CUT_MS)) {
            heal_ms = now;
            if (trouble) {
                gate_cut(0, false);
            }
        }
        if (heal_ms != 0 && left_ms == 0 && now >= heal_ms + 200) {
            left_ms = now;
            engine_add("mind", 32);
            engine_release(ENGINES - 1, SERVE_ON_MS);
        }
        ask(0, "r", "m9", number++);
        wait_until(now + 100);
    }
    for (guint i = 0; i < attempts->len; i++) {
        const struct attempt *attempt = attempts->pdata[i];

        lost += attempt->sent_ms > heal_ms + CONTACT_MS &&
                attempt->at_engine == ENGINES - 1 && !attempt->complete;
    }
    note("%d requests reached an engine later than drain_ms after its entry "
         "was removed, from a machine in touch; %d answers from it were "
         "broken off",
         late_requests, lost);
    exit_code = late_requests > 0 ? 1 : 0;
}

static const struct scenario cut = {"cut", play_cut, arrived_cut, NULL, 0};

const struct scenario *const scenarios[] = {
    &recover,   &blamed, &sessions, &first_event, &long_prompt,
    &forgotten, &cut,    &late,     NULL};
