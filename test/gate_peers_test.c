/* Tests of who gets the messages between instances of the gate. */
#include <glib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "turmericd/fleet/peer/dat.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/follow/dat.h"
#include "gate/crash/dat.h"
#include "gate/crash/fns.h"
#include "gate/relay/dat.h"
#include "gate/peers/dat.h"
#include "gate/peers/fns.h"
#include "cases.h"

/*
 * Guards against a draining instance that gets no more messages: it refused
 * its last requests, because it didn't learn that their model was being
 * loaded.
 *
 * Steps: the time in seconds, then a letter for each listed instance; "s" is
 * this instance.
 */
struct peer_list_case {
    const char *name;
    const char *steps;
    const char *peers; /* at the end, in order */
};

static const struct peer_list_case peer_list_cases[] = {
    {"others", "1sab", "ab"},
    {"not_self", "1s", ""},
    {"draining_is_kept", "1sab 2sa", "ab"},
    {"dropped_after_grace", "1sab 2sa 9sa", "a"},
    {"kept_within_grace", "1sab 2sa 5sa", "ab"},
    {"back_again", "1sab 2sa 5sab 9sa", "ab"},
};

static void
set_members(GArray *members, const char *letters)
{
    g_array_set_size(members, 0);
    for (; *letters != '\0'; letters++) {
        struct gate_member member = {.id = (uint64_t)*letters};

        g_array_append_val(members, member);
    }
}

static int
compare_ids(const void *a, const void *b)
{
    const struct peer_instance *left = a;
    const struct peer_instance *right = b;

    return left->id < right->id ? -1 : 1;
}

static void
test_peer_list(gconstpointer data)
{
    const struct peer_list_case *c = data;
    GArray *peers = g_array_new(FALSE, FALSE, sizeof(struct peer_instance));
    GArray *members = g_array_new(FALSE, FALSE, sizeof(struct gate_member));
    GString *found = g_string_new(NULL);
    char **steps = g_strsplit(c->steps, " ", -1);

    for (int i = 0; steps[i] != NULL; i++) {
        set_members(members, steps[i] + 1);
        peer_list_update(peers, members, 's', 6000,
                         (steps[i][0] - '0') * 1000);
    }
    g_array_sort(peers, compare_ids);
    for (guint i = 0; i < peers->len; i++) {
        g_string_append_c(
            found, (char)g_array_index(peers, struct peer_instance, i).id);
    }
    g_assert_cmpstr(found->str, ==, c->peers);
    g_strfreev(steps);
    g_string_free(found, TRUE);
    g_array_free(peers, TRUE);
    g_array_free(members, TRUE);
}

/* Guards against asks that go to no instance, or to one whose name only begins
 * like the holder's: the name is stored with a lease, and cut. */
#define LONG_NAME "abcdefghijklmnopqrstuvwxyz0123"

static const struct holder_case {
    const char *name;
    const char *holder;
    uint64_t id;
} holder_cases[] = {
    {"none", "", 0},
    {"self", "gate-1#77", 1},
    {"peer", "gate-12#77", 12},
    {"unknown", "gate-3#77", 0},
    {"cut", LONG_NAME "#77", 13},
};

static void
test_holder(gconstpointer data)
{
    static const struct peer_instance instances[] = {
        {.id = 12, .name = "gate-12"},
        {.id = 13, .name = LONG_NAME "45"},
    };
    const struct holder_case *c = data;
    GArray *peers = g_array_new(FALSE, FALSE, sizeof(struct peer_instance));

    g_array_append_vals(peers, instances, G_N_ELEMENTS(instances));
    g_assert_cmpuint(peer_list_find_holder(peers, 1, "gate-1", c->holder), ==,
                     c->id);
    g_array_free(peers, TRUE);
}

/*
 * Guards against activity reports from all instances to all in a large
 * deployment, and against reports that only go to a holder that is gone.
 *
 * Steps: "INSTANCE:FENCE:TIME_MS" receives an activity total, "?:TIME_MS"
 * sends a report.
 */
struct aggregator_case {
    const char *name;
    const char *steps;
    const char *recipients; /* of each report; "*" for all */
};

