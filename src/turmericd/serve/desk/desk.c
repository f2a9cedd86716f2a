/**
 * DOC: Duty that serves operators over HTTP.
 *
 * It listens on the address of the settings only and answers nothing without
 * the token of the token file.
 */
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>
#include <ulfius.h>

#include "base/dat.h"
#include "base/fns.h"
#include "http/dat.h"
#include "http/fns.h"
#include "kv/dat.h"
#include "proto/peer.pb-c.h"
#include "tree/dat.h"
#include "turmericd/state/config/dat.h"
#include "turmericd/fleet/member/dat.h"
#include "turmericd/serve/desk/dat.h"
#include "turmericd/serve/desk/fns.h"
#include "turmericd/serve/desk/internal.h"

enum {
    CONNECTIONS_MAX = 64,
    /* An idle connection must not hold one of the few places for ever. */
    CONNECTION_IDLE_S = 30,
};

static const struct http_limits limits = {
    .body_max_bytes = DESK_BODY_MAX_BYTES,
    .connections_max = CONNECTIONS_MAX,
    .idle_timeout_s = CONNECTION_IDLE_S,
};

static bool
run(struct duty *duty, struct err *err)
{
    struct desk *desk = (struct desk *)duty;

    if (!http_server_start(desk->server, err)) {
        return false;
    }
    pthread_mutex_lock(&desk->lock);
    while (!desk->stopping) {
        pthread_cond_wait(&desk->changed, &desk->lock);
    }
    pthread_mutex_unlock(&desk->lock);
    http_server_stop(desk->server);
    return true;
}

static void
stop(struct duty *duty)
{
    struct desk *desk = (struct desk *)duty;

    pthread_mutex_lock(&desk->lock);
    desk->stopping = true;
    pthread_cond_signal(&desk->changed);
    pthread_mutex_unlock(&desk->lock);
}

static bool
open_server(struct desk *desk, struct err *err)
{
    desk->server = http_server_new(desk->settings.address, &limits, err);
    if (desk->server == NULL) {
        return false;
    }
    return endpoints_add(&desk->server->instance, desk) ||
           err_set(err, ERR_NO_MEMORY, "operators' endpoints");
}

static const struct duty_ops desk_ops = {run, stop};

/**
 * desk_new() - make the duty, bound to its address
 * @settings: address and token file, copied
 * @port: the rest of the instance, kept by reference
 * @err: filled in on failure
 *
 * Return: NULL with ERR_SETTINGS when the token file or the address is wrong,
 * with ERR_IO when the address can't be used.
 */
struct desk *
desk_new(const struct desk_settings *settings, struct desk_port *port,
         struct err *err)
{
    struct desk *desk = calloc(1, sizeof(*desk));

    if (desk == NULL) {
        err_set(err, ERR_NO_MEMORY, "operators' duty");
        return NULL;
    }
    desk->duty.ops = &desk_ops;
    desk->duty.name = "desk";
    desk->settings = *settings;
    desk->port = port;
    pthread_mutex_init(&desk->lock, NULL);
    pthread_cond_init(&desk->changed, NULL);
    if (!token_read(settings->token_file, desk->token, err) ||
        !open_server(desk, err)) {
        desk_free(desk);
        return NULL;
    }
    return desk;
}

/**
 * desk_free() - release a duty that has stopped
 * @desk: the duty; may be NULL
 */
void
desk_free(struct desk *desk)
{
    if (desk == NULL) {
        return;
    }
    http_server_free(desk->server);
    pthread_cond_destroy(&desk->changed);
    pthread_mutex_destroy(&desk->lock);
    memset(desk->token, 0, sizeof(desk->token));
    free(desk);
}

/**
 * desk_duty() - the duty for a supervisor
 * @desk: the duty
 */
struct duty *
desk_duty(struct desk *desk)
{
    return &desk->duty;
}

/**
 * desk_listen_port() - port that the duty listens on
 * @desk: the duty
 */
int
desk_listen_port(const struct desk *desk)
{
    return http_server_port(desk->server);
}
