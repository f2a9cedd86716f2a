/* Tests of the news between instances of the gate. */
#include <glib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "turmericd/fleet/peer/dat.h"
#include "gate/dat.h"
#include "gate/relay/dat.h"
#include "gate/peers/dat.h"
#include "gate/peers/fns.h"
#include "cases.h"

/*
 * Guards against an instance that leaves and gets no news for its last
 * requests: it refused them, as it did not hear that their model was coming.
 *
 * Steps: letters are the instances listed at a time, "s" being this one; a
 * number in front is the time in seconds.
 */
struct roster_case {
    const char *name;
    const char *steps;
    const char *peers; /* at the end, in order */
};

static const struct roster_case roster_cases[] = {
    {"others", "1sab", "ab"},
    {"not_self", "1s", ""},
    {"leaving_is_kept", "1sab 2sa", "ab"},
    {"gone_in_the_end", "1sab 2sa 9sa", "a"},
    {"not_gone_yet", "1sab 2sa 5sa", "ab"},
    {"back_again", "1sab 2sa 5sab 9sa", "ab"},
};

static void
list(GArray *members, const char *letters)
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
    const struct news_peer *left = a;
    const struct news_peer *right = b;

    return left->id < right->id ? -1 : 1;
}

static void
test_roster(gconstpointer data)
{
    const struct roster_case *c = data;
    GArray *peers = g_array_new(FALSE, FALSE, sizeof(struct news_peer));
    GArray *members = g_array_new(FALSE, FALSE, sizeof(struct gate_member));
    GString *found = g_string_new(NULL);
    char **steps = g_strsplit(c->steps, " ", -1);

    for (int i = 0; steps[i] != NULL; i++) {
        list(members, steps[i] + 1);
        roster_update(peers, members, 's', 6000, (steps[i][0] - '0') * 1000);
    }
    g_array_sort(peers, compare_ids);
    for (guint i = 0; i < peers->len; i++) {
        g_string_append_c(found,
                          (char)g_array_index(peers, struct news_peer, i).id);
    }
    g_assert_cmpstr(found->str, ==, c->peers);
    g_strfreev(steps);
    g_string_free(found, TRUE);
    g_array_free(peers, TRUE);
    g_array_free(members, TRUE);
}

/*
 * Guards against notes to all from all in a large deployment, and against
 * notes that only a holder gets that is gone.
 *
 * Steps: a letter, a fence and a time in ms, a sum from that instance; "?" and
 * a time, a note is sent.
 */
struct circle_case {
    const char *name;
    const char *steps;
    const char *sent; /* to whom; "*" for all */
};

static const struct circle_case circle_cases[] = {
    {"no_sum_yet", "?:1000", "*"},
    {"summed", "a:5:1000 ?:1100", "a"},
    {"silent", "a:5:1000 ?:2100 ?:2300", "a*"},
    {"new_holder", "a:5:1000 b:7:1200 ?:1300", "b"},
    {"former_holder", "b:7:1000 a:5:1100 ?:1200", "b"},
    {"former_holder_after_silence", "b:7:1000 a:5:3000 ?:3100", "a"},
};

static void
test_circle(gconstpointer data)
{
    const struct circle_case *c = data;
    struct circle circle = {0};
    GString *sent = g_string_new(NULL);
    char **steps = g_strsplit(c->steps, " ", -1);

    for (int i = 0; steps[i] != NULL; i++) {
        char **parts = g_strsplit(steps[i], ":", -1);

        if (parts[2] != NULL) {
            circle_heard(&circle, (uint64_t)parts[0][0],
                         g_ascii_strtoll(parts[1], NULL, 10),
                         g_ascii_strtoll(parts[2], NULL, 10));
        }
        else {
            uint64_t to =
                circle_note_to(&circle, g_ascii_strtoll(parts[1], NULL, 10));

            g_string_append_c(sent, to == 0 ? '*' : (char)to);
        }
        g_strfreev(parts);
    }
    g_assert_cmpstr(sent->str, ==, c->sent);
    g_string_free(sent, TRUE);
    g_strfreev(steps);
}

int
main(int argc, char **argv)
{
    static const struct cases groups[] = {
        CASES("/news/roster", roster_cases, test_roster),
        CASES("/news/circle", circle_cases, test_circle),
    };

    g_test_init(&argc, &argv, NULL);
    cases_add(groups, G_N_ELEMENTS(groups));
    return g_test_run();
}
