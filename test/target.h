/* A target for tests: an ulfius server that sends canned responses. */
#ifndef TEST_TARGET_H
#define TEST_TARGET_H

enum {
    /* Small enough to split each event of a stream. */
    CHUNK_BYTES = 7,
    RESPONSES_MAX = 3,
};

/**
 * enum response_end - what the server does after the body
 * @END_OK: ends the response properly
 * @END_ABORT: closes the connection
 * @END_STALL: sends nothing more until server_release(), then closes the
 *             connection
 */
enum response_end { END_OK, END_ABORT, END_STALL };

/**
 * struct canned_response - response of the server to a request
 * @status: HTTP status
 * @content_type: value of Content-Type
 * @outcome: value of X-Outcome; NULL to omit the field
 * @body: the body
 * @end: what the server does after the body
 * @content_length: value of Content-Length; 0 for a chunked body
 * @fill_bytes: number of 'x' bytes to send in place of @body; 0 for @body
 */
struct canned_response {
    int status;
    const char *content_type;
    const char *outcome;
    const char *body;
    enum response_end end;
    size_t content_length;
    size_t fill_bytes;
};

/**
 * struct target_server - the test target
 * @instance: the ulfius server
 * @port: port it listens on, on the loopback address
 * @responses: for the first, the second, and all later requests
 * @response_count: number of requests answered, without cancellations
 * @requests: struct received_request in the order of arrival
 * @lock: protects @released
 * @changed: signalled when @released is set
 * @released: stalled responses may end
 */
struct target_server {
    struct _u_instance instance;
    int port;
    struct canned_response responses[RESPONSES_MAX];
    atomic_int response_count;
    struct ring requests;
    pthread_mutex_t lock;
    pthread_cond_t changed;
    bool released;
};

/* Initializer of a struct canned_response. clang-format would put each value
 * of a plain initializer in a table of cases on a line of its own. */
#define RESPONSE(...)                                                         \
    {                                                                         \
        __VA_ARGS__                                                           \
    }

struct received_request {
    char text[1024];
};

struct response_stream {
    struct target_server *server;
    const struct canned_response *response;
    size_t sent_bytes;
};

static inline ssize_t
stream_body(void *data, uint64_t offset, char *buffer, size_t max)
{
    struct response_stream *stream = data;
    struct target_server *server = stream->server;
    const struct canned_response *response = stream->response;
    size_t size = response->fill_bytes > 0 ? response->fill_bytes
                                           : strlen(response->body);
    size_t count = MIN(size - stream->sent_bytes, max);

    (void)offset;
    if (count == 0 && response->end == END_STALL) {
        pthread_mutex_lock(&server->lock);
        while (!server->released) {
            pthread_cond_wait(&server->changed, &server->lock);
        }
        pthread_mutex_unlock(&server->lock);
    }
    if (count == 0) {
        return response->end == END_OK ? U_STREAM_END : U_STREAM_ERROR;
    }
    if (response->fill_bytes > 0) {
        memset(buffer, 'x', count);
    }
    else {
        count = MIN(count, CHUNK_BYTES);
        memcpy(buffer, response->body + stream->sent_bytes, count);
    }
    stream->sent_bytes += count;
    return (ssize_t)count;
}

static inline const char *
header_or_dash(const struct _u_request *request, const char *name)
{
    const char *value = u_map_get_case(request->map_header, name);

    return value != NULL ? value : "-";
}

static inline int
on_request(const struct _u_request *request, struct _u_response *response,
           void *data)
{
    struct target_server *server = data;
    const struct canned_response *canned;
    int index;
    struct received_request received;
    struct response_stream *stream;

    snprintf(received.text, sizeof(received.text),
             "%s %s stream=%s from=%s key=%s %.*s", request->http_verb,
             request->http_url, header_or_dash(request, "X-Stream-Id"),
             header_or_dash(request, "X-Resume-From"),
             header_or_dash(request, "Idempotency-Key"),
             (int)request->binary_body_length,
             (const char *)request->binary_body);
    ring_push(&server->requests, &received, NULL);
    if (strcmp(request->http_url, "/v1/cancel") == 0) {
        ulfius_set_string_body_response(response, 200, "{}");
        return U_CALLBACK_COMPLETE;
    }
    index = atomic_fetch_add(&server->response_count, 1);
    canned = &server->responses[MIN(index, RESPONSES_MAX - 1)];
    stream = g_new0(struct response_stream, 1);
    stream->server = server;
    stream->response = canned;
    u_map_put(response->map_header, "Content-Type", canned->content_type);
    if (canned->outcome != NULL) {
        u_map_put(response->map_header, "X-Outcome", canned->outcome);
    }
    ulfius_set_stream_response(
        response, (unsigned)canned->status, stream_body, g_free,
        canned->content_length > 0 ? canned->content_length
                                   : U_STREAM_SIZE_UNKNOWN,
        64 * 1024, stream);
    return U_CALLBACK_COMPLETE;
}

/* Opens a listening socket on a loopback port that the kernel chooses. */
static inline int
listen_on_free_port(int *port)
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
server_start(struct target_server *server)
{
    int fd = listen_on_free_port(&server->port);
    struct MHD_OptionItem options[] = {
        {MHD_OPTION_NOTIFY_COMPLETED, (intptr_t)mhd_request_completed, NULL},
        {MHD_OPTION_URI_LOG_CALLBACK, (intptr_t)ulfius_uri_logger, NULL},
        {MHD_OPTION_LISTEN_SOCKET, fd, NULL},
        {MHD_OPTION_END, 0, NULL},
    };

    pthread_mutex_init(&server->lock, NULL);
    pthread_cond_init(&server->changed, NULL);
    ring_init(&server->requests, 16, sizeof(struct received_request), NULL);
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
server_release(struct target_server *server)
{
    pthread_mutex_lock(&server->lock);
    server->released = true;
    pthread_cond_broadcast(&server->changed);
    pthread_mutex_unlock(&server->lock);
}

static inline void
server_stop(struct target_server *server)
{
    server_release(server);
    ulfius_stop_framework(&server->instance);
    ulfius_clean_instance(&server->instance);
    ring_free(&server->requests);
}

#endif
