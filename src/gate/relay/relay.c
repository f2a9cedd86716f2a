/**
 * DOC: Duty that forwards requests to targets and responses to callers.
 *
 * One thread serves all connections with epoll: on a fraction of a core,
 * passing an event to another thread would cost more than handling it.
 */
#include <errno.h>
#include <glib.h>
#include <http_parser.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/view/fns.h"
#include "gate/choose/dat.h"
#include "gate/choose/fns.h"
#include "gate/crash/dat.h"
#include "gate/crash/fns.h"
#include "gate/relay/dat.h"
#include "gate/relay/fns.h"
#include "gate/team/dat.h"
#include "gate/team/fns.h"
#include "gate/quota/dat.h"
#include "gate/quota/fns.h"
#include "gate/relay/internal.h"

enum {
    EVENTS_MAX = 64,
    TARGETS_MAX = 8192,
    /* Descriptors reserved for files, peers and the store. */
    RESERVED_DESCRIPTORS = 300,
};

uint64_t
relay_random(struct relay *relay)
{
    relay->random_state = hash_pair(relay->random_state, 1);
    return relay->random_state;
}

/* Packs the kind into the top byte, then 24 bits of index and 32 bits of
 * generation. */
static uint64_t
epoll_data(enum watch_kind kind, struct handle handle)
{
    return (uint64_t)kind << 56 | (uint64_t)handle.index << 32 |
           handle.generation;
}

bool
relay_epoll_ctl(struct relay *relay, int operation, int fd, uint32_t events,
                enum watch_kind kind, struct handle handle)
{
    struct epoll_event event = {.events = events,
                                .data.u64 = epoll_data(kind, handle)};

    if (epoll_ctl(relay->epoll_fd, operation, fd, &event) < 0) {
        log_line(LOG_PRI_ERR, "relay", "event=epoll_failed error=%s",
                 strerror(errno));
        return false;
    }
    return true;
}

/* Present time by clock_boot_ms(). */
int64_t
relay_boot_ms(const struct relay *relay, int64_t now_ms)
{
    return now_ms + relay->boot_offset_ms;
}

/* Instances whose activity reports are current, including this one. */
int
relay_reporting_count(const struct relay *relay)
{
    return (int)g_hash_table_size(relay->peer_reports) + 1;
}

static void
record_instance_count(struct relay *relay, int64_t now_ms)
{
    int reporting =
        MAX(relay_reporting_count(relay), relay->total_instance_count);

    if (relay->targets_listed || reporting > 1) {
        instance_counts_record(
            &relay->instance_counts, MAX(reporting, (int)relay->members->len),
            relay->settings->limits.retry_window_ms, now_ms);
    }
}

/* Instances that share the deployment's retry budget; 0 while unknown. */
int
relay_budget_instances(struct relay *relay, int64_t now_ms)
{
    record_instance_count(relay, now_ms);
    return instance_counts_max(&relay->instance_counts,
                               relay->settings->limits.retry_window_ms,
                               now_ms);
}

static void
free_holdings(void *holdings)
{
    g_free(holdings);
}

/* The parser's own limit of a head must not be below that of the
 * configuration, which is checked behind each read. It is one for the process,
 * in which only this duty parses heads. */
static void
set_parser_limit(const struct gate_config *config)
{
    size_t bytes = MAX(config->head_max_bytes + READ_BUFFER_BYTES,
                       (size_t)HTTP_MAX_HEADER_SIZE);

    http_parser_set_max_header_size((uint32_t)MIN(bytes, UINT32_MAX));
}

static void
apply_config(struct relay *relay, struct gate_config *config, int64_t now_ms)
{
    if (relay->config != NULL && config->version <= relay->config->version) {
        counter_add(CTR_CONFIG_OLDER_IGNORED, 1);
        gate_config_unref(config);
        return;
    }
    log_line(LOG_PRI_INFO, "relay",
             "event=config version=%" G_GINT64_FORMAT
             " before=%" G_GINT64_FORMAT " routes=%d services=%d",
             (gint64)config->version,
             relay->config != NULL ? (gint64)relay->config->version : 0,
             config->route_count, config->service_count);
    counter_add(CTR_CONFIG_APPLIED, 1);
    gate_config_unref(relay->config);
    relay->config = config;
    set_parser_limit(config);
    team_apply_config(relay, now_ms);
    quota_apply_config(relay, now_ms);
}

