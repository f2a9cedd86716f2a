/*
 * Messages and bytes of the quotas at 28, 60 and 340 instances with 16 teams
 * of very unequal size, in virtual time, and the processor time of the holder
 * for an answer.
 */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "turmericd/fleet/peer/dat.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/follow/dat.h"
#include "gate/relay/dat.h"
#include "gate/peers/dat.h"
#include "gate/peers/fns.h"
#include "gate/quota/dat.h"
#include "gate/quota/fns.h"
#include "bench/dat.h"
#include "bench/fns.h"
#include "../test/quota_sim.h"

enum { SECONDS = 20, WARM_MS = 6000, TEAMS = 16, FRAME_BYTES = 4 };

/* Deployment P: 207 requests a second with 254,000 tokens, of which the first
 * team has a third and each further one two thirds of the one before. */
/* Encoded as a wall time is. */
static const int64_t START_MS = 1796370628419;

static const double REQUESTS_PER_S = 207.0;
static const double UNITS_MEAN = 1300.0;
static const double QUOTA_SHARE = 1.8;

static size_t
size_of(Turmeric__Envelope *envelope)
{
    envelope->version = 1;
    envelope->from = UINT64_MAX;
    return turmeric__envelope__get_packed_size(envelope) + FRAME_BYTES;
}

static size_t
ask_size(const struct quota_ask *ask)
{
    Turmeric__Envelope envelope = TURMERIC__ENVELOPE__INIT;
    size_t bytes;

    envelope.body_case = TURMERIC__ENVELOPE__BODY_GATE_QUOTA_ASK;
    envelope.gate_quota_ask = peers_encode_quota_ask(ask);
    envelope.gate_quota_ask->start = START_MS;
    bytes = size_of(&envelope);
    peers_free_quota_ask(envelope.gate_quota_ask);
    return bytes;
}

static size_t
grant_size(const struct quota_grant *grant)
{
    Turmeric__Envelope envelope = TURMERIC__ENVELOPE__INIT;
    size_t bytes;

    envelope.body_case = TURMERIC__ENVELOPE__BODY_GATE_QUOTA_GRANT;
    envelope.gate_quota_grant = peers_encode_quota_grant(grant);
    bytes = size_of(&envelope);
    peers_free_quota_grant(envelope.gate_quota_grant);
    return bytes;
}

/* Sets @per_s to the requests per second of each team. */
static void
set_teams(struct gate_team *teams, double *per_s, double factor)
{
    static char names[TEAMS][NAME_MAX_BYTES];
    double share = 1.0 / 3.0;

    for (int i = 0; i < TEAMS; i++) {
        memset(&teams[i], 0, sizeof(teams[i]));
        g_snprintf(names[i], sizeof(names[i]), "team-%d", i);
        teams[i].name = names[i];
        per_s[i] = MAX(REQUESTS_PER_S * factor * share, 1.3);
        teams[i].rate_per_s = per_s[i] * UNITS_MEAN * QUOTA_SHARE;
        teams[i].burst = teams[i].rate_per_s * 2;
        share *= 2.0 / 3.0;
    }
}

static void
run_load(struct sim *sim, const double *per_s, int64_t duration_ms)
{
    for (int64_t end_ms = sim->now_ms + duration_ms; sim->now_ms < end_ms;) {
        for (int team = 0; team < TEAMS; team++) {
            double count = per_s[team] * SIM_STEP_MS / 1000.0;

            for (; g_rand_double(sim->random) < count; count -= 1.0) {
                sim_request(sim, g_rand_int_range(sim->random, 0, sim->count),
                            team, g_rand_int_range(sim->random, 400, 2200));
            }
        }
        sim_step(sim);
    }
}

