/**
 * DOC: The forward duty: a pool of threads that send requests to targets.
 *
 * The number of children of a supervisor is limited, so the pool supervises
 * groups and each group supervises workers. All workers take attempts from
 * one ring. An attempt is accepted only while a worker is free, so that it
 * can't wait behind a long answer until its deadline has passed.
 */
#include <curl/curl.h>
#include <glib.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <ulfius.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "tree/dat.h"
#include "turmericd/state/config/dat.h"
#include "turmericd/state/claim/dat.h"
#include "turmericd/place/dat.h"
#include "turmericd/serve/call/dat.h"
#include "turmericd/serve/call/fns.h"
#include "turmericd/serve/route/dat.h"
#include "turmericd/serve/forward/dat.h"
#include "turmericd/serve/forward/fns.h"
#include "turmericd/serve/forward/internal.h"

enum {
    GROUPS_MAX = SUPERVISOR_CHILDREN_MAX,
    WORKERS_MAX = GROUPS_MAX * SUPERVISOR_CHILDREN_MAX,
    BODY_IDLE_TIMEOUT_MS = 30000,
};

/**
 * struct worker - thread that runs one attempt at a time
 * @duty: child of a group
 * @forward: the pool
 * @multi: libcurl handle, also used to wake the thread
 */
struct worker {
    struct duty duty;
    struct forward *forward;
    CURLM *multi;
};

/**
 * struct forward - see dat.h
 * @pool: supervisor of @groups
 * @groups: supervisors of up to SUPERVISOR_CHILDREN_MAX workers each
 * @group_count: number of groups in use
 * @workers: the workers of all groups
 * @worker_count: number of workers
 * @attempts: accepted attempts that no worker has taken yet
 * @active_attempts: accepted attempts that still need a worker; at most
 *                   @worker_count are accepted
 * @stopping: tells the workers to end their transfers
 * @idle_timeout_ms: longest pause between two parts of an answer's body
 * @calls: table of calls
 * @port: receives the results
 */
struct forward {
    struct supervisor pool;
    struct supervisor groups[GROUPS_MAX];
    int group_count;
    struct worker *workers;
    int worker_count;
    struct ring attempts;
    atomic_int active_attempts;
    atomic_bool stopping;
    int64_t idle_timeout_ms;
    struct calls *calls;
    struct forward_port *port;
};

static void
run_attempt(struct worker *worker, const struct attempt *attempt,
            const struct call_request *request, struct attempt_result *result)
{
    struct forward *forward = worker->forward;
    char *generated_text = NULL;
    struct answer answer;
    enum transfer_end end;

    if (attempt->resume_from > 0 && !attempt->resume_same_engine) {
        generated_text = call_copy_text(forward->calls, attempt->call);
        if (generated_text == NULL) {
            result->kind = ATTEMPT_NOT_SENT;
            result->events = ATTEMPT_EVENTS_NOT_RESUMABLE;
            snprintf(
                result->text, sizeof(result->text),
                "the generated text is incomplete, so it can't be resumed");
            return;
        }
    }
    forward_answer_init(&answer, forward->calls, attempt, request);
    end = transfer_run(worker->multi, attempt, request, generated_text,
                       &answer, forward->port, forward->idle_timeout_ms,
                       &forward->stopping, result->text, sizeof(result->text));
    forward_answer_end(&answer, end, result);
    forward_answer_clear(&answer);
    free(generated_text);
}

/* The engine may still be generating an answer that nobody reads. */
static bool
needs_cancel(const struct call_request *request,
             const struct attempt_result *result)
{
    return request->leaf != 0 && (result->kind == ATTEMPT_CALLER_GONE ||
                                  result->kind == ATTEMPT_TIMEOUT);
}

/* Frees the worker before the result is reported, so that an attempt posted in
 * response to the result is accepted. */
static void
finish_attempt(struct forward *forward, const struct attempt_result *result)
{
    atomic_fetch_sub(&forward->active_attempts, 1);
    forward->port->ops->report_result(forward->port, result);
}

static void
handle_attempt(struct worker *worker, const struct attempt *attempt)
{
    struct forward *forward = worker->forward;
    struct call_request request;
    struct err err = {0};
    struct attempt_result result = {
        .id = attempt->id,
        .call = attempt->call,
        .target = attempt->target,
        .events = attempt->resume_from,
    };

    if (!call_copy_request(forward->calls, attempt->call, &request, &err)) {
        result.kind =
            err.kind == ERR_STOPPED ? ATTEMPT_CALLER_GONE : ATTEMPT_NOT_SENT;
        memcpy(result.text, err.text, sizeof(result.text));
        finish_attempt(forward, &result);
        return;
    }
    run_attempt(worker, attempt, &request, &result);
    if (needs_cancel(&request, &result)) {
        forward->port->ops->report_result(forward->port, &result);
        transfer_cancel(attempt);
        atomic_fetch_sub(&forward->active_attempts, 1);
    }
    else {
        finish_attempt(forward, &result);
    }
    call_request_free(&request);
}

static bool
worker_run(struct duty *duty, struct err *err)
{
    struct worker *worker = (struct worker *)duty;
    struct forward *forward = worker->forward;
    struct attempt attempt;

    (void)err;
    while (ring_pop(&forward->attempts, &attempt, -1) == RING_OK) {
        handle_attempt(worker, &attempt);
    }
    return true;
}