static void
apply_members(struct relay *relay, GArray *members, int64_t now_ms)
{
    record_instance_count(relay, now_ms);
    g_array_free(relay->members, TRUE);
    relay->members = members;
    quota_apply_members(relay, now_ms);
}

static void
handle_message(struct relay *relay, struct relay_message *message,
               int64_t now_ms)
{
    switch (message->kind) {
    case RELAY_CONFIG:
        apply_config(relay, message->data, now_ms);
        break;
    case RELAY_TARGET_CHANGE:
        target_apply_change(relay, message->data, now_ms);
        g_free(message->data);
        break;
    case RELAY_TARGETS_LISTED:
        relay->targets_listed = true;
        break;
    case RELAY_HOLDINGS:
        target_apply_holdings(relay, message->data, now_ms);
        free_holdings(message->data);
        break;
    case RELAY_ACTIVITY:
        target_apply_report(relay, message->data, now_ms);
        break;
    case RELAY_ACTIVITY_TOTAL:
        target_apply_total(relay, message->data, now_ms);
        break;
    case RELAY_FORECAST:
        forecast_store(relay, message->data, now_ms);
        load_forecast_free(message->data);
        break;
    case RELAY_MEMBERS:
        apply_members(relay, message->data, now_ms);
        break;
    case RELAY_CRASHES:
        crash_apply_report(relay, message->data, now_ms);
        break;
    case RELAY_CONFIRMED:
        team_confirm(relay, message->data, now_ms);
        g_free(message->data);
        break;
    case RELAY_QUOTA_GRANT:
        quota_apply_grant(relay, message->data, now_ms);
        quota_grant_clear(message->data);
        g_free(message->data);
        break;
    case RELAY_HOLDER:
        quota_apply_holder(relay);
        break;
    }
}

static void
handle_messages(struct relay *relay, int64_t now_ms)
{
    struct relay_message message;
    uint64_t count;

    if (read(relay->wake_fd, &count, sizeof(count)) < 0 && errno != EAGAIN) {
        log_line(LOG_PRI_ERR, "relay", "event=wake_failed error=%s",
                 strerror(errno));
    }
    while (ring_pop(&relay->ring, &message, 0) == RING_OK) {
        handle_message(relay, &message, now_ms);
    }
    if (atomic_load(&relay->drain_requested)) {
        drain_start(relay, now_ms);
    }
}

static void
handle_epoll_event(struct relay *relay, const struct epoll_event *event,
                   int64_t now_ms)
{
    enum watch_kind kind = (enum watch_kind)(event->data.u64 >> 56);
    struct handle handle = {
        .index = (uint32_t)(event->data.u64 >> 32 & 0xffffff),
        .generation = (uint32_t)event->data.u64,
    };
    void *slot;

    switch (kind) {
    case WATCH_WAKE:
        handle_messages(relay, now_ms);
        break;
    case WATCH_LISTENER:
        client_accept(relay, (enum listener_kind)handle.index, now_ms);
        break;
    case WATCH_CLIENT:
        slot = table_get(&relay->clients, handle);
        if (slot != NULL) {
            client_handle_event(relay, slot, event->events, now_ms);
        }
        break;
    case WATCH_UPSTREAM:
        slot = table_get(&relay->upstreams, handle);
        if (slot != NULL) {
            upstream_handle_event(relay, slot, event->events, now_ms);
        }
        break;
    }
}

static void
handle_timer(struct relay *relay, struct timer *timer, int64_t now_ms)
{
    heap_remove(&relay->timers, timer);
    switch ((enum timer_kind)timer->kind) {
    case TIMER_CLIENT:
        client_handle_timer(relay, (struct client *)timer, now_ms);
        break;
    case TIMER_EXCHANGE:
        exchange_handle_timer(relay, (struct exchange *)timer, now_ms);
        break;
    case TIMER_UPSTREAM:
        upstream_handle_timer(relay, (struct upstream *)timer, now_ms);
        break;
    }
}

static void
handle_due_timers(struct relay *relay, int64_t now_ms)
{
    struct timer *timer;

    while ((timer = heap_first(&relay->timers)) != NULL &&
           timer->due_ms <= now_ms) {
        handle_timer(relay, timer, now_ms);
    }
}

