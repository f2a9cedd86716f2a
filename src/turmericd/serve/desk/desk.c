/**
 * DOC: Duty that serves operators over HTTP.
 *
 * It listens on the address of the settings only and answers nothing without
 * the token of the token file.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <ulfius.h>
#include <unistd.h>

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
    LISTEN_BACKLOG = 64,
    CONNECTIONS_MAX = 64,
    THREAD_STACK_BYTES = 512 * 1024,
    /* An idle connection must not hold one of the few places for ever. */
    CONNECTION_TIMEOUT_S = 30,
};

/* The socket is bound here, so that port 0 lets the kernel choose. */
static bool
open_socket(struct desk *desk, struct err *err)
{
    struct sockaddr_in address;
    socklen_t bytes = sizeof(address);
    int one = 1;

    if (!address_parse(desk->settings.address, &address, err)) {
        return false;
    }
    desk->listen_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (desk->listen_fd < 0) {
        return err_set(err, ERR_IO, "socket: %s", strerror(errno));
    }
    setsockopt(desk->listen_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (bind(desk->listen_fd, (struct sockaddr *)&address, bytes) != 0 ||
        listen(desk->listen_fd, LISTEN_BACKLOG) != 0 ||
        getsockname(desk->listen_fd, (struct sockaddr *)&address, &bytes) !=
            0) {
        return err_set(err, ERR_IO, "listen on %s: %s", desk->settings.address,
                       strerror(errno));
    }
    desk->listen_port = ntohs(address.sin_port);
    return true;
}

static bool
start_server(struct desk *desk, struct _u_instance *instance, struct err *err)
{
    int fd = dup(desk->listen_fd);
    struct MHD_OptionItem options[] = {
        {MHD_OPTION_NOTIFY_COMPLETED, (intptr_t)mhd_request_completed, NULL},
        {MHD_OPTION_URI_LOG_CALLBACK, (intptr_t)ulfius_uri_logger, NULL},
        {MHD_OPTION_LISTEN_SOCKET, fd, NULL},
        {MHD_OPTION_THREAD_STACK_SIZE, THREAD_STACK_BYTES, NULL},
        {MHD_OPTION_CONNECTION_LIMIT, CONNECTIONS_MAX, NULL},
        {MHD_OPTION_CONNECTION_TIMEOUT, CONNECTION_TIMEOUT_S, NULL},
        {MHD_OPTION_END, 0, NULL},
    };

    if (fd < 0 || ulfius_init_instance(instance, (unsigned)desk->listen_port,
                                       NULL, NULL) != U_OK) {
        close(fd);
        return err_set(err, ERR_IO, "cannot set up the operators' server");
    }
    /* One byte more tells a body that is too large from one that fits. */
    instance->max_post_body_size = DESK_BODY_MAX_BYTES + 1;
    instance->allowed_post_processor = U_POST_PROCESS_NONE;
    if (!endpoints_add(instance, desk) ||
        ulfius_start_framework_with_mhd_options(
            instance,
            MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD,
            options) != U_OK) {
        ulfius_clean_instance(instance);
        close(fd);
        return err_set(err, ERR_IO, "cannot serve operators on port %d",
                       desk->listen_port);
    }
    return true;
}

static bool
run(struct duty *duty, struct err *err)
{
    struct desk *desk = (struct desk *)duty;
    struct _u_instance instance;

    if (!start_server(desk, &instance, err)) {
        return false;
    }
    pthread_mutex_lock(&desk->lock);
    while (!desk->stopping) {
        pthread_cond_wait(&desk->changed, &desk->lock);
    }
    pthread_mutex_unlock(&desk->lock);
    ulfius_stop_framework(&instance);
    ulfius_clean_instance(&instance);
    /* Otherwise new connections would wait in the backlog for ever. */
    close(desk->listen_fd);
    desk->listen_fd = -1;
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
    desk->listen_fd = -1;
    pthread_mutex_init(&desk->lock, NULL);
    pthread_cond_init(&desk->changed, NULL);
    if (!token_read(settings->token_file, desk->token, err) ||
        !open_socket(desk, err)) {
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
    if (desk->listen_fd >= 0) {
        close(desk->listen_fd);
    }
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
    return desk->listen_port;
}