static void
print_waits(const struct sim *sim, int first)
{
    int64_t requests = 0;
    int64_t waited = 0;
    int64_t refused = 0;
    int64_t wait_ms = 0;
    int64_t refused_wait_ms = 0;

    for (int i = first; i < (first == 0 ? 1 : TEAMS); i++) {
        const struct sim_team *team = &sim->results[i];

        requests += (int64_t)team->served->len + team->refused + team->unknown;
        waited += team->waited;
        refused += team->refused + team->unknown;
        wait_ms += team->served_wait_ms;
        refused_wait_ms += team->refused_wait_ms;
    }
    printf("  %s: requests=%" G_GINT64_FORMAT " waited=%.3f refused=%.3f "
           "served_wait_ms=%.2f refused_wait_ms=%.2f\n",
           first == 0 ? "first team" : "others    ", requests,
           (double)waited / (double)requests,
           (double)refused / (double)requests,
           (double)wait_ms / (double)MAX(requests - refused, 1),
           (double)refused_wait_ms / (double)MAX(refused, 1));
}

static void
measure(int instances, double factor, double first_times, const char *name)
{
    struct gate_team teams[TEAMS];
    double per_s[TEAMS];
    struct sim sim;
    int64_t asks;
    int64_t grants;
    int64_t bytes;

    set_teams(teams, per_s, factor);
    sim_init(&sim, 7, instances, teams, TEAMS);
    sim.ask_size = ask_size;
    sim.grant_size = grant_size;
    sim_begin_term(&sim, 0);
    run_load(&sim, per_s, WARM_MS);
    per_s[0] *= first_times;
    asks = sim.asks;
    grants = sim.grants;
    bytes = sim.bytes;
    run_load(&sim, per_s, SECONDS * 1000);
    printf(
        "quota instances=%d load=%s asks_per_s=%.1f grants_per_s=%.1f "
        "bytes_per_s=%.0f bytes_per_s_instance=%.0f asks_per_request=%.3f\n",
        instances, name, (double)(sim.asks - asks) / SECONDS,
        (double)(sim.grants - grants) / SECONDS,
        (double)(sim.bytes - bytes) / SECONDS,
        (double)(sim.bytes - bytes) / SECONDS / instances,
        (double)(sim.asks - asks) / SECONDS /
            (REQUESTS_PER_S * factor + per_s[0] * (1.0 - 1.0 / first_times)));
    print_waits(&sim, 0);
    print_waits(&sim, 1);
    sim_clear(&sim);
}

/* Processor time of the holder for asks with all teams. */
static void
measure_answers(int instances)
{
    enum { RUNS = 11, ROUNDS = 20 };
    struct gate_team teams[TEAMS];
    double per_s[TEAMS];
    struct samples samples = {0};
    struct sim sim;
    char *name = g_strdup_printf("quota_answer instances=%d", instances);

    set_teams(teams, per_s, 1.0);
    sim_init(&sim, 7, instances, teams, TEAMS);
    sim_begin_term(&sim, 0);
    for (int run = 0; run < RUNS; run++) {
        double start_us = cpu_now_us();

        for (int i = 0; i < ROUNDS * instances; i++) {
            struct quota_ask *ask = quota_ask_new();
            struct quota_grant grant;

            sim.now_ms += i % instances == 0 ? QUOTA_ASK_PERIOD_MS : 0;
            ask->sent_ms = sim.now_ms;
            ask->start = 1;
            ask->config_version = 1;
            for (int team = 0; team < TEAMS; team++) {
                struct quota_use use = {.team = hash_text(teams[team].name),
                                        .spent = run * ROUNDS + i / instances,
                                        .wanted = 10,
                                        .first = 10};

                g_array_append_val(ask->uses, use);
            }
            quota_grant_init(&grant);
            granter_answer(&sim.instances[0].granter,
                           sim.instances[i % instances].id, ask, sim.now_ms,
                           &grant);
            quota_grant_clear(&grant);
            quota_ask_free(ask);
        }
        sample_add(&samples, (cpu_now_us() - start_us) / (ROUNDS * instances));
    }
    sample_print(&samples, name, "us");
    g_free(name);
    sim_clear(&sim);
}

int
main(void)
{
    static const int instances[] = {28, 60, 340};

    for (size_t i = 0; i < G_N_ELEMENTS(instances); i++) {
        double factor = instances[i] / 28.0;

        measure(instances[i], factor, 1.0, "within");
        measure(instances[i], factor, 7.0, "first_team_7x");
        measure_answers(instances[i]);
    }
    return 0;
}