static bool
watch_listener(struct relay *relay, int operation, enum listener_kind kind,
               uint32_t events)
{
    struct handle handle = {.index = kind};

    return relay->listeners[kind] < 0 ||
           relay_epoll_ctl(relay, operation, relay->listeners[kind], events,
                           WATCH_LISTENER, handle);
}

/**
 * relay_pause_accepting() - stop watching the listeners
 * @relay: the relay
 * @resume_ms: when descriptors may be free again
 *
 * A listener with a connection that can't be accepted would wake the thread
 * at once, again and again.
 */
void
relay_pause_accepting(struct relay *relay, int64_t resume_ms)
{
    relay->accept_resume_ms = resume_ms;
    for (int i = 0; i < LISTENER_COUNT; i++) {
        watch_listener(relay, EPOLL_CTL_MOD, (enum listener_kind)i, 0);
    }
}

static uint32_t
listener_events(const struct relay *relay, enum listener_kind kind)
{
    return kind != LISTEN_FRONT || relay->front_open ? EPOLLIN : 0;
}

static void
open_front(struct relay *relay, int64_t now_ms)
{
    if (relay->first_event_ms == 0) {
        relay->first_event_ms = now_ms;
    }
    if (!relay->front_open &&
        (relay->config != NULL ||
         now_ms - relay->first_event_ms >= FRONT_HOLD_MS)) {
        relay->front_open = true;
        watch_listener(relay, EPOLL_CTL_MOD, LISTEN_FRONT,
                       relay->accept_resume_ms == 0 ? EPOLLIN : 0);
    }
}

static void
resume_accepting(struct relay *relay, int64_t now_ms)
{
    if (relay->accept_resume_ms == 0 || now_ms < relay->accept_resume_ms) {
        return;
    }
    relay->accept_resume_ms = 0;
    for (int i = 0; i < LISTENER_COUNT; i++) {
        watch_listener(relay, EPOLL_CTL_MOD, (enum listener_kind)i,
                       listener_events(relay, (enum listener_kind)i));
    }
}

void
relay_stop_listening(struct relay *relay, enum listener_kind kind)
{
    if (relay->listeners[kind] >= 0) {
        close(relay->listeners[kind]);
        relay->listeners[kind] = -1;
    }
}

/**
 * relay_handle_events() - handle epoll's events and all that is due
 * @relay: the relay
 * @events: the events
 * @count: their number
 * @now_ms: current time
 *
 * Return: false when the process may end after a drain.
 */
bool
relay_handle_events(struct relay *relay, const struct epoll_event *events,
                    int count, int64_t now_ms)
{
    relay->event_ms = now_ms;
    for (int i = 0; i < count; i++) {
        handle_epoll_event(relay, &events[i], now_ms);
    }
    /* Before the timers of requests that wait, so that the first gets the
     * first place. */
    pause_work(relay, now_ms);
    handle_due_timers(relay, now_ms);
    open_front(relay, now_ms);
    resume_accepting(relay, now_ms);
    queue_dispatch_marked(relay, now_ms);
    crash_work(relay, now_ms);
    account_work(relay, now_ms);
    team_update(relay, now_ms);
    quota_work(relay, now_ms);
    report_send(relay, now_ms);
    return !drain_continue(relay, now_ms);
}

static int
wait_for_events(struct relay *relay, struct epoll_event *events)
{
    int64_t now_ms = clock_now_ms();
    int64_t wait_ms = relay_next_due_ms(relay, now_ms) - now_ms;

    return epoll_wait(relay->epoll_fd, events, EVENTS_MAX,
                      (int)MAX(wait_ms, 0));
}

/* The other duties take up to a second to stop. What callers send until then
 * is still refused, as it would be reset by the end of the process. */
static void
report_drained(struct relay *relay)
{
    if (!relay->drained) {
        relay->drained = true;
        log_line(LOG_PRI_INFO, "relay", "event=left requests=%u clients=%u",
                 table_count(&relay->exchanges), table_count(&relay->clients));
        relay->port->ops->drained(relay->port);
    }
}

static void
close_clients(struct relay *relay, int64_t now_ms)
{
    struct client *client;
    uint32_t cursor = 0;

    while ((client = table_next(&relay->clients, &cursor, NULL)) != NULL) {
        client_close(relay, client, now_ms);
    }
}

