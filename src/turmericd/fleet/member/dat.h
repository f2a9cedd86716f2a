#ifndef MEMBER_DAT_H
#define MEMBER_DAT_H

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

/**
 * struct member - duty that keeps the list of instances
 */
struct member;

#endif
