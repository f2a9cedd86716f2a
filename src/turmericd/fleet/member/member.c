/**
 * DOC: Membership duty, which keeps the list of instances.
 *
 * The protocol runs in the duty's thread. After each round the list is
 * published under a mutex, so that other threads can rank members without
 * waiting for the duty.
 */
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "turmericd/fleet/member/dat.h"
#include "turmericd/fleet/member/fns.h"

enum {
    RING_MESSAGES = 1024,
    /* Messages handled before the timers are checked again, so that a flood
     * of messages can't delay this instance's own probes. */
    BATCH_MESSAGES = 64,
};

enum member_message_kind {
    MESSAGE_ENVELOPE,
    MESSAGE_LISTED,
    MESSAGE_CONNECTION_BROKEN,
    MESSAGE_WAKE
};

/* Message to the duty, which owns the envelope. */
struct member_message {
    enum member_message_kind kind;
    Turmeric__Envelope *envelope;
    struct member_info info;
};

/* An instance as other threads see it. */
struct published_member {
    struct member_info info;
    bool live;
};

struct member {
    struct duty duty;
    struct swim_port swim_port;
    struct member_port *port;
    struct ring ring;
    struct swim swim;
    uint64_t self_id;
    char data_centre[NAME_MAX_BYTES];
    atomic_bool stopping;
    atomic_bool leaving;
    _Atomic int64_t revision;
    pthread_mutex_t lock;
    struct published_member published[MEMBERS_MAX];
    int published_count;
};

static struct member *
member_from_port(struct swim_port *port)
{
    return (struct member *)((char *)port -
                             offsetof(struct member, swim_port));
}

/* Argument of send_envelope(). */
struct send_context {
    struct member *member;
    uint64_t to;
};

static void
send_envelope(Turmeric__Envelope *envelope, void *argument)
{
    struct send_context *context = argument;
    struct member_port *port = context->member->port;

    port->ops->send(port, context->to, envelope);
}

static void
port_send(struct swim_port *port, uint64_t to,
          const struct swim_message *message)
{
    struct send_context context = {member_from_port(port), to};

    swim_encode(message, send_envelope, &context);
}

static void
port_set_address(struct swim_port *port, uint64_t id, const char *peer_address)
{
    struct member *member = member_from_port(port);

    member->port->ops->set_address(member->port, id, peer_address);
}

static void
port_drop_peer(struct swim_port *port, uint64_t id)
{
    struct member *member = member_from_port(port);

    member->port->ops->drop_peer(member->port, id);
}

static const struct swim_port_ops swim_ops = {port_send, port_set_address,
                                              port_drop_peer};

static const char *
state_name(enum member_state state)
{
    static const char *const names[] = {"alive", "suspect", "leaving", "dead"};

    return names[state];
}

/* Called with the lock held. */
static struct published_member *
published_find(struct member *member, uint64_t id)
{
    for (int i = 0; i < member->published_count; i++) {
        if (member->published[i].info.id == id) {
            return &member->published[i];
        }
    }
    return NULL;
}

static void
log_change(const struct published_member *before,
           const struct published_member *now)
{
    const struct member_info *info = &now->info;

    if (before != NULL && before->info.state == info->state &&
        before->info.started_ms == info->started_ms) {
        return;
    }
    log_line(LOG_PRI_INFO, "member",
             "event=member member=%s state=%s before=%s start=%llu "
             "refutation=%u",
             info->name, state_name(info->state),
             before == NULL ? "unknown" : state_name(before->info.state),
             (unsigned long long)info->started_ms, info->refutation);
}

static void
fill_published(struct member *member, const struct member_entry *entry,
               struct published_member *published)
{
    bool own = entry->info.id == member->self_id;
    bool leaving = entry->leaving || (own && atomic_load(&member->leaving));

    published->info = entry->info;
    published->live = member_entry_is_active(entry) && !leaving;
    if (leaving && entry->info.state != MEMBER_DEAD) {
        published->info.state = MEMBER_LEAVING;
    }
    if (own) {
        published->info.revision = atomic_load(&member->revision);
    }
}

/* Logs new states and processes only: the revisions change with every probe.
 */
static void
publish(struct member *member)
{
    struct member_table *members = &member->swim.members;
    struct published_member *list = malloc(sizeof(member->published));
    const struct member_entry *entry;
    uint32_t cursor = 0;
    int count = 0;

    if (list == NULL) {
        return;
    }
    pthread_mutex_lock(&member->lock);
    while ((entry = table_next(&members->entries, &cursor, NULL)) != NULL) {
        if (!entry->candidate) {
            fill_published(member, entry, &list[count]);
            count++;
        }
    }
    for (int i = 0; i < count && !members->published; i++) {
        log_change(published_find(member, list[i].info.id), &list[i]);
    }
    memcpy(member->published, list, (size_t)count * sizeof(*list));
    member->published_count = count;
    pthread_mutex_unlock(&member->lock);
    members->published = true;
    free(list);
}

