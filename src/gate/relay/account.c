/**
 * DOC: Account of the memory that callers' connections take.
 *
 * A connection's charge covers all that is held for it: its request, read or
 * reserved, bytes that wait to be written to the caller and to the target,
 * and what was read of the response. The account is their sum. The decisions
 * are in gate/admit/memory.c.
 */
#include <glib.h>
#include <http_parser.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/choose/dat.h"
#include "gate/admit/dat.h"
#include "gate/admit/fns.h"
#include "gate/relay/dat.h"
#include "gate/team/dat.h"
#include "gate/relay/internal.h"

enum {
    /* Slots in the tables, parsers and small blocks of a connection with a
     * request. */
    CONNECTION_BYTES = 8 * 1024,
};

void
account_init(struct relay *relay)
{
    relay->memory.bound = memory_bound(relay->settings->memory_mb);
    relay->memory.paused = g_array_new(FALSE, FALSE, sizeof(struct handle));
}

void
account_clear(struct relay *relay)
{
    g_array_free(relay->memory.paused, TRUE);
}

static size_t
request_bytes(const struct client *client)
{
    return client->head.text->len + client->body->len;
}

static size_t
exchange_bytes(const struct relay *relay, const struct exchange *exchange)
{
    const struct upstream *upstream =
        table_get(&relay->upstreams, exchange->upstream);
    size_t bytes = g_bytes_get_size(exchange->body) +
                   exchange->header_fields->len + exchange->answer.body->len +
                   exchange->answer.scan.room;

    if (exchange->events.partial != NULL) {
        bytes += exchange->events.partial->len;
    }
    return bytes + (upstream != NULL ? upstream->output.held : 0);
}

static size_t
charge_of(const struct relay *relay, const struct client *client)
{
    const struct exchange *exchange =
        table_get(&relay->exchanges, client->exchange);
    size_t bytes = CONNECTION_BYTES + client->pending->len +
                   client->output.held +
                   MAX(request_bytes(client), client->memory.reserved);

    if (client->memory.paused_ms != 0) {
        bytes += PAUSED_WINDOW_BYTES;
    }
    return bytes + (exchange != NULL ? exchange_bytes(relay, exchange) : 0);
}

static void
set_charge(struct relay *relay, struct client *client, size_t charge)
{
    struct memory_account *account = &relay->memory;

    if (charge < client->memory.charge) {
        account->room_freed = true;
    }
    account->charged += charge - client->memory.charge;
    client->memory.charge = charge;
}

/**
 * account_settle() - bring the charge of a connection up to date
 * @relay: the relay
 * @client: the connection
 */
void
account_settle(struct relay *relay, struct client *client)
{
    /* What the caller has taken since need not be kept for it again. */
    client->memory.read_on =
        MIN(client->memory.read_on, client->output.waiting);
    set_charge(relay, client, charge_of(relay, client));
}

/**
 * account_settle_upstream() - the same, after a part of a response was read
 * @relay: the relay
 * @upstream: connection to the target
 */
void
account_settle_upstream(struct relay *relay, const struct upstream *upstream)
{
    const struct exchange *exchange =
        table_get(&relay->exchanges, upstream->exchange);
    struct client *client =
        exchange != NULL ? table_get(&relay->clients, exchange->client) : NULL;

    if (client != NULL) {
        account_settle(relay, client);
        client_update_pause(relay, client);
    }
}

static void
end_pause(struct relay *relay, struct client *client, int64_t now_ms)
{
    GArray *paused = relay->memory.paused;
    int64_t paused_ms = client->memory.paused_ms;

    if (paused_ms == 0) {
        return;
    }
    for (guint i = 0; i < paused->len; i++) {
        if (g_array_index(paused, struct handle, i).index ==
            client->self.index) {
            g_array_remove_index(paused, i);
            break;
        }
    }
    client->memory.paused_ms = 0;
    /* The caller was kept from sending. */
    client->reading.start_ms += now_ms - paused_ms;
    if (client->reading.head_end_ms != 0) {
        client->reading.head_end_ms += now_ms - paused_ms;
    }
}

/**
 * account_remove() - take a connection that is closed from the account
 * @relay: the relay
 * @client: the connection
 */
void
account_remove(struct relay *relay, struct client *client)
{
    end_pause(relay, client, client->memory.paused_ms);
    set_charge(relay, client, 0);
}

/**
 * account_request_ended() - give back what was reserved for a request
 * @client: its connection
 */
void
account_request_ended(struct client *client)
{
    client->memory.reserved = 0;
}

