#ifndef MEMBER_SIM_H
#define MEMBER_SIM_H

/* Simulates a fleet in one thread, with virtual time in steps of 1 ms and a
 * network with seeded delays and losses. Messages are encoded and decoded as
 * on the wire, and a member is reachable only while its address is set. */

enum {
    SIM_WHEEL_SLOTS = 4096,
    SIM_DELAY_MIN_MS = 1,
    SIM_DELAY_MAX_MS = 5,
    /* Version and sender in the envelope, and the length of the frame. */
    SIM_FRAME_BYTES = 15,
};

enum sim_state { SIM_UP, SIM_PAUSED, SIM_DOWN };

struct sim;

struct sim_node {
    struct swim_port port;
    struct sim *sim;
    struct swim swim;
    struct member_info info;
    int index;
    int partition_side;
    enum sim_state state;
    int64_t next_tick_ms;
    bool *reachable;
    int64_t *last_arrival_ms;
    uint64_t bytes_out;
    uint64_t messages_out;
};

struct sim_event {
    struct sim_event *next;
    int64_t at_ms;
    int node;
    uint64_t from;
    size_t count;
    uint8_t bytes[];
};

struct sim {
    int count;
    struct sim_node *nodes;
    GHashTable *by_id;
    GRand *random;
    double loss;
    bool partitioned;
    int64_t now_ms;
    struct sim_event *wheel[SIM_WHEEL_SLOTS];
    struct sim_event *tails[SIM_WHEEL_SLOTS];
};

static inline struct sim_event *
sim_event_new(struct sim *sim, int64_t at_ms, int node, size_t count)
{
    struct sim_event *event = g_malloc0(sizeof(*event) + count);
    int slot = (int)(at_ms % SIM_WHEEL_SLOTS);

    event->at_ms = at_ms;
    event->node = node;
    event->count = count;
    if (sim->wheel[slot] == NULL) {
        sim->wheel[slot] = event;
    }
    else {
        sim->tails[slot]->next = event;
    }
    sim->tails[slot] = event;
    return event;
}

static inline struct sim_node *
sim_node_by_id(struct sim *sim, uint64_t id)
{
    return g_hash_table_lookup(sim->by_id, &id);
}

/* Argument of sim_transmit(). */
struct sim_send_context {
    struct sim_node *from;
    struct sim_node *to;
};

static inline void
sim_transmit(Turmeric__Envelope *envelope, void *argument)
{
    struct sim_send_context *context = argument;
    struct sim_node *from = context->from;
    struct sim *sim = from->sim;
    size_t count = turmeric__envelope__get_packed_size(envelope);
    struct sim_event *event;
    int64_t delay_ms;
    int64_t arrival_ms;

    from->bytes_out += count + SIM_FRAME_BYTES;
    from->messages_out++;
    delay_ms =
        g_rand_int_range(sim->random, SIM_DELAY_MIN_MS, SIM_DELAY_MAX_MS + 1);
    if (g_rand_double(sim->random) < sim->loss ||
        (sim->partitioned &&
         from->partition_side != context->to->partition_side)) {
        return;
    }
    /* Frames of one connection arrive in order. */
    arrival_ms =
        MAX(sim->now_ms + delay_ms, from->last_arrival_ms[context->to->index]);
    from->last_arrival_ms[context->to->index] = arrival_ms;
    event = sim_event_new(sim, arrival_ms, context->to->index, count);
    event->from = from->info.id;
    turmeric__envelope__pack(envelope, event->bytes);
}

static inline void
sim_send(struct swim_port *port, uint64_t member_id,
         const struct swim_message *message)
{
    struct sim_node *from = (struct sim_node *)port;
    struct sim_node *to = sim_node_by_id(from->sim, member_id);
    struct sim_send_context context = {from, to};

    if (to != NULL && from->reachable[to->index]) {
        swim_encode(message, sim_transmit, &context);
    }
}

static inline void
sim_set_address(struct swim_port *port, uint64_t member_id,
                const char *peer_address)
{
    struct sim_node *from = (struct sim_node *)port;
    struct sim_node *to = sim_node_by_id(from->sim, member_id);

    g_assert_cmpstr(peer_address, ==, to->info.peer_address);
    from->reachable[to->index] = true;
}

static inline void
sim_drop_peer(struct swim_port *port, uint64_t member_id)
{
    struct sim_node *from = (struct sim_node *)port;

    from->reachable[sim_node_by_id(from->sim, member_id)->index] = false;
}

