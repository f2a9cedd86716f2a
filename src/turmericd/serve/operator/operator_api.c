/**
 * DOC: The operator API duty: serves operators over HTTP.
 *
 * It listens only on the configured address and refuses every request without
 * the token from the token file.
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
#include "turmericd/serve/operator/dat.h"
#include "turmericd/serve/operator/fns.h"
#include "turmericd/serve/operator/internal.h"

enum {
    CONNECTIONS_MAX = 64,
    /* Idle connections would otherwise use up the connection limit. */
    CONNECTION_IDLE_S = 30,
};

static const struct http_limits http_server_limits = {
    .body_max_bytes = OPERATOR_BODY_MAX_BYTES,
    .connections_max = CONNECTIONS_MAX,
    .idle_timeout_s = CONNECTION_IDLE_S,
};

static bool
operator_api_run(struct duty *duty, struct err *err)
{
    struct operator_api *api = (struct operator_api *)duty;

    if (!http_server_start(api->server, err)) {
        return false;
    }
    pthread_mutex_lock(&api->lock);
    while (!api->stopping) {
        pthread_cond_wait(&api->changed, &api->lock);
    }
    pthread_mutex_unlock(&api->lock);
    http_server_stop(api->server);
    return true;
}

static void
operator_api_stop(struct duty *duty)
{
    struct operator_api *api = (struct operator_api *)duty;

    pthread_mutex_lock(&api->lock);
    api->stopping = true;
    pthread_cond_signal(&api->changed);
    pthread_mutex_unlock(&api->lock);
}

static bool
create_server(struct operator_api *api, struct err *err)
{
    api->server =
        http_server_new(api->settings.address, &http_server_limits, err);
    if (api->server == NULL) {
        return false;
    }
    return operator_add_endpoints(&api->server->instance, api) ||
           err_set(err, ERR_NO_MEMORY, "operator API endpoints");
}

static const struct duty_ops operator_api_duty_ops = {operator_api_run,
                                                      operator_api_stop};

/**
 * operator_api_new() - create the duty, bound to its address
 * @settings: address, token file and instance name, copied
 * @port: the rest of the instance, kept by reference
 * @err: filled in on failure
 *
 * Return: the duty, released with operator_api_free(); NULL with ERR_SETTINGS
 * when the token file or the address is invalid, with ERR_IO when the address
 * can't be bound.
 */
struct operator_api *
operator_api_new(const struct operator_api_settings *settings,
                 struct operator_api_port *port, struct err *err)
{
    struct operator_api *api = calloc(1, sizeof(*api));

    if (api == NULL) {
        err_set(err, ERR_NO_MEMORY, "operator API");
        return NULL;
    }
    api->duty.ops = &operator_api_duty_ops;
    api->duty.name = "desk";
    api->settings = *settings;
    api->port = port;
    pthread_mutex_init(&api->lock, NULL);
    pthread_cond_init(&api->changed, NULL);
    if (!operator_token_read(settings->token_file, api->token, err) ||
        !create_server(api, err)) {
        operator_api_free(api);
        return NULL;
    }
    return api;
}

/**
 * operator_api_free() - release a duty that has stopped
 * @api: the duty; may be NULL
 */
void
operator_api_free(struct operator_api *api)
{
    if (api == NULL) {
        return;
    }
    http_server_free(api->server);
    pthread_cond_destroy(&api->changed);
    pthread_mutex_destroy(&api->lock);
    memset(api->token, 0, sizeof(api->token));
    free(api);
}

/**
 * operator_api_duty() - the duty for a supervisor
 * @api: the operator API
 */
struct duty *
operator_api_duty(struct operator_api *api)
{
    return &api->duty;
}

/**
 * operator_api_listen_port() - port that the duty listens on
 * @api: the duty
 */
int
operator_api_listen_port(const struct operator_api *api)
{
    return http_server_port(api->server);
}
