/**
 * DOC: Pollers: duties that each make one HTTP request at a time.
 */
#include <stdlib.h>
#include <string.h>
#include <ulfius.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "tree/dat.h"
#include "turmericd/fleet/member/dat.h"
#include "turmericd/fleet/observe/dat.h"
#include "turmericd/fleet/observe/fns.h"

enum {
    /* TARGETS_MAX records of about 300 bytes each. */
    LIST_BODY_MAX_BYTES = 4 * 1024 * 1024,
    /* 256 paths of at most 200 bytes, and the other keys. */
    STATUS_BODY_MAX_BYTES = 256 * 1024,
    BODY_INITIAL_BYTES = 4096,
    HTTP_STATUS_OK = 200,
};

/* The part of the body received so far; at most @max bytes. */
struct response_body {
    char *bytes;
    size_t count;
    size_t capacity;
    size_t max;
};

static bool
response_body_reserve(struct response_body *body, size_t needed)
{
    size_t capacity =
        body->capacity == 0 ? BODY_INITIAL_BYTES : body->capacity;
    char *grown;

    while (capacity < needed) {
        capacity *= 2;
    }
    if (capacity == body->capacity) {
        return true;
    }
    grown = realloc(body->bytes, capacity);
    if (grown == NULL) {
        return false;
    }
    body->bytes = grown;
    body->capacity = capacity;
    return true;
}

/* Callback of the client, which aborts when less than all is taken. */
static size_t
response_body_append(void *contents, size_t size, size_t members, void *data)
{
    struct response_body *body = data;
    size_t count = size * members;

    if (body->count + count > body->max ||
        !response_body_reserve(body, body->count + count)) {
        return 0;
    }
    memcpy(body->bytes + body->count, contents, count);
    body->count += count;
    return count;
}

/* Rounds up to whole seconds, the client's unit; http_get() discards a
 * response that exceeds the exact limit. */
static unsigned long
timeout_s(int timeout_ms)
{
    return timeout_ms <= 1000 ? 1 : ((unsigned long)timeout_ms + 999) / 1000;
}

static bool
http_get(const char *url, int timeout_ms, struct response_body *body)
{
    struct _u_request request;
    struct _u_response response;
    int64_t start_ms = clock_now_ms();
    bool done;

    ulfius_init_request(&request);
    ulfius_init_response(&response);
    /* An empty proxy overrides the proxy variables of the environment, which
     * must not apply to requests within the fleet. */
    done = ulfius_set_request_properties(
               &request, U_OPT_HTTP_VERB, "GET", U_OPT_HTTP_URL, url,
               U_OPT_HTTP_PROXY, "", U_OPT_TIMEOUT, timeout_s(timeout_ms),
               U_OPT_NONE) == U_OK &&
           ulfius_send_http_streaming_request(
               &request, &response, response_body_append, body) == U_OK &&
           response.status == HTTP_STATUS_OK;
    ulfius_clean_response(&response);
    ulfius_clean_request(&request);
    return done && clock_now_ms() - start_ms <= timeout_ms;
}

static void
decode_status(const struct response_body *body,
              struct observe_message *message)
{
    struct err err = {0};

    message->status = malloc(sizeof(*message->status));
    if (message->status != NULL &&
        !status_parse(body->bytes, body->count, message->status, &err)) {
        free(message->status);
        message->status = NULL;
    }
}

static void
decode_list(const struct response_body *body, struct observe_message *message)
{
    struct err err = {0};

    message->list_valid =
        instance_list_parse(body->bytes, body->count, &message->list, &err);
}

static void
run_poll_job(struct poller *poller, const struct poll_job *job)
{
    struct observe_message message = {
        .kind = job->reads_list ? OBSERVE_LIST : OBSERVE_STATUS,
        .target_id = job->target_id,
    };
    struct response_body body = {
        .max = job->reads_list ? LIST_BODY_MAX_BYTES : STATUS_BODY_MAX_BYTES};

    if (http_get(job->url, poller->timeout_ms, &body) && body.count > 0) {
        if (job->reads_list) {
            decode_list(&body, &message);
        }
        else {
            decode_status(&body, &message);
        }
    }
    free(body.bytes);
    if (!ring_push(poller->results, &message, NULL)) {
        free(message.status);
        instance_list_free(&message.list);
    }
}

static bool
poller_run(struct duty *duty, struct err *err)
{
    struct poller *poller = (struct poller *)duty;
    struct poll_job job;

    (void)err;
    while (ring_pop(poller->jobs, &job, -1) == RING_OK) {
        run_poll_job(poller, &job);
    }
    return true;
}

static void
poller_stop(struct duty *duty)
{
    ring_close(((struct poller *)duty)->jobs);
}

static const struct duty_ops poller_ops = {poller_run, poller_stop};

/**
 * poller_init() - set up a poller
 * @poller: the poller
 * @name: name in the log
 * @jobs: requests to make
 * @results: receives the results
 * @timeout_ms: longest time for a response
 */
void
poller_init(struct poller *poller, const char *name, struct ring *jobs,
            struct ring *results, int timeout_ms)
{
    poller->duty.ops = &poller_ops;
    poller->duty.name = name;
    poller->jobs = jobs;
    poller->results = results;
    poller->timeout_ms = timeout_ms;
}
