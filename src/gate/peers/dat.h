#ifndef PEERS_DAT_H
#define PEERS_DAT_H

/**
 * struct peer_instance - an instance that messages are sent to
 * @id: hash of its name
 * @name: its name
 * @zone: its data centre
 * @unlisted_since_ms: time when it left the member list; 0 while it is listed
 */
struct peer_instance {
    uint64_t id;
    char name[NAME_MAX_BYTES];
    char zone[NAME_MAX_BYTES];
    int64_t unlisted_since_ms;
};

/**
 * struct aggregator - the holder that adds up the activity reports
 * @id: sender of the last activity total
 * @fence: fencing token of the sender's term; 0 when no total was received
 * @received_ms: time at which the total was received
 */
struct aggregator {
    uint64_t id;
    int64_t fence;
    int64_t received_ms;
};

#endif