static const struct aggregator_case aggregator_cases[] = {
    {"no_total_yet", "?:1000", "*"},
    {"total_received", "a:5:1000 ?:1100", "a"},
    {"totals_stop", "a:5:1000 ?:2100 ?:2300", "a*"},
    {"new_holder", "a:5:1000 b:7:1200 ?:1300", "b"},
    {"former_holder", "b:7:1000 a:5:1100 ?:1200", "b"},
    {"former_holder_after_pause", "b:7:1000 a:5:3000 ?:3100", "a"},
};

static void
test_aggregator(gconstpointer data)
{
    const struct aggregator_case *c = data;
    struct aggregator aggregator = {0};
    GString *sent = g_string_new(NULL);
    char **steps = g_strsplit(c->steps, " ", -1);

    for (int i = 0; steps[i] != NULL; i++) {
        char **parts = g_strsplit(steps[i], ":", -1);

        if (parts[2] != NULL) {
            aggregator_accept_total(&aggregator, (uint64_t)parts[0][0],
                                    g_ascii_strtoll(parts[1], NULL, 10),
                                    g_ascii_strtoll(parts[2], NULL, 10));
        }
        else {
            uint64_t to = aggregator_report_to(
                &aggregator, g_ascii_strtoll(parts[1], NULL, 10));

            g_string_append_c(sent, to == 0 ? '*' : (char)to);
        }
        g_strfreev(parts);
    }
    g_assert_cmpstr(sent->str, ==, c->recipients);
    g_string_free(sent, TRUE);
    g_strfreev(steps);
}

/* Guards against evidence that changes on its way: a request without its
 * parts, a crash at another time, or a verdict that begins anew. */
struct crashes_case {
    const char *name;
    int suspects;
    int traits;
    int64_t age_ms;
    int64_t probe_in_ms; /* below 0: due */
};

static const struct crashes_case crashes_cases[] = {
    {"one", 1, 1, 20, 1000},
    {"most", CRASH_SUSPECTS_MAX, TRAITS_MAX, 9000, 100000},
    {"without_traits", 1, 0, 0, 0},
    {"probe_due", 2, 3, 100, -5},
};

enum { SENT_MS = 500000, RECEIVED_MS = 900000 };

static void
fill_report(const struct crashes_case *c, struct crash_report *report)
{
    struct crash crash = {
        .target = 7, .started_ms = 8, .at_ms = SENT_MS - c->age_ms};
    struct trait_verdict verdict = {
        .traits = {{{9, WHOLE_REQUEST}, {12, 3}}, 2},
        .since_ms = SENT_MS - c->age_ms,
        .probe_ms = SENT_MS + c->probe_in_ms,
        .level = 2,
    };
    uint64_t key = 11;

    for (int i = 0; i < c->suspects; i++) {
        struct trait_list traits = {0};

        for (int j = 0; j < c->traits; j++) {
            trait_list_add(&traits, (uint64_t)(100 + j), j);
        }
        crash_add_suspect(&crash, (uint64_t)(1000 + i), traits.traits,
                          traits.count);
    }
    crash_report_add_crash(report, &crash);
    crash_clear(&crash);
    g_array_append_val(report->verdicts, verdict);
    g_array_append_val(report->sound, key);
}

static void
check_report(const struct crashes_case *c, const struct crash_report *report)
{
    const struct crash *crash =
        &g_array_index(report->crashes, struct crash, 0);
    const struct trait_verdict *verdict =
        &g_array_index(report->verdicts, struct trait_verdict, 0);

    g_assert_true(crash_is_same(crash, 7, 8));
    g_assert_cmpint(crash->at_ms, ==, RECEIVED_MS - c->age_ms);
    g_assert_cmpint(crash->suspect_count, ==, c->suspects);
    for (int i = 0; i < c->suspects; i++) {
        g_assert_cmpint(crash->suspects[i].trait_count, ==, c->traits);
        for (int j = 0; j < c->traits; j++) {
            g_assert_cmpint(crash->suspects[i].traits[j].depth, ==, j);
        }
    }
    g_assert_cmpint(verdict->traits.count, ==, 2);
    g_assert_cmpuint(verdict->traits.traits[0].key, ==, 9);
    g_assert_cmpint(verdict->traits.traits[0].depth, ==, WHOLE_REQUEST);
    g_assert_cmpuint(verdict->traits.traits[1].key, ==, 12);
    g_assert_cmpint(verdict->traits.traits[1].depth, ==, 3);
    g_assert_cmpint(verdict->since_ms, ==, RECEIVED_MS - c->age_ms);
    g_assert_cmpint(verdict->probe_ms, ==,
                    RECEIVED_MS + MAX(c->probe_in_ms, 0));
    g_assert_cmpint(verdict->level, ==, 2);
    g_assert_cmpuint(g_array_index(report->sound, uint64_t, 0), ==, 11);
}