/* What reading a response on adds to. */
static size_t
answer_bytes(const struct relay *relay, const struct client *client)
{
    const struct exchange *exchange =
        table_get(&relay->exchanges, client->exchange);
    size_t bytes = client->output.held;

    if (exchange == NULL) {
        return bytes;
    }
    bytes += exchange->answer.body->len + exchange->answer.scan.room;
    return exchange->events.partial != NULL
               ? bytes + exchange->events.partial->len
               : bytes;
}

/**
 * account_stops_answer() - whether to stop reading the response for a caller
 * @relay: the relay
 * @client: the caller
 */
bool
account_stops_answer(struct relay *relay, const struct client *client)
{
    struct memory_account *account = &relay->memory;
    struct memory_use use = {
        .bound = account->bound,
        .charged = account->charged,
        .connections = table_count(&relay->clients),
        .held = answer_bytes(relay, client),
        .waiting = client->output.waiting,
        .waiting_max = OUTPUT_PAUSE_BYTES,
        .read_on = client->memory.read_on,
    };
    bool stops = memory_stops_answer(&use);

    account->answers_waiting = account->answers_waiting || stops;
    if (stops && memory_is_tight(account->charged, account->bound)) {
        account->answers_stopped = true;
    }
    return stops;
}

/**
 * account_buffered_max() - most bytes of a body that are kept before the
 * response is passed on
 * @relay: the relay
 */
size_t
account_buffered_max(const struct relay *relay)
{
    return MIN(memory_share(relay->memory.bound, table_count(&relay->clients)),
               (size_t)BUFFERED_BODY_MAX_BYTES);
}

static int64_t
caller_deadline_ms(struct relay *relay, const struct client *client)
{
    struct request_meta meta = {.deadline_ms = -1, .last_event_id = -1};

    for (int i = 0; i < head_field_count(&client->head); i++) {
        relay->dialect->ops->read_request_field(
            relay->dialect, head_field_name(&client->head, i),
            head_field_value(&client->head, i), &meta);
    }
    return meta.deadline_ms;
}

static void
refuse_request(struct relay *relay, struct client *client, int64_t now_ms)
{
    struct memory_account *account = &relay->memory;
    double spread = (double)(relay_random(relay) >> 11) / (double)(1LL << 53);

    if (!account->refusing) {
        account->refusing = true;
        account->refused = 0;
        log_line(LOG_PRI_WARNING, "relay",
                 "event=memory_refusing charged=%zu bound=%zu connections=%u "
                 "paused=%u",
                 account->charged, account->bound,
                 table_count(&relay->clients), account->paused->len);
    }
    account->refused++;
    account->last_refusal_ms = now_ms;
    counter_add(CTR_MEMORY_REFUSED, 1);
    end_pause(relay, client, now_ms);
    client->memory.reserved = 0;
    if (!client->request_complete) {
        client_discard_rest(client, now_ms);
    }
    refuse_for_memory(
        relay, client,
        memory_retry_ms(caller_deadline_ms(relay, client), spread), now_ms);
}

static struct memory_facts
request_facts(const struct relay *relay, const struct client *client)
{
    int64_t announced = client_announced_bytes(client);

    return (struct memory_facts){
        .bound = relay->memory.bound,
        .others = relay->memory.charged - client->memory.charge,
        .held = request_bytes(client),
        .expected = memory_expected_bytes(
            request_bytes(client),
            announced < 0 ? -1 : announced + (int64_t)client->head.text->len),
        .paused_ms = client->memory.paused_ms,
        .pause_max_ms = client->memory.pause_max_ms,
    };
}

/**
 * account_admits() - whether there is memory for a request that was read
 * @relay: the relay
 * @client: its connection
 * @now_ms: current time
 *
 * Return: false when the request was refused.
 */
bool
account_admits(struct relay *relay, struct client *client, int64_t now_ms)
{
    struct memory_facts facts;

    end_pause(relay, client, now_ms);
    if (client->memory.reserved >= request_bytes(client)) {
        client->memory.reserved = 0; /* the exchange holds the body now */
        return true;
    }
    facts = request_facts(relay, client);
    facts.expected = facts.held;
    if (memory_decide(&facts, now_ms) == MEMORY_READ) {
        return true;
    }
    refuse_request(relay, client, now_ms);
    return false;
}

static void
pause_request(struct relay *relay, struct client *client, int64_t now_ms)
{
    if (client->memory.paused_ms == 0) {
        counter_add(CTR_MEMORY_PAUSED, 1);
        client->memory.paused_ms = MAX(now_ms, 1);
        client->memory.pause_max_ms =
            memory_pause_max_ms(caller_deadline_ms(relay, client));
        g_array_append_val(relay->memory.paused, client->self);
    }
}