/* Stops all workers, because they share the ring. */
static void
worker_stop(struct duty *duty)
{
    struct worker *worker = (struct worker *)duty;

    atomic_store(&worker->forward->stopping, true);
    ring_close(&worker->forward->attempts);
    curl_multi_wakeup(worker->multi);
}

static const struct duty_ops worker_ops = {worker_run, worker_stop};

static bool
pool_run(struct duty *duty, struct err *err)
{
    return supervisor_run((struct supervisor *)duty, err);
}

static void
pool_stop(struct duty *duty)
{
    struct forward *forward = (struct forward *)duty;

    for (int i = 0; i < forward->worker_count; i++) {
        worker_stop(&forward->workers[i].duty);
    }
    supervisor_stop(&forward->pool);
}

static const struct duty_ops pool_ops = {pool_run, pool_stop};

static bool
add_workers(struct forward *forward, int workers, struct err *err)
{
    for (int i = 0; i < workers; i++) {
        struct worker *worker = &forward->workers[i];
        int group = i / SUPERVISOR_CHILDREN_MAX;

        if (i % SUPERVISOR_CHILDREN_MAX == 0) {
            supervisor_init(&forward->groups[group], "forward_group");
            supervisor_add(&forward->pool, &forward->groups[group].duty);
            forward->group_count++;
        }
        worker->duty.ops = &worker_ops;
        worker->duty.name = "forward_worker";
        worker->forward = forward;
        worker->multi = curl_multi_init();
        if (worker->multi == NULL) {
            return err_set(err, ERR_NO_MEMORY, "forward worker %d", i);
        }
        supervisor_add(&forward->groups[group], &worker->duty);
        forward->worker_count++;
    }
    return true;
}

static void
init_http_client(void)
{
    ulfius_global_init();
}

/**
 * forward_new() - create the forward duty
 * @calls: table of calls
 * @workers: number of threads, 1..256; also the maximum number of attempts in
 *           progress
 * @port: receives the result of each attempt
 * @err: set to ERR_SETTINGS or ERR_NO_MEMORY on failure
 *
 * Return: the duty, released with forward_free(); NULL on failure.
 */
struct forward *
forward_new(struct calls *calls, int workers, struct forward_port *port,
            struct err *err)
{
    static pthread_once_t once = PTHREAD_ONCE_INIT;
    struct forward *forward = NULL;

    if (workers < 1 || workers > WORKERS_MAX) {
        err_set(err, ERR_SETTINGS,
                "the number of forward workers must be between 1 and %d",
                WORKERS_MAX);
        return NULL;
    }
    pthread_once(&once, init_http_client);
    forward = calloc(1, sizeof(*forward));
    if (forward == NULL) {
        err_set(err, ERR_NO_MEMORY, "forward duty");
        return NULL;
    }
    supervisor_init(&forward->pool, "forward");
    forward->pool.duty.ops = &pool_ops;
    forward->idle_timeout_ms = BODY_IDLE_TIMEOUT_MS;
    forward->calls = calls;
    forward->port = port;
    forward->workers = calloc((size_t)workers, sizeof(*forward->workers));
    if (forward->workers == NULL ||
        !ring_init(&forward->attempts, (uint32_t)workers,
                   sizeof(struct attempt), err) ||
        !add_workers(forward, workers, err)) {
        forward_free(forward);
        return NULL;
    }
    return forward;
}

/**
 * forward_free() - release a forward duty that has stopped
 * @forward: the duty; may be NULL
 */
void
forward_free(struct forward *forward)
{
    if (forward == NULL) {
        return;
    }
    for (int i = 0; i < forward->worker_count; i++) {
        curl_multi_cleanup(forward->workers[i].multi);
    }
    for (int i = 0; i < forward->group_count; i++) {
        supervisor_free(&forward->groups[i]);
    }
    supervisor_free(&forward->pool);
    if (forward->attempts.messages != NULL) {
        ring_free(&forward->attempts);
    }
    free(forward->workers);
    free(forward);
}

/**
 * forward_set_idle_timeout_ms() - set the idle timeout of answers
 * @forward: the duty, which doesn't run yet
 * @idle_timeout_ms: longest pause between two parts of an answer's body
 */
void
forward_set_idle_timeout_ms(struct forward *forward, int64_t idle_timeout_ms)
{
    forward->idle_timeout_ms = idle_timeout_ms;
}

/**
 * forward_duty() - duty for the supervisor of the process
 * @forward: the forward duty
 *
 * Return: the duty, owned by @forward.
 */
struct duty *
forward_duty(struct forward *forward)
{
    return &forward->pool.duty;
}

/**
 * forward_post_attempt() - queue an attempt for a free worker
 * @forward: the duty
 * @attempt: the attempt, copied
 * @err: set on failure: ERR_RING_FULL when no worker is free, or ERR_STOPPED
 *
 * Return: false on failure.
 */
bool
forward_post_attempt(struct forward *forward, const struct attempt *attempt,
                     struct err *err)
{
    if (atomic_fetch_add(&forward->active_attempts, 1) >=
        forward->worker_count) {
        atomic_fetch_sub(&forward->active_attempts, 1);
        return err_set(err, ERR_RING_FULL, "all %d forward workers are busy",
                       forward->worker_count);
    }
    if (!ring_push(&forward->attempts, attempt, err)) {
        atomic_fetch_sub(&forward->active_attempts, 1);
        return false;
    }
    return true;
}
