/**
 * DOC: Waits until an edit is in force everywhere.
 *
 * The tool asks one instance, which knows what each member last reported. An
 * interrupt ends the wait, not the edit.
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

enum { ASK_INTERVAL_MS = 200 };

static void
interrupts(sigset_t *set)
{
    sigemptyset(set);
    sigaddset(set, SIGINT);
    sigaddset(set, SIGTERM);
}

/**
 * wait_init() - keep interrupts for wait_ms()
 */
void
wait_init(void)
{
    sigset_t set;

    interrupts(&set);
    pthread_sigmask(SIG_BLOCK, &set, NULL);
}

/**
 * wait_ms() - wait for an interrupt
 * @duration_ms: longest wait
 *
 * Return: true when there was an interrupt.
 */
bool
wait_ms(int64_t duration_ms)
{
    struct timespec timeout = {.tv_sec = duration_ms / 1000,
                               .tv_nsec = duration_ms % 1000 * 1000000};
    sigset_t set;

    interrupts(&set);
    return sigtimedwait(&set, NULL, &timeout) > 0;
}

/* Names of the members that have not confirmed; a dead one can't. */
static struct json_object *
missing_members(struct json_object *status, int64_t revision)
{
    struct json_object *missing = json_object_new_array();
    struct json_object *members = json_object_object_get(status, "members");

    for (size_t i = 0; i < json_object_array_length(members); i++) {
        struct json_object *member = json_object_array_get_idx(members, i);

        if (strcmp(member_text(member, "state"), "dead") != 0 &&
            member_number(member, "revision") < revision) {
            json_object_array_add(
                missing, json_object_new_string(member_text(member, "name")));
        }
    }
    return missing;
}

/* Returns the members that are missing, or NULL without an answer. */
static struct json_object *
ask(const struct ctl *ctl, int64_t revision)
{
    struct reply reply;
    struct json_object *status = NULL;
    struct json_object *missing = NULL;

    client_call(ctl, "GET", "/operator/v1/status", NULL, &reply);
    if (reply.status == 200) {
        status = reply_json(&reply);
    }
    if (json_object_object_get(status, "members") != NULL) {
        missing = missing_members(status, revision);
    }
    json_object_put(status);
    reply_free(&reply);
    return missing;
}

static struct json_object *
ask_until(const struct ctl *ctl, int64_t revision)
{
    int64_t deadline_ms = clock_now_ms() + ctl->wait_s * 1000;
    struct json_object *missing = ask(ctl, revision);

    while ((missing == NULL || json_object_array_length(missing) > 0) &&
           clock_now_ms() < deadline_ms && !wait_ms(ASK_INTERVAL_MS)) {
        json_object_put(missing);
        missing = ask(ctl, revision);
    }
    return missing;
}

static void
report_missing(const struct ctl *ctl, int64_t revision,
               struct json_object *missing)
{
    fprintf(stderr,
            "turmericctl: revision %" PRId64
            " is accepted but not yet in force everywhere; ",
            revision);
    if (missing == NULL) {
        fprintf(stderr, "no answer from %s\n", ctl->address);
        return;
    }
    fputs("not confirmed by:", stderr);
    for (size_t i = 0; i < json_object_array_length(missing); i++) {
        fprintf(stderr, " %s",
                json_object_get_string(json_object_array_get_idx(missing, i)));
    }
    fputc('\n', stderr);
}

/**
 * wait_in_force() - wait until all members hold a revision
 * @ctl: the command line
 * @revision: the revision
 * @result: object for programs; gets in_force and missing
 */
enum exit_code
wait_in_force(const struct ctl *ctl, int64_t revision,
              struct json_object *result)
{
    struct json_object *missing = ask_until(ctl, revision);
    bool in_force = missing != NULL && json_object_array_length(missing) == 0;

    json_object_object_add(result, "in_force",
                           json_object_new_boolean(in_force));
    if (!in_force) {
        report_missing(ctl, revision, missing);
    }
    json_object_object_add(result, "missing", missing);
    return in_force ? EXIT_DONE : EXIT_NOT_IN_FORCE;
}
