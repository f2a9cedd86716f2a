/**
 * DOC: Requests to the instance itself: readiness, address lookup, metrics,
 * where a request would go.
 */
#include <glib.h>
#include <http_parser.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/choose/dat.h"
#include "gate/admit/dat.h"
#include "gate/relay/dat.h"
#include "gate/team/dat.h"
#include "gate/relay/internal.h"
#include "gate/relay/explain.h"

enum {
    /* Callers use a stopped instance for at most this long. They ask four
     * times as often as with the longest TTL allowed. */
    ADDRESS_TTL_S = 2,
    ADDRESSES_MAX = 64,
    METRICS_MAX_BYTES = 64 * 1024,
};

static const char ROUTE_QUERY[] = "/route?";

static void
send_answer(struct relay *relay, struct client *client, int status,
            const char *type, const char *body, int64_t now_ms)
{
    char *text = g_strdup_printf(
        "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %zu\r\n\r\n%s",
        status, http_status_str((enum http_status)status), type, strlen(body),
        body);

    client_write(relay, client, text, strlen(text), now_ms);
    g_free(text);
    if (!client->keep_alive) {
        client->closing = true;
    }
}

static bool
is_ready(const struct relay *relay, int64_t now_ms)
{
    return relay->config != NULL && relay->targets_listed &&
           !relay->draining && team_accepts_keys(relay, now_ms);
}

/**
 * member_is_self() - whether an entry of the member list is of this instance
 * @relay: the relay
 * @member: the entry
 */
bool
member_is_self(const struct relay *relay, const struct gate_member *member)
{
    return strcmp(member->front_address, relay->settings->front_address) == 0;
}

/**
 * member_is_stopping() - whether an instance said in its last report that it
 * stops
 * @relay: the relay
 * @member: its entry in the member list, which may outlast that by seconds
 */
bool
member_is_stopping(const struct relay *relay, const struct gate_member *member)
{
    const struct peer_report *peer =
        g_hash_table_lookup(relay->peer_reports, &member->id);

    return peer != NULL && peer->report->stopping;
}

static void
add_members(const struct relay *relay, GPtrArray *list, bool stopping)
{
    for (guint i = 0; i < relay->members->len && list->len < ADDRESSES_MAX;
         i++) {
        struct gate_member *member =
            &g_array_index(relay->members, struct gate_member, i);

        if (!member_is_self(relay, member) &&
            member_is_stopping(relay, member) == stopping) {
            g_ptr_array_add(list, member->front_address);
        }
    }
}

static void
add_self(const struct relay *relay, GPtrArray *list)
{
    g_ptr_array_add(list, (void *)relay->settings->front_address);
}

/* Addresses for callers. Whether this instance is among them follows from its
 * own state, not from the member list. Instances that stop or don't accept
 * keys are named for want of others. */
static GPtrArray *
list_addresses(const struct relay *relay, int64_t now_ms)
{
    GPtrArray *list = g_ptr_array_new();

    if (!relay->draining && team_accepts_keys(relay, now_ms)) {
        add_self(relay, list);
    }
    add_members(relay, list, false);
    if (list->len > 0) {
        return list;
    }
    if (!relay->draining) {
        add_self(relay, list);
    }
    add_members(relay, list, true);
    return list;
}

static void
serve_lookup(struct relay *relay, struct client *client, int64_t now_ms)
{
    GPtrArray *list = list_addresses(relay, now_ms);
    int ttl_s = MIN(ADDRESS_TTL_S, relay->settings->limits.address_ttl_max_s);
    char *body;

    if (list->len == 0) {
        send_answer(relay, client, 503, "text/plain", "no instance is ready\n",
                    now_ms);
    }
    else {
        body = relay->dialect->ops->format_addresses(
            relay->dialect, (char *const *)list->pdata, (int)list->len, ttl_s);
        send_answer(relay, client, 200, "application/json", body, now_ms);
        g_free(body);
    }
    g_ptr_array_free(list, TRUE);
}

static void
serve_metrics(struct relay *relay, struct client *client, int64_t now_ms)
{
    char *text = g_malloc(METRICS_MAX_BYTES);

    size_t used = counters_format(text, METRICS_MAX_BYTES);

    if (used < METRICS_MAX_BYTES) {
        histograms_format(text + used, METRICS_MAX_BYTES - used);
    }
    send_answer(relay, client, 200, "text/plain; version=0.0.4", text, now_ms);
    g_free(text);
}

/* Nothing is counted or charged: the request is not sent. */
static void
serve_route(struct relay *relay, struct client *client, const char *text,
            int64_t now_ms)
{
    struct explain_query query;
    struct explanation explanation;
    struct err err = {0};
    char *body;

    if (explain_query_read(text, &query, &err)) {
        explain_request(relay, &query, now_ms, &explanation);
        body = explanation_format(&explanation);
        explanation_clear(&explanation);
        send_answer(relay, client, 200, "application/json", body, now_ms);
    }
    else {
        body = g_strdup_printf("%s\n", err.text);
        send_answer(relay, client, 400, "text/plain", body, now_ms);
    }
    g_free(body);
    explain_query_clear(&query);
}

/**
 * local_serve() - answer a request on a listener other than the front
 * @relay: the relay
 * @client: the connection, with a complete request
 * @now_ms: current time
 */
void
local_serve(struct relay *relay, struct client *client, int64_t now_ms)
{
    const char *path = head_start_text(&client->head);
    enum local_endpoint endpoint =
        relay->dialect->ops->find_local_endpoint(relay->dialect, path);

    if (client->listener == LISTEN_METRICS && strcmp(path, "/metrics") == 0) {
        serve_metrics(relay, client, now_ms);
    }
    else if (client->listener == LISTEN_METRICS &&
             client->parser.method == HTTP_GET &&
             g_str_has_prefix(path, ROUTE_QUERY)) {
        serve_route(relay, client, path + strlen(ROUTE_QUERY), now_ms);
    }
    else if (client->listener == LISTEN_READY && endpoint == LOCAL_READY) {
        send_answer(
            relay, client, is_ready(relay, now_ms) ? 200 : 503, "text/plain",
            is_ready(relay, now_ms) ? "ready\n" : "not ready\n", now_ms);
    }
    else if (client->listener == LISTEN_LOOKUP && endpoint == LOCAL_LOOKUP) {
        serve_lookup(relay, client, now_ms);
    }
    else {
        send_answer(relay, client, 404, "text/plain", "no such call\n",
                    now_ms);
    }
}
