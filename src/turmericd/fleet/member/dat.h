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
 * struct member_info - one instance of the system
 * @id: hash_text() of the name
 * @name: unique name from the settings
 * @data_centre: where it runs
 * @address: HTTP address for callers
 * @peer_address: address for frames
 * @started_ms: start number; larger after each restart of the instance
 * @refutation: raised by the member to refute a suspicion
 * @state: what this instance believes
 * @revision: revision of the tree that it last reported
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
 * struct member_port_ops - what membership needs from the frames
 * @send: sends a message; returns false when it can't be sent
 * @set_address: tells the address of a member
 * @drop_peer: a member is dead
 */
struct member_port_ops {
    bool (*send)(struct member_port *port, uint64_t member,
                 Turmeric__Envelope *envelope);
    void (*set_address)(struct member_port *port, uint64_t member,
                        const char *peer_address);
    void (*drop_peer)(struct member_port *port, uint64_t member);
};

struct member_port {
    const struct member_port_ops *ops;
};

enum {
    SWIM_UPDATES_MAX = 8,
    SWIM_INDIRECT_PINGS_MAX = 32,
    /* Probes that last 600 ms and begin every 250 ms, and as many again for
     * broken links and confirmations. */
    SWIM_PROBES_MAX = 8,
};

/**
 * enum swim_kind - messages of membership
 * @SWIM_HELLO: introduces the sender, whose entry is news[0]
 * @SWIM_PING: asks for an Ack
 * @SWIM_ACK: answers a Ping, or a PingReq for another member
 * @SWIM_PING_REQ: asks to ping another member
 */
enum swim_message_kind { SWIM_HELLO, SWIM_PING, SWIM_ACK, SWIM_PING_REQ };

/**
 * struct swim_message - message of membership, apart from its encoding
 * @kind: which message
 * @sequence: matches an Ack to its Ping; 0 asks for no match
 * @subject_id: member that an Ack speaks for, or that a PingReq asks about
 * @revision: revision of the tree at the sender of a Ping, or at @subject_id
 * @update_count: number of valid entries in @updates
 * @updates: what the sender believes about members
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
 * @send: sends a message; it may be lost
 * @set_address: tells where a member can be reached
 * @drop_peer: the member needs no connection any more
 */
struct swim_port_ops {
    void (*send)(struct swim_port *port, uint64_t member,
                 const struct swim_message *message);
    void (*set_address)(struct swim_port *port, uint64_t member,
                        const char *peer_address);
    void (*drop_peer)(struct swim_port *port, uint64_t member);
};

struct swim_port {
    const struct swim_port_ops *ops;
};

/**
 * struct roster_entry - what is known about an instance
 * @info: its identity; the state is ALIVE, SUSPECT or DEAD
 * @leaving: it has announced that it leaves; kept apart from the state so
 *           that a suspicion can't hide it
 * @candidate: it is only named by the list or the settings and has not been
 *             heard of; it is no member
 * @listed: the list or the settings have named it
 * @expires_ms: when a suspect is declared dead, or a dead entry is removed
 * @suspected_ms: when the suspicion began here
 * @suspected_by_peer: the suspicion came from another member, so that an own
 * failed probe confirms it independently
 * @next_hello_ms: when a candidate or dead instance is greeted next
 * @hello_backoff_ms: time between greetings
 * @state_sent_ms: when it was last told what is believed about it
 * @transmit_count: how often its news has been sent
 * @change_number: order of the last change; larger is newer
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
 * struct roster - entries of all instances, this one included
 * @entries: the entries
 * @ids: id of each slot, 0 for a free one
 * @change_count: number of changes so far
 * @round_robin_slot: slot whose turn it is to be repeated without a change
 * @published: whether the present contents have been published
 */
struct member_table {
    struct table entries;
    uint64_t ids[MEMBERS_MAX];
    uint64_t change_count;
    uint32_t round_robin_slot;
    bool published;
};

/**
 * enum roster_change - effect of a piece of news
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
 * struct probe - a probe in progress
 */
struct probe {
    enum probe_stage stage;
    struct handle target_handle;
    uint64_t target_id;
    uint64_t sequence;
    int64_t deadline_ms;
};

/**
 * struct relay - a Ping sent for another member
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
 * @members: all entries
 * @random_state: state of the random numbers
 * @last_sequence: last sequence number used
 * @revision: revision of the tree of this instance
 * @probe_order: members in the order in which they are probed
 * @probe_order_count: number of valid entries in @probe_order
 * @probe_order_next: next one to probe
 * @probes: the probes in progress
 * @next_probe_ms: when the next probe begins
 * @next_hello_ms: when greetings may be sent again
 * @next_full_list_ms: when a newcomer may be told all members again
 * @last_tick_ms: when swim_tick() was last called
 * @indirect_pings: Pings sent for others
 * @indirect_ping_next: next slot of @indirect_pings to use
 * @next_gossip_ms: when urgent news may be spread again
 * @just_refuted: a piece of news has just been refuted
 * @urgent_update: urgent news has just arrived
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
 * struct member - duty that keeps the list of instances
 */
struct member;

#endif
