/**
 * DOC: The frontend duty: serves callers over HTTP and stops gracefully.
 */
#include <errno.h>
#include <json-c/json.h>
#include <stdlib.h>
#include <sys/types.h>
#include <ulfius.h>

#include "base/dat.h"
#include "base/fns.h"
#include "http/dat.h"
#include "http/fns.h"
#include "proto/peer.pb-c.h"
#include "kv/dat.h"
#include "tree/dat.h"
#include "tree/fns.h"
#include "turmericd/state/claim/dat.h"
#include "turmericd/state/claim/fns.h"
#include "turmericd/fleet/member/dat.h"
#include "turmericd/serve/call/dat.h"
#include "turmericd/serve/call/fns.h"
#include "turmericd/serve/frontend/dat.h"
#include "turmericd/serve/frontend/fns.h"
#include "turmericd/serve/frontend/internal.h"

enum {
    /* Closes idle connections and those of callers that don't read. The
     * server's idle time includes the pause between two parts of a response:
     * up to 30 s until a stalled stream is abandoned, 30 s until it is resumed
     * and 30 s until its next event. A silent target that no other can replace
     * has until the call's deadline, but not beyond this time. */
    CONNECTION_IDLE_S = 180,
};

static bool
create_server(struct frontend *frontend, struct err *err)
{
    struct http_limits limits = {
        .body_max_bytes = (size_t)frontend->settings.body_max_bytes,
        .connections_max = OPEN_CALLS_MAX,
        .idle_timeout_s = CONNECTION_IDLE_S,
        /* Otherwise an Idempotency-Key that is not UTF-8 would be dropped,
         * and a call that must run at most once would count as idempotent. */
        .allow_non_utf8 = true,
    };

    frontend->server =
        http_server_new(frontend->settings.address, &limits, err);
    if (frontend->server == NULL) {
        return false;
    }
    return frontend_add_endpoints(&frontend->server->instance, frontend) ||
           err_set(err, ERR_NO_MEMORY, "frontend endpoints");
}

static void
wait_for_stop(struct frontend *frontend)
{
    pthread_mutex_lock(&frontend->lock);
    while (!frontend->stopping) {
        pthread_cond_wait(&frontend->changed, &frontend->lock);
    }
    frontend->draining = true;
    pthread_mutex_unlock(&frontend->lock);
}

/* Callers cache the address for address_ttl_s and may send new calls until
 * then. */
static void
wait_for_address_expiry(struct frontend *frontend)
{
    struct timespec deadline =
        clock_deadline(frontend->settings.address_ttl_s * 1000);

    pthread_mutex_lock(&frontend->lock);
    while (pthread_cond_timedwait(&frontend->changed, &frontend->lock,
                                  &deadline) != ETIMEDOUT) {
    }
    pthread_mutex_unlock(&frontend->lock);
}

static bool
frontend_run(struct duty *duty, struct err *err)
{
    struct frontend *frontend = (struct frontend *)duty;
    int aborted_count;

    if (!http_server_start(frontend->server, err)) {
        return false;
    }
    wait_for_stop(frontend);
    log_line(LOG_PRI_INFO, "front", "event=leaving keep_s=%lld",
             (long long)frontend->settings.address_ttl_s);
    frontend->port->ops->announce_drain(frontend->port);
    wait_for_address_expiry(frontend);
    aborted_count =
        open_calls_drain(frontend, frontend->settings.drain_max_s * 1000);
    log_line(aborted_count > 0 ? LOG_PRI_WARNING : LOG_PRI_INFO, "front",
             "event=drained calls_cut_off=%d", aborted_count);
    http_server_stop(frontend->server);
    return true;
}

static void
frontend_stop(struct duty *duty)
{
    struct frontend *frontend = (struct frontend *)duty;

    pthread_mutex_lock(&frontend->lock);
    frontend->stopping = true;
    pthread_cond_broadcast(&frontend->changed);
    pthread_mutex_unlock(&frontend->lock);
}

static const struct duty_ops frontend_duty_ops = {frontend_run, frontend_stop};

/**
 * frontend_new() - create the duty, bound to its address
 * @calls: table of calls, kept by reference
 * @settings: listen address and limits, copied
 * @port: the rest of the instance, kept by reference
 * @err: filled in on failure
 *
 * Return: the duty, released with frontend_free(); NULL on failure.
 */
struct frontend *
frontend_new(struct calls *calls, const struct frontend_settings *settings,
             struct frontend_port *port, struct err *err)
{
    struct frontend *frontend = calloc(1, sizeof(*frontend));

    if (frontend == NULL) {
        err_set(err, ERR_NO_MEMORY, "front");
        return NULL;
    }
    frontend->duty.ops = &frontend_duty_ops;
    frontend->duty.name = "front";
    frontend->calls = calls;
    frontend->settings = *settings;
    frontend->port = port;
    pthread_mutex_init(&frontend->lock, NULL);
    cond_init_monotonic(&frontend->changed);
    frontend->open_calls =
        calloc(OPEN_CALLS_MAX, sizeof(*frontend->open_calls));
    if (frontend->open_calls == NULL) {
        err_set(err, ERR_NO_MEMORY, "front");
        frontend_free(frontend);
        return NULL;
    }
    if (!create_server(frontend, err)) {
        frontend_free(frontend);
        return NULL;
    }
    return frontend;
}

/**
 * frontend_free() - release a duty that has stopped
 * @frontend: the duty; may be NULL
 */
void
frontend_free(struct frontend *frontend)
{
    if (frontend == NULL) {
        return;
    }
    http_server_free(frontend->server);
    pthread_cond_destroy(&frontend->changed);
    pthread_mutex_destroy(&frontend->lock);
    free(frontend->open_calls);
    free(frontend);
}

/**
 * frontend_duty() - the duty for a supervisor
 * @frontend: the frontend
 */
struct duty *
frontend_duty(struct frontend *frontend)
{
    return &frontend->duty;
}

/**
 * frontend_listen_port() - port that the duty listens on
 * @frontend: the duty
 */
int
frontend_listen_port(const struct frontend *frontend)
{
    return http_server_port(frontend->server);
}
