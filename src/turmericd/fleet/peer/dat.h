#ifndef PEER_DAT_H
#define PEER_DAT_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/socket.h>

enum {
    PEER_PROTOCOL_VERSION = 1,
    PEER_FRAME_MAX_BYTES = 1024 * 1024,
    PEERS_MAX = 512,
};

enum {
    FRAME_HEADER_BYTES = 4,
};

/**
 * enum frame_result - result of frame_reader_next()
 * @FRAME_READY: a complete envelope
 * @FRAME_INCOMPLETE: more bytes are needed
 * @FRAME_INVALID: wrong length, encoding, version or sender; the connection
 *                 must be closed
 */
enum frame_result { FRAME_READY, FRAME_INCOMPLETE, FRAME_INVALID };

/**
 * struct frame_reader - buffer of received bytes that are not decoded yet
 * @bytes: buffer, NULL while empty
 * @capacity: size of @bytes
 * @start: offset of the first byte that is not decoded
 * @end: offset of the end of the received bytes
 */
struct frame_reader {
    unsigned char *bytes;
    size_t capacity;
    size_t start;
    size_t end;
};

struct peer_port;

/**
 * struct peer_port_ops - callbacks of the peer duty
 * @deliver: takes a received message and, in every case, the ownership of
 *           @envelope; called in the peer duty's thread, must not block
 * @connection_broken: reports that @member closed or refused the connection
 *                     from this instance; called in the peer duty's thread,
 *                     must not block
 */
struct peer_port_ops {
    void (*deliver)(struct peer_port *port, Turmeric__Envelope *envelope);
    void (*connection_broken)(struct peer_port *port, uint64_t member);
};

struct peer_port {
    const struct peer_port_ops *ops;
};

/**
 * struct peer_entry - directory entry of a member
 * @member: id of the member
 * @address: IP address and port
 * @address_version: incremented when the address changes
 * @queued_bytes: bytes accepted for the member and not yet written or dropped
 */
struct peer_entry {
    uint64_t member;
    char address[ADDRESS_MAX_BYTES];
    uint32_t address_version;
    size_t queued_bytes;
};

/**
 * struct peer_directory - members and the size of their queues
 * @lock: protects the other fields, which senders' threads and the duty share
 * @entries: table of struct peer_entry
 * @changed: an address was set or a member removed since it was last cleared
 */
struct peer_directory {
    pthread_mutex_t lock;
    struct table entries;
    bool changed;
};

/**
 * struct peer_frame - a packed frame queued for a member
 * @entry: directory entry of the member
 * @bytes: the frame; owned
 * @count: length of @bytes
 * @queued_ms: when the frame was added to the link's queue
 * @next: next frame in the link's queue
 */
struct peer_frame {
    struct handle entry;
    unsigned char *bytes;
    size_t count;
    int64_t queued_ms;
    struct peer_frame *next;
};

enum link_state { LINK_IDLE, LINK_BACKOFF, LINK_CONNECTING, LINK_CONNECTED };

/**
 * struct peer_link - outgoing connection to a member; owned by the duty
 * @entry: directory entry of the member; generation 0 while the link is unused
 * @address_version: version of the address that the connection uses
 * @state: state of the connection
 * @fd: socket, -1 without one
 * @connection: handle in the duty's table of connections
 * @head: oldest frame that is not completely written
 * @tail: newest frame
 * @head_sent_bytes: bytes of @head that are written
 * @state_since_ms: when @state was entered
 * @progress_ms: when bytes were last written or the queue became non-empty
 * @retry_ms: when LINK_BACKOFF ends
 * @backoff_ms: current reconnect delay; 0 until a connection has closed
 */
struct peer_link {
    struct handle entry;
    uint32_t address_version;
    enum link_state state;
    int fd;
    struct handle connection;
    struct peer_frame *head;
    struct peer_frame *tail;
    size_t head_sent_bytes;
    int64_t state_since_ms;
    int64_t progress_ms;
    int64_t retry_ms;
    int64_t backoff_ms;
};

/**
 * struct peer - duty that sends and receives frames over TCP
 *
 * Opaque to others; peer_new() creates it.
 */
struct peer;

#endif