static bool
run(struct duty *duty, struct err *err)
{
    struct relay *relay = (struct relay *)duty;
    struct epoll_event events[EVENTS_MAX];

    (void)err;
    while (!atomic_load(&relay->stopping)) {
        int count = wait_for_events(relay, events);

        relay->boot_offset_ms = clock_boot_ms() - clock_now_ms();
        if (!relay_handle_events(relay, events, count, clock_now_ms())) {
            report_drained(relay);
        }
    }
    /* Nobody reads them any more, and the process may take a while to end. */
    close_clients(relay, clock_now_ms());
    return true;
}

void
relay_wake(struct relay *relay)
{
    uint64_t one = 1;

    if (write(relay->wake_fd, &one, sizeof(one)) < 0 && errno != EAGAIN) {
        log_line(LOG_PRI_ERR, "relay", "event=wake_failed error=%s",
                 strerror(errno));
    }
}

static void
stop(struct duty *duty)
{
    struct relay *relay = (struct relay *)duty;

    atomic_store(&relay->stopping, true);
    relay_wake(relay);
}

static const struct duty_ops duty_ops = {run, stop};

static bool
listen_on(struct relay *relay, enum listener_kind kind, const char *address,
          struct err *err)
{
    if (address[0] == '\0') {
        return true;
    }
    relay->listeners[kind] = socket_listen(address, &relay->ports[kind], err);
    return relay->listeners[kind] >= 0 &&
           watch_listener(relay, EPOLL_CTL_ADD, kind,
                          listener_events(relay, kind));
}

static bool
open_descriptors(struct relay *relay, struct err *err)
{
    struct handle none = {0};
    const struct gate_settings *settings = relay->settings;

    relay->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
    relay->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    if (relay->epoll_fd < 0 || relay->wake_fd < 0) {
        return err_set(err, ERR_IO,
                       "cannot create epoll or event descriptor: %s",
                       strerror(errno));
    }
    relay_epoll_ctl(relay, EPOLL_CTL_ADD, relay->wake_fd, EPOLLIN, WATCH_WAKE,
                    none);
    return listen_on(relay, LISTEN_FRONT, settings->front_address, err) &&
           listen_on(relay, LISTEN_READY, settings->readiness_address, err) &&
           listen_on(relay, LISTEN_LOOKUP, settings->lookup_address, err) &&
           listen_on(relay, LISTEN_METRICS, settings->metrics_address, err);
}

static void
free_peer_report(void *data)
{
    struct peer_report *peer = data;

    activity_report_free(peer->report);
    g_free(peer);
}

static bool
create_tables(struct relay *relay, struct err *err)
{
    int descriptors = relay->settings->descriptors_max - RESERVED_DESCRIPTORS;
    uint32_t connections_max = (uint32_t)MAX(descriptors / 2, 64);

    heap_init(&relay->timers);
    account_init(relay);
    queue_init(relay);
    lengths_init(relay);
    quota_init(relay);
    fairness_init(relay);
    relay->members = g_array_new(FALSE, FALSE, sizeof(struct gate_member));
    relay->target_ids =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    relay->target_hashes =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    relay->retry_budgets =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    relay->peer_reports = g_hash_table_new_full(g_int64_hash, g_int64_equal,
                                                g_free, free_peer_report);
    relay->arrivals = g_hash_table_new(NULL, NULL);
    relay->forecasts = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    relay->leaving =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    relay->pauses =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    relay->crashes = watch_new();
    key_lease_init(&relay->key_lease,
                   relay->settings->limits.key_revocation_ms);
    return table_init(&relay->clients, connections_max, sizeof(struct client),
                      err) &&
           table_init(&relay->upstreams, connections_max,
                      sizeof(struct upstream), err) &&
           table_init(&relay->exchanges, EXCHANGES_MAX,
                      sizeof(struct exchange), err) &&
           table_init(&relay->targets, TARGETS_MAX,
                      sizeof(struct relay_target), err);
}

/**
 * relay_new() - create the duty
 * @settings: kept by reference
 * @dialect: header fields and local endpoints, kept by reference
 * @port: callbacks, kept by reference
 * @err: filled in on failure
 *
 * Return: the duty, or NULL.
 */