static const struct swim_port_ops sim_port_ops = {sim_send, sim_set_address,
                                                  sim_drop_peer};

static inline void
sim_schedule(struct sim_node *node, int64_t at_ms)
{
    if (at_ms <= node->sim->now_ms) {
        at_ms = node->sim->now_ms + 1;
    }
    if (at_ms != node->next_tick_ms) {
        node->next_tick_ms = at_ms;
        sim_event_new(node->sim, at_ms, node->index, 0);
    }
}

static inline void
sim_node_tick(struct sim_node *node)
{
    sim_schedule(node, swim_tick(&node->swim, node->sim->now_ms));
}

static inline void
sim_deliver(struct sim_node *node, const struct sim_event *event)
{
    struct swim_message message;
    struct err err = {0};
    Turmeric__Envelope *envelope =
        turmeric__envelope__unpack(NULL, event->count, event->bytes);

    g_assert_true(swim_decode(envelope, &message, &err));
    turmeric__envelope__free_unpacked(envelope, NULL);
    swim_receive(&node->swim, event->from, &message, node->sim->now_ms);
    sim_node_tick(node);
}

static inline void
sim_event(struct sim *sim, struct sim_event *event)
{
    struct sim_node *node = &sim->nodes[event->node];

    if (node->state != SIM_UP) {
        return;
    }
    if (event->count > 0) {
        sim_deliver(node, event);
    }
    else if (event->at_ms == node->next_tick_ms) {
        sim_node_tick(node);
    }
}

/* Advances the time by 1 ms. */
static inline void
sim_step(struct sim *sim)
{
    int slot;
    struct sim_event *event;

    sim->now_ms++;
    slot = (int)(sim->now_ms % SIM_WHEEL_SLOTS);
    event = sim->wheel[slot];
    sim->wheel[slot] = NULL;
    while (event != NULL) {
        struct sim_event *next = event->next;

        if (event->at_ms == sim->now_ms) {
            sim_event(sim, event);
        }
        g_free(event);
        event = next;
    }
}

static inline void
sim_run(struct sim *sim, int64_t duration_ms)
{
    int64_t end_ms = sim->now_ms + duration_ms;

    while (sim->now_ms < end_ms) {
        sim_step(sim);
    }
}

static inline void
sim_list_instances(struct sim *sim, struct sim_node *node, bool all)
{
    for (int i = 0; i < (all ? sim->count : 1); i++) {
        swim_add_listed(&node->swim, &sim->nodes[i].info, sim->now_ms);
    }
}

static inline void
sim_node_start(struct sim *sim, struct sim_node *node, uint64_t started_ms,
               bool list_all)
{
    node->info.started_ms = started_ms;
    node->state = SIM_UP;
    memset(node->reachable, 0, (size_t)sim->count * sizeof(bool));
    g_assert_true(swim_init(&node->swim, &node->info, g_rand_int(sim->random),
                            &node->port, NULL));
    sim_list_instances(sim, node, list_all);
    /* The probe intervals of the instances don't start at the same time. */
    sim_schedule(node,
                 sim->now_ms + 1 + g_rand_int_range(sim->random, 0, 1000));
}

static inline void
sim_node_crash(struct sim_node *node)
{
    node->state = SIM_DOWN;
    swim_free(&node->swim);
}

/* Closes the connections of a crashed process; they stay open when a whole
 * machine fails. */
static inline void
sim_node_close_connections(struct sim *sim, const struct sim_node *crashed)
{
    for (int i = 0; i < sim->count; i++) {
        struct sim_node *node = &sim->nodes[i];

        if (node->state == SIM_UP && node->reachable[crashed->index]) {
            swim_connection_broken(&node->swim, crashed->info.id, sim->now_ms);
            sim_node_tick(node);
        }
    }
}

static inline void
sim_node_resume(struct sim_node *node)
{
    node->state = SIM_UP;
    node->next_tick_ms = 0;
    sim_schedule(node, node->sim->now_ms + 1);
}

