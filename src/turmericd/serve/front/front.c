/**
 * DOC: The front duty: callers' HTTP, and its graceful stop.
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
#include "turmericd/serve/front/dat.h"
#include "turmericd/serve/front/fns.h"
#include "turmericd/serve/front/internal.h"

enum {
    /* Ends idle connections and those of callers that don't read. The server
     * also counts the time between two parts of an answer, which may be 30 s
     * until a stalled stream is given up, 30 s until it is resumed and 30 s
     * until its next event. */
    CONNECTION_IDLE_S = 180,
};

static bool
open_server(struct front *front, struct err *err)
{
    struct http_limits limits = {
        .body_max_bytes = (size_t)front->settings.body_max_bytes,
        .connections_max = OPEN_MAX,
        .idle_timeout_s = CONNECTION_IDLE_S,
        /* A header that is dropped for its bytes would turn a call that may
         * not be repeated into one that may. */
        .allow_non_utf8 = true,
    };

    front->server = http_server_new(front->settings.address, &limits, err);
    if (front->server == NULL) {
        return false;
    }
    return handlers_add(&front->server->instance, front) ||
           err_set(err, ERR_NO_MEMORY, "callers' endpoints");
}

static void
wait_for_stop(struct front *front)
{
    pthread_mutex_lock(&front->lock);
    while (!front->stopping) {
        pthread_cond_wait(&front->changed, &front->lock);
    }
    front->leaving = true;
    pthread_mutex_unlock(&front->lock);
}

/* Callers keep an address for keep_s, so new calls still come until then. */
static void
wait_for_callers(struct front *front)
{
    struct timespec deadline = clock_deadline(front->settings.keep_s * 1000);

    pthread_mutex_lock(&front->lock);
    while (pthread_cond_timedwait(&front->changed, &front->lock, &deadline) !=
           ETIMEDOUT) {
    }
    pthread_mutex_unlock(&front->lock);
}

static bool
front_run(struct duty *duty, struct err *err)
{
    struct front *front = (struct front *)duty;
    int cut_off;

    if (!http_server_start(front->server, err)) {
        return false;
    }
    wait_for_stop(front);
    log_line(LOG_PRI_INFO, "front", "event=leaving keep_s=%lld",
             (long long)front->settings.keep_s);
    front->port->ops->leave(front->port);
    wait_for_callers(front);
    cut_off = open_drain(front, front->settings.drain_max_s * 1000);
    log_line(cut_off > 0 ? LOG_PRI_WARNING : LOG_PRI_INFO, "front",
             "event=drained calls_cut_off=%d", cut_off);
    http_server_stop(front->server);
    return true;
}

static void
front_stop(struct duty *duty)
{
    struct front *front = (struct front *)duty;

    pthread_mutex_lock(&front->lock);
    front->stopping = true;
    pthread_cond_broadcast(&front->changed);
    pthread_mutex_unlock(&front->lock);
}

static const struct duty_ops front_ops = {front_run, front_stop};

/**
 * front_new() - the duty, bound to its address
 * @calls: table of calls
 * @settings: address and limits, copied
 * @port: the rest of the instance
 * @err: filled in on failure
 */
struct front *
front_new(struct calls *calls, const struct front_settings *settings,
          struct front_port *port, struct err *err)
{
    struct front *front = calloc(1, sizeof(*front));

    if (front == NULL) {
        err_set(err, ERR_NO_MEMORY, "front");
        return NULL;
    }
    front->duty.ops = &front_ops;
    front->duty.name = "front";
    front->calls = calls;
    front->settings = *settings;
    front->port = port;
    pthread_mutex_init(&front->lock, NULL);
    cond_init_monotonic(&front->changed);
    front->open = calloc(OPEN_MAX, sizeof(*front->open));
    if (front->open == NULL) {
        err_set(err, ERR_NO_MEMORY, "front");
        front_free(front);
        return NULL;
    }
    if (!open_server(front, err)) {
        front_free(front);
        return NULL;
    }
    return front;
}

/**
 * front_free() - release a duty that has stopped
 * @front: the duty; may be NULL
 */
void
front_free(struct front *front)
{
    if (front == NULL) {
        return;
    }
    http_server_free(front->server);
    pthread_cond_destroy(&front->changed);
    pthread_mutex_destroy(&front->lock);
    free(front->open);
    free(front);
}

/**
 * front_duty() - the duty
 * @front: the duty
 */
struct duty *
front_duty(struct front *front)
{
    return &front->duty;
}

/**
 * front_listen_port() - port that the duty listens on
 * @front: the duty
 */
int
front_listen_port(const struct front *front)
{
    return http_server_port(front->server);
}
