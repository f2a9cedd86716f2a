#ifndef MEMBER_DAT_H
#define MEMBER_DAT_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum { MEMBERS_MAX = 512 };

enum member_state {
    MEMBER_ALIVE,
    MEMBER_SUSPECT,
    MEMBER_LEAVING,
    MEMBER_DEAD,
};

/**
 * struct member_info - an instance and its state
 * @id: hash_text() of @name
 * @name: unique name from the settings
 * @data_centre: data centre that the instance runs in
 * @address: HTTP address for callers
 * @peer_address: address for messages from other instances
 * @started_ms: wall time at which the process started; tells the processes of
 *              one name apart; the later one takes precedence
 * @refutation: incarnation number of SWIM; only the member itself raises it,
 *              to refute a suspicion
 * @state: state in this instance's view
 * @revision: configuration revision that the instance last reported
 */
struct member_info {
    uint64_t id;
    char name[NAME_MAX_BYTES];
    char data_centre[NAME_MAX_BYTES];
    char address[ADDRESS_MAX_BYTES];
    char peer_address[ADDRESS_MAX_BYTES];
    uint64_t started_ms;
    uint32_t refutation;
    enum member_state state;
    int64_t revision;
};

struct member_port;

/**
 * struct member_port_ops - peer transport used by the membership duty
 * @send: sends a message, which stays the caller's; returns false when it
 *        can't be sent
 * @set_address: sets the address of a member, by which messages reach it
 * @drop_peer: drops the address and the connection of a member
 */
struct member_port_ops {
    bool (*send)(struct member_port *port, uint64_t member_id,
                 Turmeric__Envelope *envelope);
    void (*set_address)(struct member_port *port, uint64_t member_id,
                        const char *peer_address);
    void (*drop_peer)(struct member_port *port, uint64_t member_id);
};

struct member_port {
    const struct member_port_ops *ops;
};

enum {
    SWIM_UPDATES_MAX = 8,
    SWIM_INDIRECT_PINGS_MAX = 32,
    /* A probe begins every 250 ms and takes up to 600 ms, so 3 overlap. At
     * least as many serve broken connections and suspicions to confirm. */
    SWIM_PROBES_MAX = 8,
};

/**
 * enum swim_message_kind - messages of the membership protocol
 * @SWIM_HELLO: introduces the sender, whose record is updates[0]
 * @SWIM_PING: asks for an Ack
 * @SWIM_ACK: answers a Ping, or a PingReq for another member
 * @SWIM_PING_REQ: asks the recipient to ping another member
 */
enum swim_message_kind { SWIM_HELLO, SWIM_PING, SWIM_ACK, SWIM_PING_REQ };

/**
 * struct swim_message - message of the membership protocol, independent of
 * its encoding
 * @kind: type of the message
 * @sequence: matches an Ack to its Ping; 0 when the sender awaits no Ack
 * @subject_id: member that an Ack speaks for, or that a PingReq asks to ping
 * @revision: configuration revision at the sender of a Ping, or at
 *            @subject_id in an Ack
 * @update_count: number of valid entries in @updates
 * @updates: states of members in the sender's view
 */
struct swim_message {
    enum swim_message_kind kind;
    uint64_t sequence;
    uint64_t subject_id;
    int64_t revision;
    int update_count;
    struct member_info updates[SWIM_UPDATES_MAX];
};

struct swim_port;

/**
 * struct swim_port_ops - effects of the membership protocol
 * @send: sends a message, which may be lost
 * @set_address: sets the address of a member, by which messages reach it
 * @drop_peer: drops the address and the connection of a member
 */
struct swim_port_ops {
    void (*send)(struct swim_port *port, uint64_t member_id,
                 const struct swim_message *message);
    void (*set_address)(struct swim_port *port, uint64_t member_id,
                        const char *peer_address);
    void (*drop_peer)(struct swim_port *port, uint64_t member_id);
};

struct swim_port {
    const struct swim_port_ops *ops;
};

/**
 * struct member_entry - member table entry of an instance
 * @info: identity and state; the state is ALIVE, SUSPECT or DEAD
 * @leaving: the instance has announced that it leaves; kept apart from the
 *           state, because a suspicion would replace it
 * @candidate: named by the instance list or the settings, but not heard of;
 *             not a member
 * @listed: the instance list or the settings have named it
 * @expires_ms: when a suspect is declared dead, or a dead entry is removed
 * @suspected_ms: when this instance began to suspect it
 * @suspected_by_peer: the suspicion came from another member, so a failed
 *                     probe by this instance confirms it independently
 * @next_hello_ms: when the next Hello is sent to a candidate or dead instance
 * @hello_backoff_ms: time until the Hello after that
 * @state_sent_ms: when its state in this instance's view was last sent to it
 * @transmit_count: how often the entry's update has been sent
 * @change_number: number of the entry's last change; larger is newer
 */
