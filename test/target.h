/* A target for tests: a small server of ulfius that answers by plan. */
#ifndef TEST_TARGET_H
#define TEST_TARGET_H

enum { PIECE_BYTES = 7, TARGET_PLANS_MAX = 3 };

enum end { END_WHOLE, END_BREAK, END_STALL };

/**
 * struct plan - what the server answers
 * @length: announced length; 0 for chunks without one
 * @fill: bytes of 'x' in place of @body
 */
struct plan {
    int status;
    const char *type;
    const char *header;
    const char *body;
    enum end end;
    size_t length;
    size_t fill;
};

/**
 * struct server - a target
 * @plans: for the first, second and later requests
 * @answers: requests answered, other than cancellations
 * @seen: requests that came, as text, in the order of their arrival
 */
struct server {
    struct _u_instance instance;
    int port;
    struct plan plans[TARGET_PLANS_MAX];
    atomic_int answers;
    struct ring seen;
    pthread_mutex_t lock;
    pthread_cond_t changed;
    bool released;
};

/* Keeps a plan within a table of cases on few lines. */
#define PLAN(...)                                                             \
    {                                                                         \
        __VA_ARGS__                                                           \
    }

struct seen {
    char line[1024];
};

struct progress {
    struct server *server;
    const struct plan *plan;
    size_t sent;
};

static inline ssize_t
read_plan(void *data, uint64_t offset, char *buffer, size_t max)
{
    struct progress *progress = data;
    struct server *server = progress->server;
    const struct plan *plan = progress->plan;
    size_t size = plan->fill > 0 ? plan->fill : strlen(plan->body);
    size_t count = MIN(size - progress->sent, max);

    (void)offset;
    if (count == 0 && plan->end == END_STALL) {
        pthread_mutex_lock(&server->lock);
        while (!server->released) {
            pthread_cond_wait(&server->changed, &server->lock);
        }
        pthread_mutex_unlock(&server->lock);
    }
    if (count == 0) {
        return plan->end == END_WHOLE ? U_STREAM_END : U_STREAM_ERROR;
    }
    if (plan->fill > 0) {
        memset(buffer, 'x', count);
    }
    else {
        count = MIN(count, PIECE_BYTES);
        memcpy(buffer, plan->body + progress->sent, count);
    }
    progress->sent += count;
    return (ssize_t)count;
}

static inline const char *
field(const struct _u_request *request, const char *name)
{
    const char *value = u_map_get_case(request->map_header, name);

    return value != NULL ? value : "-";
}

static inline int
on_request(const struct _u_request *request, struct _u_response *response,
           void *data)
{
    struct server *server = data;
    const struct plan *plan;
    int number;
    struct seen seen;
    struct progress *progress;

    snprintf(
        seen.line, sizeof(seen.line), "%s %s stream=%s from=%s key=%s %.*s",
        request->http_verb, request->http_url, field(request, "X-Stream-Id"),
        field(request, "X-Resume-From"), field(request, "Idempotency-Key"),
        (int)request->binary_body_length, (const char *)request->binary_body);
    ring_push(&server->seen, &seen, NULL);
    if (strcmp(request->http_url, "/v1/cancel") == 0) {
        ulfius_set_string_body_response(response, 200, "{}");
        return U_CALLBACK_COMPLETE;
    }
    number = atomic_fetch_add(&server->answers, 1);
    plan = &server->plans[MIN(number, TARGET_PLANS_MAX - 1)];
    progress = g_new0(struct progress, 1);
    progress->server = server;
    progress->plan = plan;
    u_map_put(response->map_header, "Content-Type", plan->type);
    if (plan->header != NULL) {
        u_map_put(response->map_header, "X-Outcome", plan->header);
    }
    ulfius_set_stream_response(
        response, (unsigned)plan->status, read_plan, g_free,
        plan->length > 0 ? plan->length : U_STREAM_SIZE_UNKNOWN, 64 * 1024,
        progress);
    return U_CALLBACK_COMPLETE;
}

/* Binds to a port that the kernel chooses. */
static inline int
listen_anywhere(int *port)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t bytes = sizeof(address);
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    g_assert_cmpint(bind(fd, (struct sockaddr *)&address, bytes), ==, 0);
    g_assert_cmpint(listen(fd, 16), ==, 0);
    getsockname(fd, (struct sockaddr *)&address, &bytes);
    *port = ntohs(address.sin_port);
    return fd;
}

static inline void
server_start(struct server *server)
{
    int fd = listen_anywhere(&server->port);
    struct MHD_OptionItem options[] = {
        {MHD_OPTION_NOTIFY_COMPLETED, (intptr_t)mhd_request_completed, NULL},
        {MHD_OPTION_URI_LOG_CALLBACK, (intptr_t)ulfius_uri_logger, NULL},
        {MHD_OPTION_LISTEN_SOCKET, fd, NULL},
        {MHD_OPTION_END, 0, NULL},
    };

    pthread_mutex_init(&server->lock, NULL);
    pthread_cond_init(&server->changed, NULL);
    ring_init(&server->seen, 16, sizeof(struct seen), NULL);
    ulfius_init_instance(&server->instance, (unsigned)server->port, NULL,
                         NULL);
    server->instance.allowed_post_processor = U_POST_PROCESS_NONE;
    ulfius_set_default_endpoint(&server->instance, on_request, server);
    g_assert_cmpint(ulfius_start_framework_with_mhd_options(
                        &server->instance,
                        MHD_USE_THREAD_PER_CONNECTION |
                            MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL,
                        options),
                    ==, U_OK);
}

static inline void
server_release(struct server *server)
{
    pthread_mutex_lock(&server->lock);
    server->released = true;
    pthread_cond_broadcast(&server->changed);
    pthread_mutex_unlock(&server->lock);
}

static inline void
server_stop(struct server *server)
{
    server_release(server);
    ulfius_stop_framework(&server->instance);
    ulfius_clean_instance(&server->instance);
    ring_free(&server->seen);
}

#endif
