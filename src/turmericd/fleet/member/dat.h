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
 * @start: start number; larger after each restart of the instance
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
    uint64_t start;
    uint32_t refutation;
    enum member_state state;
    int64_t revision;
};

struct member_port;

/**
 * struct member_port_ops - what membership needs from the frames
 * @send: sends a message; returns false when it can't be sent
 * @address: tells the address of a member
 * @forget: a member is dead
 */
struct member_port_ops {
    bool (*send)(struct member_port *port, uint64_t member,
                 Turmeric__Envelope *envelope);
    void (*address)(struct member_port *port, uint64_t member,
                    const char *peer_address);
    void (*forget)(struct member_port *port, uint64_t member);
};

struct member_port {
    const struct member_port_ops *ops;
};

enum {
    SWIM_NEWS_MAX = 8,
    SWIM_RELAYS_MAX = 32,
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
enum swim_kind { SWIM_HELLO, SWIM_PING, SWIM_ACK, SWIM_PING_REQ };

/**
 * struct swim_message - message of membership, apart from its encoding
 * @kind: which message
 * @sequence: matches an Ack to its Ping; 0 asks for no match
 * @about: member that an Ack speaks for, or that a PingReq asks about
 * @revision: revision of the tree at the sender of a Ping, or at @about
 * @news_count: number of valid entries in @news
 * @news: what the sender believes about members
 */
struct swim_message {
    enum swim_kind kind;
    uint64_t sequence;
    uint64_t about;
    int64_t revision;
    int news_count;
    struct member_info news[SWIM_NEWS_MAX];
};

struct swim_port;

/**
 * struct swim_port_ops - effects of the membership protocol
 * @send: sends a message; it may be lost
 * @address: tells where a member can be reached
 * @forget: the member needs no connection any more
 */
struct swim_port_ops {
    void (*send)(struct swim_port *port, uint64_t member,
                 const struct swim_message *message);
    void (*address)(struct swim_port *port, uint64_t member,
                    const char *peer_address);
    void (*forget)(struct swim_port *port, uint64_t member);
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
 * @until_ms: when a suspect is declared dead, or a dead entry is removed
 * @suspect_ms: when the suspicion began here
 * @suspect_news: the suspicion came from another member, so that an own failed
 *                probe confirms it independently
 * @hello_ms: when a candidate or dead instance is greeted next
 * @hello_wait_ms: time between greetings
 * @told_ms: when it was last told what is believed about it
 * @sends: how often its news has been sent
 * @changed: order of the last change; larger is newer
 */
struct roster_entry {
    struct member_info info;
    bool leaving;
    bool candidate;
    bool listed;
    int64_t until_ms;
    int64_t suspect_ms;
    bool suspect_news;
    int64_t hello_ms;
    int64_t hello_wait_ms;
    int64_t told_ms;
    uint32_t sends;
    uint64_t changed;
};

/**
 * struct roster - entries of all instances, this one included
 * @entries: the entries
 * @ids: id of each slot, 0 for a free one
 * @changes: number of changes so far
 * @rotation: slot whose turn it is to be repeated without a change
 * @published: whether the present contents have been published
 */
struct roster {
    struct table entries;
    uint64_t ids[MEMBERS_MAX];
    uint64_t changes;
    uint32_t rotation;
    bool published;
};

/**
 * enum roster_change - effect of a piece of news
 */
enum roster_change {
    ROSTER_SAME,
    ROSTER_LEAVING,
    ROSTER_NEW,
    ROSTER_ALIVE,
    ROSTER_SUSPECT,
    ROSTER_DEAD,
};

enum probe_stage { PROBE_IDLE, PROBE_DIRECT, PROBE_INDIRECT };

/**
 * struct probe - a probe in progress
 */
struct probe {
    enum probe_stage stage;
    struct handle target;
    uint64_t target_id;
    uint64_t sequence;
    int64_t until_ms;
};

/**
 * struct relay - a Ping sent for another member
 */
struct relay {
    uint64_t sequence;
    uint64_t target;
    uint64_t asker;
    uint64_t asker_sequence;
};

/**
 * struct swim - state of the membership protocol
 * @port: effects
 * @self: id of this instance
 * @own: entry of this instance
 * @roster: all entries
 * @random: state of the random numbers
 * @sequence: last sequence number used
 * @revision: revision of the tree of this instance
 * @order: members in the order in which they are probed
 * @order_count: number of valid entries in @order
 * @order_next: next one to probe
 * @probes: the probes in progress
 * @probe_ms: when the next probe begins
 * @hello_ms: when greetings may be sent again
 * @introduce_ms: when a newcomer may be told all members again
 * @tick_ms: when swim_tick() was last called
 * @relays: Pings sent for others
 * @relay_next: next slot of @relays to use
 * @spread_ms: when urgent news may be spread again
 * @refuted: a piece of news has just been refuted
 * @urgent: urgent news has just arrived
 */
struct swim {
    struct swim_port *port;
    uint64_t self;
    struct handle own;
    struct roster roster;
    uint64_t random;
    uint64_t sequence;
    int64_t revision;
    struct handle order[MEMBERS_MAX];
    int order_count;
    int order_next;
    struct probe probes[SWIM_PROBES_MAX];
    int64_t probe_ms;
    int64_t hello_ms;
    int64_t introduce_ms;
    int64_t tick_ms;
    struct relay relays[SWIM_RELAYS_MAX];
    int relay_next;
    int64_t spread_ms;
    bool refuted;
    bool urgent;
};

/**
 * struct member - duty that keeps the list of instances
 */
struct member;

#endif