static void
handle_message(struct member *member, const struct member_message *message)
{
    struct swim_message swim_message;
    struct err err = {0};

    if (message->kind == MESSAGE_LISTED) {
        swim_add_listed(&member->swim, &message->info, clock_now_ms());
    }
    if (message->kind == MESSAGE_CONNECTION_BROKEN) {
        swim_connection_broken(&member->swim, message->info.id,
                               clock_now_ms());
    }
    if (message->kind != MESSAGE_ENVELOPE) {
        return;
    }
    if (swim_decode(message->envelope, &swim_message, &err)) {
        swim_receive(&member->swim, message->envelope->from, &swim_message,
                     clock_now_ms());
    }
    else {
        refusal_add(err.kind);
    }
    turmeric__envelope__free_unpacked(message->envelope, NULL);
}

static void
handle_batch(struct member *member, int64_t wait_ms)
{
    struct member_message message;

    for (int i = 0; i < BATCH_MESSAGES; i++) {
        if (ring_pop(&member->ring, &message, i == 0 ? wait_ms : 0) !=
            RING_OK) {
            return;
        }
        handle_message(member, &message);
    }
}

static bool
member_run(struct duty *duty, struct err *err)
{
    struct member *member = (struct member *)duty;
    int64_t next_ms = 0;

    (void)err;
    while (!atomic_load(&member->stopping)) {
        int64_t now_ms = clock_now_ms();

        handle_batch(member, next_ms > now_ms ? next_ms - now_ms : 0);
        member->swim.revision = atomic_load(&member->revision);
        if (atomic_load(&member->leaving)) {
            swim_leave(&member->swim);
        }
        next_ms = swim_tick(&member->swim, clock_now_ms());
        publish(member);
    }
    return true;
}

static void
member_stop(struct duty *duty)
{
    struct member *member = (struct member *)duty;

    atomic_store(&member->stopping, true);
    ring_close(&member->ring);
}

static const struct duty_ops member_duty_ops = {member_run, member_stop};

/**
 * member_new() - create the duty; its list holds this instance at once
 * @self: this instance
 * @seed: seed of the random numbers
 * @port: peer transport
 * @err: filled in on failure
 */
struct member *
member_new(const struct member_info *self, uint64_t seed,
           struct member_port *port, struct err *err)
{
    struct member *member = calloc(1, sizeof(*member));

    if (member == NULL) {
        err_set(err, ERR_NO_MEMORY, "member duty");
        return NULL;
    }
    if (!ring_init(&member->ring, RING_MESSAGES, sizeof(struct member_message),
                   err)) {
        free(member);
        return NULL;
    }
    member->swim_port.ops = &swim_ops;
    if (!swim_init(&member->swim, self, seed, &member->swim_port, err)) {
        ring_free(&member->ring);
        free(member);
        return NULL;
    }
    member->duty.ops = &member_duty_ops;
    member->duty.name = "member";
    member->port = port;
    member->self_id = self->id;
    memcpy(member->data_centre, self->data_centre,
           sizeof(member->data_centre));
    pthread_mutex_init(&member->lock, NULL);
    publish(member);
    return member;
}

/**
 * member_free() - release a stopped duty
 * @member: the duty; may be NULL
 */
void
member_free(struct member *member)
{
    struct member_message message;

    if (member == NULL) {
        return;
    }
    while (ring_pop(&member->ring, &message, 0) == RING_OK) {
        if (message.kind == MESSAGE_ENVELOPE) {
            turmeric__envelope__free_unpacked(message.envelope, NULL);
        }
    }
    ring_free(&member->ring);
    swim_free(&member->swim);
    pthread_mutex_destroy(&member->lock);
    free(member);
}

/**
 * member_duty() - the duty, for a supervisor to run
 * @member: the duty
 */
struct duty *
member_duty(struct member *member)
{
    return &member->duty;
}

/**
 * member_post_envelope() - queue a received Hello, Ping, Ack or PingReq
 * @member: the duty
 * @envelope: owned by the duty when the call returns true
 * @err: filled in on failure
 *
 * Return: false with ERR_RING_FULL or ERR_STOPPED.
 */
bool
member_post_envelope(struct member *member, Turmeric__Envelope *envelope,
                     struct err *err)
{
    struct member_message message = {.kind = MESSAGE_ENVELOPE,
                                     .envelope = envelope};

    return ring_push(&member->ring, &message, err);
}

/**
 * member_post_listed() - report an instance that the instance list or
 * the settings name
 * @member: the duty
 * @info: its record
 * @err: filled in on failure
 *
 * Return: false with ERR_RING_FULL or ERR_STOPPED.
 */
bool
member_post_listed(struct member *member, const struct member_info *info,
                   struct err *err)
{
    struct member_message message = {.kind = MESSAGE_LISTED, .info = *info};