struct relay *
relay_new(const struct gate_settings *settings, struct dialect *dialect,
          struct relay_port *port, struct err *err)
{
    struct relay *relay = g_new0(struct relay, 1);

    relay->duty.ops = &duty_ops;
    relay->duty.name = "relay";
    relay->settings = settings;
    relay->dialect = dialect;
    relay->port = port;
    relay->self_id = hash_text(settings->name);
    relay->random_state = hash_pair(relay->self_id, (uint64_t)clock_wall_ms());
    relay->epoll_fd = -1;
    relay->wake_fd = -1;
    memset(relay->listeners, -1, sizeof(relay->listeners));
    if (!ring_init(&relay->ring, RELAY_RING_MESSAGES,
                   sizeof(struct relay_message), err)) {
        g_free(relay);
        return NULL;
    }
    if (!create_tables(relay, err) || !open_descriptors(relay, err)) {
        relay_free(relay);
        return NULL;
    }
    return relay;
}

static void
free_connections(struct relay *relay, int64_t now_ms)
{
    struct upstream *upstream;
    struct relay_target *target;
    uint32_t cursor = 0;

    close_clients(relay, now_ms);
    while ((upstream = table_next(&relay->upstreams, &cursor, NULL)) != NULL) {
        upstream_close(relay, upstream);
    }
    cursor = 0;
    while ((target = table_next(&relay->targets, &cursor, NULL)) != NULL) {
        g_array_free(target->idle, TRUE);
    }
}

static void
close_if_open(int fd)
{
    if (fd >= 0) {
        close(fd);
    }
}

/**
 * relay_free() - release the duty after it has stopped
 * @relay: the relay; may be NULL
 */
void
relay_free(struct relay *relay)
{
    int64_t now_ms = clock_now_ms();

    if (relay == NULL) {
        return;
    }
    if (relay->wake_fd >= 0) {
        handle_messages(relay, now_ms);
    }
    free_connections(relay, now_ms);
    for (int i = 0; i < LISTENER_COUNT; i++) {
        relay_stop_listening(relay, (enum listener_kind)i);
    }
    close_if_open(relay->epoll_fd);
    close_if_open(relay->wake_fd);
    gate_config_unref(relay->config);
    g_array_free(relay->members, TRUE);
    account_clear(relay);
    queue_clear(relay);
    lengths_clear(relay);
    quota_clear(relay);
    fairness_clear(relay);
    heap_clear(&relay->timers);
    g_hash_table_destroy(relay->target_ids);
    g_hash_table_destroy(relay->target_hashes);
    g_hash_table_destroy(relay->retry_budgets);
    g_hash_table_destroy(relay->peer_reports);
    g_hash_table_destroy(relay->arrivals);
    g_hash_table_destroy(relay->forecasts);
    g_hash_table_destroy(relay->leaving);
    g_hash_table_destroy(relay->pauses);
    watch_free(relay->crashes);
    table_destroy(&relay->clients);
    table_destroy(&relay->upstreams);
    table_destroy(&relay->exchanges);
    table_destroy(&relay->targets);
    ring_free(&relay->ring);
    g_free(relay);
}

/**
 * relay_duty() - the duty to hand to a supervisor
 * @relay: the relay
 */
struct duty *
relay_duty(struct relay *relay)
{
    return &relay->duty;
}

/**
 * relay_front_port() - TCP port that serves callers, as the kernel chose it
 * @relay: the relay
 */
int
relay_front_port(const struct relay *relay)
{
    return relay->ports[LISTEN_FRONT];
}

/**
 * relay_ready_port() - TCP port of the readiness check, as the kernel chose it
 * @relay: the relay
 */
int
relay_ready_port(const struct relay *relay)
{
    return relay->ports[LISTEN_READY];
}

/**
 * relay_lookup_port() - TCP port of address lookups, as the kernel chose it
 * @relay: the relay
 */
int
relay_lookup_port(const struct relay *relay)
{
    return relay->ports[LISTEN_LOOKUP];
}

/**
 * relay_metrics_port() - TCP port of metrics, as the kernel chose it
 * @relay: the relay
 */
int
relay_metrics_port(const struct relay *relay)
{
    return relay->ports[LISTEN_METRICS];
}
