/**
 * DOC: Pollers: duties that make one HTTP request at a time.
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
    /* TARGETS_MAX records of about 300 bytes. */
    LIST_MAX_BYTES = 4 * 1024 * 1024,
    /* 256 paths of at most 200 bytes, and room for other keys. */
    STATUS_MAX_BYTES = 256 * 1024,
    BODY_FIRST_BYTES = 4096,
    STATUS_OK = 200,
};

/* The body as it arrives, up to a limit. */
struct body {
    char *bytes;
    size_t count;
    size_t capacity;
    size_t max;
};

static bool
body_reserve(struct body *body, size_t needed)
{
    size_t capacity = body->capacity == 0 ? BODY_FIRST_BYTES : body->capacity;
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

/* A return value below the size given makes the client give up. */
static size_t
body_write(void *contents, size_t size, size_t members, void *data)
{
    struct body *body = data;
    size_t count = size * members;

    if (body->count + count > body->max ||
        !body_reserve(body, body->count + count)) {
        return 0;
    }
    memcpy(body->bytes + body->count, contents, count);
    body->count += count;
    return count;
}

/* The client counts whole seconds; results that are later than the exact
 * limit are discarded by the caller. */
static unsigned long
timeout_s(int timeout_ms)
{
    return timeout_ms <= 1000 ? 1 : ((unsigned long)timeout_ms + 999) / 1000;
}

static bool
http_get(const char *url, int timeout_ms, struct body *body)
{
    struct _u_request request;
    struct _u_response response;
    int64_t start_ms = clock_now_ms();
    bool done;

    ulfius_init_request(&request);
    ulfius_init_response(&response);
    /* The empty proxy keeps the environment's proxy out of the fleet. */
    done = ulfius_set_request_properties(
               &request, U_OPT_HTTP_VERB, "GET", U_OPT_HTTP_URL, url,
               U_OPT_HTTP_PROXY, "", U_OPT_TIMEOUT, timeout_s(timeout_ms),
               U_OPT_NONE) == U_OK &&
           ulfius_send_http_streaming_request(&request, &response, body_write,
                                              body) == U_OK &&
           response.status == STATUS_OK;
    ulfius_clean_response(&response);
    ulfius_clean_request(&request);
    return done && clock_now_ms() - start_ms <= timeout_ms;
}

static void
read_status(const struct body *body, struct observe_message *message)
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
read_list(const struct body *body, struct observe_message *message)
{
    struct err err = {0};

    message->list_read =
        list_parse(body->bytes, body->count, &message->list, &err);
}

static void
make_request(struct poller *poller, const struct poll_job *job)
{
    struct observe_message message = {
        .kind = job->list ? OBSERVE_LIST : OBSERVE_STATUS,
        .target = job->target,
    };
    struct body body = {.max = job->list ? LIST_MAX_BYTES : STATUS_MAX_BYTES};

    if (http_get(job->url, poller->timeout_ms, &body) && body.count > 0) {
        if (job->list) {
            read_list(&body, &message);
        }
        else {
            read_status(&body, &message);
        }
    }
    free(body.bytes);
    if (!ring_push(poller->results, &message, NULL)) {
        free(message.status);
        list_free(&message.list);
    }
}

static bool
poller_run(struct duty *duty, struct err *err)
{
    struct poller *poller = (struct poller *)duty;
    struct poll_job job;

    (void)err;
    while (ring_pop(poller->jobs, &job, -1) == RING_OK) {
        make_request(poller, &job);
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
 * @results: where the results go
 * @timeout_ms: longest time for an answer
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