static void
test_crashes(gconstpointer data)
{
    const struct crashes_case *c = data;
    Turmeric__Envelope envelope = TURMERIC__ENVELOPE__INIT;
    Turmeric__Envelope *received;
    struct crash_report sent;
    struct crash_report *decoded;
    uint8_t *bytes;
    size_t count;

    crash_report_init(&sent);
    fill_report(c, &sent);
    envelope.body_case = TURMERIC__ENVELOPE__BODY_GATE_CRASHES;
    envelope.gate_crashes = peers_encode_crashes(&sent, SENT_MS);
    count = turmeric__envelope__get_packed_size(&envelope);
    bytes = g_malloc(count);
    turmeric__envelope__pack(&envelope, bytes);
    peers_free_crashes(envelope.gate_crashes);
    received = turmeric__envelope__unpack(NULL, count, bytes);
    decoded = peers_decode_crashes(received, RECEIVED_MS);
    check_report(c, decoded);
    crash_report_free(decoded);
    crash_report_clear(&sent);
    turmeric__envelope__free_unpacked(received, NULL);
    g_free(bytes);
}

/* Guards against an answer that was held up on its way and counts as a contact
 * with the store that is newer than it was. Times in ms by the clock of the
 * instance that asks; the other one's is ahead. */
struct contact_case {
    const char *name;
    int64_t asked_ms;
    int64_t answered_ms;
    int64_t received_ms;
    int64_t heard_ms; /* by the other instance, since 1000 */
    int64_t sure_since_ms;
    int64_t sure_heard_ms;
};

static const struct contact_case contact_cases[] = {
    {"at_once", 5000, 5000, 5000, 4900, 1000, 4900},
    {"answer_held_up", 5000, 5000, 7000, 4900, 3000, 4900},
    {"ask_held_up", 5000, 7000, 7000, 6900, 1000, 4900},
    {"nothing_is_sure", 5000, 5000, 9500, 4900, 0, 0},
    {"of_a_former_process", 50000, 5000, 7000, 4900, 0, 0},
};

static void
test_contact(gconstpointer data)
{
    enum { AHEAD_MS = 77000 };
    const struct contact_case *c = data;
    struct store_contact known = {AHEAD_MS + 1000, AHEAD_MS + c->heard_ms};
    Turmeric__GateContactAsk ask = TURMERIC__GATE_CONTACT_ASK__INIT;
    Turmeric__GateContact body;
    struct store_contact told;

    ask.sent_ms = c->asked_ms;
    peers_encode_contact(&ask, &known, AHEAD_MS + c->answered_ms, &body);
    told = peers_decode_contact(&body, c->received_ms);
    g_assert_cmpint(told.since_ms, ==, c->sure_since_ms);
    g_assert_cmpint(told.heard_ms, ==, c->sure_heard_ms);
}

int
main(int argc, char **argv)
{
    static const struct cases groups[] = {
        CASES("/gate_peers/peer_list", peer_list_cases, test_peer_list),
        CASES("/gate_peers/holder", holder_cases, test_holder),
        CASES("/gate_peers/aggregator", aggregator_cases, test_aggregator),
        CASES("/gate_peers/crashes", crashes_cases, test_crashes),
        CASES("/gate_peers/contact", contact_cases, test_contact),
    };

    g_test_init(&argc, &argv, NULL);
    cases_add(groups, G_N_ELEMENTS(groups));
    return g_test_run();
}