struct member_entry {
    struct member_info info;
    bool leaving;
    bool candidate;
    bool listed;
    int64_t expires_ms;
    int64_t suspected_ms;
    bool suspected_by_peer;
    int64_t next_hello_ms;
    int64_t hello_backoff_ms;
    int64_t state_sent_ms;
    uint32_t transmit_count;
    uint64_t change_number;
};

/**
 * struct member_table - entries of all instances, this one included
 * @entries: struct member_entry
 * @ids: id of the instance in each slot, 0 for a free slot
 * @change_count: number of changes so far
 * @round_robin_slot: slot whose entry is sent next without a change
 * @published: the contents have been published since the last change
 */
struct member_table {
    struct table entries;
    uint64_t ids[MEMBERS_MAX];
    uint64_t change_count;
    uint32_t round_robin_slot;
    bool published;
};

/**
 * enum entry_change - effect of an update on an entry
 * @ENTRY_UNCHANGED: no change, or only a larger refutation number
 * @ENTRY_LEAVING: the member has announced that it leaves
 * @ENTRY_NEW: a new member, or a new process of a known one
 * @ENTRY_ALIVE: a suspicion or death was refuted
 * @ENTRY_SUSPECT: the member is suspected
 * @ENTRY_DEAD: the member is dead
 */
enum entry_change {
    ENTRY_UNCHANGED,
    ENTRY_LEAVING,
    ENTRY_NEW,
    ENTRY_ALIVE,
    ENTRY_SUSPECT,
    ENTRY_DEAD,
};

enum probe_stage { PROBE_IDLE, PROBE_DIRECT, PROBE_INDIRECT };

/**
 * struct probe - slot for a probe in progress
 * @stage: PROBE_IDLE when the slot is free
 * @target_handle: entry of the member probed
 * @target_id: id of the member probed
 * @sequence: sequence number of the Ping
 * @deadline_ms: when the stage fails without an Ack
 */
struct probe {
    enum probe_stage stage;
    struct handle target_handle;
    uint64_t target_id;
    uint64_t sequence;
    int64_t deadline_ms;
};

/**
 * struct indirect_ping - Ping sent on the PingReq of another member
 * @sequence: sequence number of the Ping; 0 when the slot is free
 * @target_id: member pinged
 * @requester_id: member that receives the Ack
 * @requester_sequence: sequence number of its PingReq
 */
struct indirect_ping {
    uint64_t sequence;
    uint64_t target_id;
    uint64_t requester_id;
    uint64_t requester_sequence;
};

/**
 * struct swim - state of the membership protocol
 * @port: effects
 * @self_id: id of this instance
 * @self_handle: entry of this instance
 * @members: member table
 * @random_state: state of the random number generator
 * @last_sequence: last sequence number used
 * @revision: configuration revision in force at this instance
 * @probe_order: members in the order in which they are probed
 * @probe_order_count: number of valid entries in @probe_order
 * @probe_order_next: index of the next member to probe
 * @probes: probes in progress
 * @next_probe_ms: when the next probe begins
 * @next_hello_ms: earliest time of the next Hello messages
 * @next_full_list_ms: earliest time at which the full member list may be sent
 *                     again
 * @last_tick_ms: time of the last swim_tick(), 0 before the first
 * @indirect_pings: Pings sent for other members
 * @indirect_ping_next: slot of @indirect_pings to use next
 * @next_gossip_ms: earliest time of the next gossip round
 * @just_refuted: the message being handled has made this instance refute
 * @urgent_update: the message being handled carried an urgent update
 */
struct swim {
    struct swim_port *port;
    uint64_t self_id;
    struct handle self_handle;
    struct member_table members;
    uint64_t random_state;
    uint64_t last_sequence;
    int64_t revision;
    struct handle probe_order[MEMBERS_MAX];
    int probe_order_count;
    int probe_order_next;
    struct probe probes[SWIM_PROBES_MAX];
    int64_t next_probe_ms;
    int64_t next_hello_ms;
    int64_t next_full_list_ms;
    int64_t last_tick_ms;
    struct indirect_ping indirect_pings[SWIM_INDIRECT_PINGS_MAX];
    int indirect_ping_next;
    int64_t next_gossip_ms;
    bool just_refuted;
    bool urgent_update;
};

/**
 * struct member - membership duty
 */
struct member;

#endif