    return ring_push(&member->ring, &message, err);
}

/**
 * member_post_connection_broken() - report an instance that has closed or
 * refused a connection
 * @member: the duty
 * @id: the instance
 * @err: filled in on failure
 *
 * Return: false with ERR_RING_FULL or ERR_STOPPED.
 */
bool
member_post_connection_broken(struct member *member, uint64_t id,
                              struct err *err)
{
    struct member_message message = {.kind = MESSAGE_CONNECTION_BROKEN,
                                     .info.id = id};

    return ring_push(&member->ring, &message, err);
}

/**
 * member_set_revision() - set the configuration revision that Pings and
 * Acks carry
 * @member: the duty
 * @revision: revision in force at this instance
 */
void
member_set_revision(struct member *member, int64_t revision)
{
    atomic_store(&member->revision, revision);
}

/**
 * member_announce_leaving() - announce the graceful shutdown of this
 * instance
 * @member: the duty
 *
 * The functions that list and rank live members leave this instance out at
 * once; the other instances learn it from the duty's messages.
 */
void
member_announce_leaving(struct member *member)
{
    struct member_message message = {.kind = MESSAGE_WAKE};
    struct published_member *own;

    atomic_store(&member->leaving, true);
    pthread_mutex_lock(&member->lock);
    own = published_find(member, member->self_id);
    if (own != NULL) {
        own->live = false;
        own->info.state = MEMBER_LEAVING;
    }
    pthread_mutex_unlock(&member->lock);
    /* If the ring is full, the messages in it wake the duty. */
    ring_push(&member->ring, &message, NULL);
}

/**
 * member_self_id() - id of this instance
 * @member: the duty
 */
uint64_t
member_self_id(const struct member *member)
{
    return member->self_id;
}

/* Called with the lock held. */
static int
collect_live_ids(const struct member *member, const char *data_centre,
                 uint64_t *ids, int max)
{
    bool all = data_centre == NULL || data_centre[0] == '\0';
    int count = 0;

    for (int i = 0; i < member->published_count && count < max; i++) {
        const struct published_member *published = &member->published[i];

        if (published->live &&
            (all || strcmp(published->info.data_centre, data_centre) == 0)) {
            ids[count++] = published->info.id;
        }
    }
    return count;
}

/**
 * member_live_ids() - ids of the live members
 * @member: the duty
 * @data_centre: only those in this data centre; NULL or empty for all
 * @ids: receives the ids
 * @max: size of @ids
 *
 * Return: number of ids.
 */
int
member_live_ids(struct member *member, const char *data_centre, uint64_t *ids,
                int max)
{
    int count;

    pthread_mutex_lock(&member->lock);
    count = collect_live_ids(member, data_centre, ids, max);
    pthread_mutex_unlock(&member->lock);
    return count;
}

/**
 * member_owner() - first live member in the rendezvous order of a key
 * @member: the duty
 * @key: the key
 *
 * Return: id of the member; this instance when no member is live, because the
 * last instance to leave still has to finish its own work.
 */
uint64_t
member_owner(struct member *member, uint64_t key)
{
    uint64_t ids[MEMBERS_MAX];
    int count = member_live_ids(member, NULL, ids, MEMBERS_MAX);
    int first = rendezvous_pick(key, ids, count);

    return first < 0 ? member->self_id : ids[first];
}

static bool
contains(const uint64_t *ids, int count, uint64_t id)
{
    for (int i = 0; i < count; i++) {
        if (ids[i] == id) {
            return true;
        }
    }
    return false;
}

/**
 * member_rank() - rank of this instance in the rendezvous order of a key
 * @member: the duty
 * @key: the key
 * @data_centre: rank among the live members of this data centre; NULL or
 *               empty for all
 *
 * Return: number of live members before this one, or -1 when this instance is
 * not among them.
 */
int
member_rank(struct member *member, uint64_t key, const char *data_centre)
{
    uint64_t ids[MEMBERS_MAX];
    bool all = data_centre == NULL || data_centre[0] == '\0';
    int count;

    if (!all && strcmp(data_centre, member->data_centre) != 0) {
        return -1;
    }
    count = member_live_ids(member, data_centre, ids, MEMBERS_MAX);
    if (!contains(ids, count, member->self_id)) {
        return -1;
    }
    return rendezvous_rank(key, ids, count, member->self_id);
}

/**
 * member_list() - all instances known, dead ones and this one included
 * @member: the duty
 * @infos: receives the list
 * @max: size of @infos
 *
 * Return: number of instances.
 */
int
member_list(struct member *member, struct member_info *infos, int max)
{
    int count;

    pthread_mutex_lock(&member->lock);
    count = member->published_count < max ? member->published_count : max;
    for (int i = 0; i < count; i++) {
        infos[i] = member->published[i].info;
    }
    pthread_mutex_unlock(&member->lock);
    return count;
}
