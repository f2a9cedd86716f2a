/**
 * DOC: The front duty: callers' HTTP, and its graceful stop.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/types.h>
#include <ulfius.h>
#include <unistd.h>

#include "base/dat.h"
#include "base/fns.h"
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
    LISTEN_BACKLOG = 1024,
    CONNECTIONS_MAX = OPEN_MAX,
    /* Handlers keep what is large on the heap; the default of 8 MiB for each
     * of thousands of threads would exhaust the address space of a small
     * instance. */
    THREAD_STACK_BYTES = 512 * 1024,
    PORT_MAX = 65535,
    /* Ends idle connections and those of callers that don't read. The server
     * also counts the time between two parts of an answer, which may be 30 s
     * until a stalled stream is given up, 30 s until it is resumed and 30 s
     * until its next event. */
    CONNECTION_IDLE_S = 180,
    /* Without MHD_USE_POLL the server waits with select(), which fails for
     * descriptors above 1023. */
    SERVER_FLAGS = MHD_USE_THREAD_PER_CONNECTION |
                   MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL,
};

static bool
parse_address(const char *text, struct sockaddr_in *address, struct err *err)
{
    char host[ADDRESS_MAX_BYTES];
    const char *colon = strrchr(text, ':');
    char *end = NULL;
    long number = colon != NULL ? strtol(colon + 1, &end, 10) : -1;

    memset(address, 0, sizeof(*address));
    address->sin_family = AF_INET;
    if (colon == NULL || end == colon + 1 || *end != '\0' || number < 0 ||
        number > PORT_MAX) {
        return err_set(err, ERR_SETTINGS, "\"%s\" is no address with a port",
                       text);
    }
    snprintf(host, sizeof(host), "%.*s", (int)(colon - text), text);
    address->sin_port = htons((uint16_t)number);
    if (inet_pton(AF_INET, host, &address->sin_addr) != 1) {
        return err_set(err, ERR_SETTINGS, "\"%s\" is no IP address", host);
    }
    return true;
}

/* The socket is bound here, so that port 0 lets the kernel choose. */
static bool
open_socket(struct front *front, struct err *err)
{
    struct sockaddr_in address;
    socklen_t bytes = sizeof(address);
    int one = 1;

    if (!parse_address(front->settings.address, &address, err)) {
        return false;
    }
    front->listen_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (front->listen_fd < 0) {
        return err_set(err, ERR_IO, "socket: %s", strerror(errno));
    }
    setsockopt(front->listen_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (bind(front->listen_fd, (struct sockaddr *)&address, bytes) != 0 ||
        listen(front->listen_fd, LISTEN_BACKLOG) != 0 ||
        getsockname(front->listen_fd, (struct sockaddr *)&address, &bytes) !=
            0) {
        return err_set(err, ERR_IO, "listen on %s: %s",
                       front->settings.address, strerror(errno));
    }
    front->listen_port = ntohs(address.sin_port);
    return true;
}

static bool
start_server(struct front *front, struct _u_instance *instance,
             struct err *err)
{
    int fd = dup(front->listen_fd);
    struct MHD_OptionItem options[] = {
        {MHD_OPTION_NOTIFY_COMPLETED, (intptr_t)mhd_request_completed, NULL},
        {MHD_OPTION_URI_LOG_CALLBACK, (intptr_t)ulfius_uri_logger, NULL},
        {MHD_OPTION_LISTEN_SOCKET, fd, NULL},
        {MHD_OPTION_THREAD_STACK_SIZE, THREAD_STACK_BYTES, NULL},
        {MHD_OPTION_CONNECTION_LIMIT, CONNECTIONS_MAX, NULL},
        {MHD_OPTION_CONNECTION_TIMEOUT, CONNECTION_IDLE_S, NULL},
        {MHD_OPTION_END, 0, NULL},
    };

    if (fd < 0 || ulfius_init_instance(instance, (unsigned)front->listen_port,
                                       NULL, NULL) != U_OK) {
        close(fd);
        return err_set(err, ERR_IO, "cannot set up the server");
    }
    /* One byte more tells a body that is too large from one that fits. */
    instance->max_post_body_size = (size_t)front->settings.body_max_bytes + 1;
    instance->allowed_post_processor = U_POST_PROCESS_NONE;
    /* A header that is dropped for its bytes would turn a call that may not
     * be repeated into one that may. */
    instance->check_utf8 = 0;
    if (!handlers_add(instance, front) ||
        ulfius_start_framework_with_mhd_options(instance, SERVER_FLAGS,
                                                options) != U_OK) {
        ulfius_clean_instance(instance);
        close(fd);
        return err_set(err, ERR_IO, "cannot start the server on port %d",
                       front->listen_port);
    }
    return true;
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
    struct _u_instance instance;
    int cut_off;

    if (!start_server(front, &instance, err)) {
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
    ulfius_stop_framework(&instance);
    ulfius_clean_instance(&instance);
    /* Otherwise new connections would wait in the backlog for ever. */
    close(front->listen_fd);
    front->listen_fd = -1;
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
    front->listen_fd = -1;
    pthread_mutex_init(&front->lock, NULL);
    cond_init_monotonic(&front->changed);
    front->open = calloc(OPEN_MAX, sizeof(*front->open));
    if (front->open == NULL) {
        err_set(err, ERR_NO_MEMORY, "front");
        front_free(front);
        return NULL;
    }
    if (!open_socket(front, err)) {
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
    if (front->listen_fd >= 0) {
        close(front->listen_fd);
    }
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
    return front->listen_port;
}
