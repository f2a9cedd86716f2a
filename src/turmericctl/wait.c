/**
 * DOC: Waits until an edit is in force everywhere.
 *
 * One instance is polled, which knows the revision that each member last
 * reported. A signal ends the wait but does not undo the edit.
 */
#include <glib.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "tree/dat.h"
#include "turmericctl/dat.h"
#include "turmericctl/fns.h"

enum { STATUS_INTERVAL_MS = 200 };

static void
init_signal_set(sigset_t *signals)
{
    sigemptyset(signals);
    sigaddset(signals, SIGINT);
    sigaddset(signals, SIGTERM);
}

/**
 * wait_block_signals() - block SIGINT and SIGTERM except in wait_for_signal()
 */
void
wait_block_signals(void)
{
    sigset_t signals;

    init_signal_set(&signals);
    pthread_sigmask(SIG_BLOCK, &signals, NULL);
}

/**
 * wait_for_signal() - wait for SIGINT or SIGTERM, which must be blocked
 * @duration_ms: maximum time to wait in milliseconds
 *
 * Return: true when a signal arrived.
 */
bool
wait_for_signal(int64_t duration_ms)
{
    struct timespec timeout = {.tv_sec = duration_ms / 1000,
                               .tv_nsec = duration_ms % 1000 * 1000000};
    sigset_t signals;

    init_signal_set(&signals);
    return sigtimedwait(&signals, NULL, &timeout) > 0;
}

/* Names of the members that have not reported the revision. Dead members are
 * left out, because they can't report it. */
static struct json_object *
unconfirmed_members(struct json_object *status, int64_t revision)
{
    struct json_object *unconfirmed = json_object_new_array();
    struct json_object *members = json_object_object_get(status, "members");

    for (size_t i = 0; i < json_object_array_length(members); i++) {
        struct json_object *member = json_object_array_get_idx(members, i);

        if (strcmp(json_member_text(member, "state"), "dead") != 0 &&
            json_member_number(member, "revision") < revision) {
            json_object_array_add(
                unconfirmed,
                json_object_new_string(json_member_text(member, "name")));
        }
    }
    return unconfirmed;
}

/* Returns the members that have not reported the revision, or NULL without an
 * answer. */
static struct json_object *
fetch_unconfirmed(const struct options *options, int64_t revision)
{
    struct response response;
    struct json_object *status = NULL;
    struct json_object *unconfirmed = NULL;

    client_request(options, "GET", "/operator/v1/status", NULL, &response);
    if (response.status == 200) {
        status = response_json(&response);
    }
    if (json_object_object_get(status, "members") != NULL) {
        unconfirmed = unconfirmed_members(status, revision);
    }
    json_object_put(status);
    response_free(&response);
    return unconfirmed;
}

static struct json_object *
poll_unconfirmed(const struct options *options, int64_t revision)
{
    int64_t deadline_ms = clock_now_ms() + options->wait_s * 1000;
    struct json_object *unconfirmed = fetch_unconfirmed(options, revision);

    while (
        (unconfirmed == NULL || json_object_array_length(unconfirmed) > 0) &&
        clock_now_ms() < deadline_ms && !wait_for_signal(STATUS_INTERVAL_MS)) {
        json_object_put(unconfirmed);
        unconfirmed = fetch_unconfirmed(options, revision);
    }
    return unconfirmed;
}

static void
print_unconfirmed(const struct options *options, int64_t revision,
                  struct json_object *unconfirmed)
{
    fprintf(stderr,
            "turmericctl: revision %" PRId64
            " is accepted but not yet in force everywhere; ",
            revision);
    if (unconfirmed == NULL) {
        fprintf(stderr, "no answer from %s\n", options->address);
        return;
    }
    fputs("not confirmed by:", stderr);
    for (size_t i = 0; i < json_object_array_length(unconfirmed); i++) {
        fprintf(
            stderr, " %s",
            json_object_get_string(json_object_array_get_idx(unconfirmed, i)));
    }
    fputc('\n', stderr);
}

/**
 * wait_until_in_force() - wait until a revision is in force at all members
 * @options: the command line, which gives the maximum time to wait
 * @revision: the revision
 * @result: JSON object to which in_force and missing are added
 *
 * Return: EXIT_DONE, or EXIT_NOT_IN_FORCE when the time is over or a signal
 * arrived; that is also printed.
 */
enum exit_code
wait_until_in_force(const struct options *options, int64_t revision,
                    struct json_object *result)
{
    struct json_object *unconfirmed = poll_unconfirmed(options, revision);
    bool in_force =
        unconfirmed != NULL && json_object_array_length(unconfirmed) == 0;

    json_object_object_add(result, "in_force",
                           json_object_new_boolean(in_force));
    if (!in_force) {
        print_unconfirmed(options, revision, unconfirmed);
    }
    json_object_object_add(result, "missing", unconfirmed);
    return in_force ? EXIT_DONE : EXIT_NOT_IN_FORCE;
}