static inline void
sim_node_init(struct sim *sim, int index)
{
    struct sim_node *node = &sim->nodes[index];
    struct member_info *info = &node->info;

    node->port.ops = &sim_port_ops;
    node->sim = sim;
    node->index = index;
    node->partition_side = index % 2;
    node->reachable = g_new0(bool, sim->count);
    node->last_arrival_ms = g_new0(int64_t, sim->count);
    snprintf(info->name, sizeof(info->name), "entry-%03d", index);
    snprintf(info->data_centre, sizeof(info->data_centre), "dc-%02d",
             index % 17);
    snprintf(info->address, sizeof(info->address), "10.1.%d.%d:8080",
             index / 250, index % 250);
    snprintf(info->peer_address, sizeof(info->peer_address), "10.1.%d.%d:7000",
             index / 250, index % 250);
    info->id = hash_text(info->name);
    g_hash_table_insert(sim->by_id, &info->id, node);
}

/* Starts all members. Each lists all others, or only the first one. */
static inline struct sim *
sim_new(int count, uint32_t seed, double loss, bool list_all)
{
    struct sim *sim = g_new0(struct sim, 1);

    sim->count = count;
    sim->nodes = g_new0(struct sim_node, count);
    sim->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
    sim->random = g_rand_new_with_seed(seed);
    sim->loss = loss;
    sim->now_ms = 1000;
    for (int i = 0; i < count; i++) {
        sim_node_init(sim, i);
    }
    for (int i = 0; i < count; i++) {
        sim_node_start(sim, &sim->nodes[i], 1000, list_all);
    }
    return sim;
}

static inline void
sim_free(struct sim *sim)
{
    for (int i = 0; i < SIM_WHEEL_SLOTS; i++) {
        while (sim->wheel[i] != NULL) {
            struct sim_event *event = sim->wheel[i];

            sim->wheel[i] = event->next;
            g_free(event);
        }
    }
    for (int i = 0; i < sim->count; i++) {
        if (sim->nodes[i].state != SIM_DOWN) {
            swim_free(&sim->nodes[i].swim);
        }
        g_free(sim->nodes[i].reachable);
        g_free(sim->nodes[i].last_arrival_ms);
    }
    g_hash_table_destroy(sim->by_id);
    g_rand_free(sim->random);
    g_free(sim->nodes);
    g_free(sim);
}

/* State of one member in the view of another; DEAD also without an entry or
 * for another process. */
static inline enum member_state
sim_view_of(struct sim_node *node, const struct sim_node *subject)
{
    const struct member_entry *entry =
        member_table_find(&node->swim.members, subject->info.id, NULL);

    if (entry == NULL || entry->candidate ||
        entry->info.started_ms != subject->info.started_ms) {
        return MEMBER_DEAD;
    }
    return member_entry_state(entry);
}

/* Number of running members, other than @subject, that see it in @state. */
static inline int
sim_count_views(struct sim *sim, const struct sim_node *subject,
                enum member_state state)
{
    int count = 0;

    for (int i = 0; i < sim->count; i++) {
        struct sim_node *node = &sim->nodes[i];

        if (node != subject && node->state == SIM_UP &&
            sim_view_of(node, subject) == state) {
            count++;
        }
    }
    return count;
}

static inline int
sim_count_running(const struct sim *sim)
{
    int count = 0;

    for (int i = 0; i < sim->count; i++) {
        count += sim->nodes[i].state == SIM_UP;
    }
    return count;
}

/* Whether all running members see each other as alive. */
static inline bool
sim_converged(struct sim *sim)
{
    int running = sim_count_running(sim);

    for (int i = 0; i < sim->count; i++) {
        const struct sim_node *node = &sim->nodes[i];

        if (node->state == SIM_UP &&
            sim_count_views(sim, node, MEMBER_ALIVE) != running - 1) {
            return false;
        }
    }
    return true;
}

/* Runs until the fleet has converged. Returns the time taken in ms, or -1 at
 * the limit. */
static inline int64_t
sim_converge(struct sim *sim, int64_t limit_ms)
{
    int64_t start_ms = sim->now_ms;

    while (sim->now_ms - start_ms < limit_ms) {
        if (sim_converged(sim)) {
            return sim->now_ms - start_ms;
        }
        sim_run(sim, 100);
    }
    return -1;
}

/* Runs until @count members see @subject in @state. Returns the time taken in
 * ms, or -1 at the limit. */
static inline int64_t
sim_run_until_seen(struct sim *sim, const struct sim_node *subject,
                   enum member_state state, int count, int64_t limit_ms)
{
    int64_t start_ms = sim->now_ms;

    while (sim->now_ms - start_ms < limit_ms) {
        sim_run(sim, 10);
        if (sim_count_views(sim, subject, state) >= count) {
            return sim->now_ms - start_ms;
        }
    }
    return -1;
}

#endif