static bool
is_being_read(const struct client *client)
{
    return client->request_started && !client->request_complete &&
           !client->closing && client->exchange.generation == 0;
}

/* The next read can't exceed what is reserved. */
static bool
has_room(const struct client *client)
{
    size_t next = client_announced_bytes(client) < 0 ? READ_BUFFER_BYTES : 0;

    return client->memory.reserved > 0 &&
           request_bytes(client) + next <= client->memory.reserved;
}

/* A body whose length is known gets its room at once: growing step by step
 * would copy it, and leave holes in the heap. */
static void
reserve(struct client *client, size_t expected)
{
    int64_t announced = client_announced_bytes(client);
    guint held = client->body->len;

    client->memory.reserved = expected;
    if (announced > held && announced <= G_MAXINT) {
        g_byte_array_set_size(client->body, (guint)announced);
        g_byte_array_set_size(client->body, held);
    }
}

/**
 * account_read_on() - decide whether the rest of a request is read
 * @relay: the relay
 * @client: its connection; closing when the request was refused
 * @now_ms: current time
 */
void
account_read_on(struct relay *relay, struct client *client, int64_t now_ms)
{
    struct memory_facts facts;

    if (!is_being_read(client)) {
        end_pause(relay, client, now_ms);
        return;
    }
    if (has_room(client)) {
        return;
    }
    facts = request_facts(relay, client);
    switch (memory_decide(&facts, now_ms)) {
    case MEMORY_READ:
        reserve(client, facts.expected);
        end_pause(relay, client, now_ms);
        break;
    case MEMORY_PAUSE:
        pause_request(relay, client, now_ms);
        break;
    case MEMORY_REFUSE:
        refuse_request(relay, client, now_ms);
        break;
    }
    account_settle(relay, client);
}

static void
resume_requests(struct relay *relay, int64_t now_ms)
{
    GArray *paused = relay->memory.paused;
    guint i = 0;

    while (i < paused->len) {
        struct handle handle = g_array_index(paused, struct handle, i);
        struct client *client = table_get(&relay->clients, handle);

        client_resume(relay, client, now_ms);
        if (i < paused->len &&
            g_array_index(paused, struct handle, i).index == handle.index) {
            i++;
        }
    }
}

static void
resume_answers(struct relay *relay)
{
    const struct client *client;
    uint32_t cursor = 0;

    while ((client = table_next(&relay->clients, &cursor, NULL)) != NULL) {
        client_update_pause(relay, client);
    }
}

static bool
is_left_unread(const struct relay *relay, const struct client *client)
{
    const struct exchange *exchange =
        table_get(&relay->exchanges, client->exchange);
    const struct upstream *upstream =
        exchange != NULL ? table_get(&relay->upstreams, exchange->upstream)
                         : NULL;

    return upstream != NULL && upstream->paused;
}

static void
read_on(struct relay *relay)
{
    struct memory_account *account = &relay->memory;
    struct client *client;
    uint32_t cursor = 0;

    while ((client = table_next(&relay->clients, &cursor, NULL)) != NULL) {
        if (!is_left_unread(relay, client)) {
            continue;
        }
        if (!memory_is_tight(account->charged, account->bound)) {
            client->memory.read_on += READ_ON_BYTES;
            counter_add(CTR_ANSWER_READ_ON, 1);
        }
        client_update_pause(relay, client);
    }
}

/* Keeps targets from ending responses that are left unread for long. */
static void
read_on_when_due(struct relay *relay, int64_t now_ms)
{
    struct memory_account *account = &relay->memory;

    if (account->read_on_ms != 0 && now_ms >= account->read_on_ms) {
        account->read_on_ms = 0;
        account->answers_waiting = false;
        read_on(relay);
    }
    if (account->answers_waiting && account->read_on_ms == 0) {
        account->read_on_ms = now_ms + READ_ON_MS;
    }
}

/**
 * account_work() - go on with what was held up for lack of memory
 * @relay: the relay
 * @now_ms: current time
 */
void
account_work(struct relay *relay, int64_t now_ms)
{
    struct memory_account *account = &relay->memory;

    if (account->room_freed) {
        account->room_freed = false;
        resume_requests(relay, now_ms);
    }
    if (account->answers_stopped &&
        !memory_is_tight(account->charged, account->bound)) {
        account->answers_stopped = false;
        resume_answers(relay);
    }
    read_on_when_due(relay, now_ms);
    if (account->refusing &&
        memory_refusing_ended(account->last_refusal_ms, now_ms)) {
        account->refusing = false;
        log_line(LOG_PRI_WARNING, "relay",
                 "event=memory_refusing_ended refused=%d charged=%zu "
                 "bound=%zu",
                 account->refused, account->charged, account->bound);
    }
}
