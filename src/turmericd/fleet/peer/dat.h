#ifndef PEER_DAT_H
#define PEER_DAT_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/socket.h>

enum {
    PEER_VERSION = 1,
    PEER_FRAME_MAX_BYTES = 1024 * 1024,
    PEER_MAX = 512,
};

enum {
    FRAME_HEADER_BYTES = 4,
};

/**
 * enum frame_result - what frame_next() found
 * @FRAME_READY: a complete envelope
 * @FRAME_MORE: the frame is not complete yet
 * @FRAME_BAD: wrong length, encoding, version or sender; the connection must
 *             be closed
 */
enum frame_result { FRAME_READY, FRAME_MORE, FRAME_BAD };

/**
 * struct frame_reader - bytes received and not decoded yet
 * @bytes: buffer, NULL while empty
 * @capacity: size of @bytes
 * @start: first byte that is not decoded
 * @end: end of the received bytes
 */
struct frame_reader {
    unsigned char *bytes;
    size_t capacity;
    size_t start;
    size_t end;
};

struct peer_port;

/**
 * struct peer_port_ops - where received messages go
 * @message: takes ownership of @envelope in every case; called in the peer
 *           duty's thread and must not block
 * @broken: a member has closed or refused the connection to it; called in the
 *          peer duty's thread and must not block
 */
struct peer_port_ops {
    void (*message)(struct peer_port *port, Turmeric__Envelope *envelope);
    void (*broken)(struct peer_port *port, uint64_t member);
};

struct peer_port {
    const struct peer_port_ops *ops;
};

/**
 * struct peer_entry - a member that frames can be sent to
 * @member: its id
 * @address: IP address and port
 * @version: raised when the address changes
 * @queued_bytes: bytes accepted for it and not yet written or dropped
 */
struct peer_entry {
    uint64_t member;
    char address[ADDRESS_MAX_BYTES];
    uint32_t version;
    size_t queued_bytes;
};

/**
 * struct peer_directory - members and the room in their queues
 *
 * Shared between the senders' threads and the duty.
 */
struct peer_directory {
    pthread_mutex_t lock;
    struct table entries;
    bool changed;
};

/**
 * struct peer_frame - a packed frame on its way to a member
 * @entry: entry of the directory
 * @bytes: owned
 * @count: length
 * @queued_ms: when the duty took it
 * @next: next frame of the same link
 */
struct peer_frame {
    struct handle entry;
    unsigned char *bytes;
    size_t count;
    int64_t queued_ms;
    struct peer_frame *next;
};

enum link_state { LINK_IDLE, LINK_WAITING, LINK_CONNECTING, LINK_UP };

/**
 * struct peer_link - outgoing connection to a member, owned by the duty
 * @entry: entry of the directory; generation 0 while the link is unused
 * @version: version of the address that the connection uses
 * @state: state of the connection
 * @fd: socket, -1 without one
 * @connection: slot of the connection in the duty's table
 * @head: oldest frame not completely written
 * @tail: newest frame
 * @sent: bytes of @head that are written
 * @state_ms: when @state began
 * @progress_ms: when bytes were last written or the queue became non-empty
 * @retry_ms: when LINK_WAITING ends
 * @backoff_ms: next delay before connecting again
 */
struct peer_link {
    struct handle entry;
    uint32_t version;
    enum link_state state;
    int fd;
    struct handle connection;
    struct peer_frame *head;
    struct peer_frame *tail;
    size_t sent;
    int64_t state_ms;
    int64_t progress_ms;
    int64_t retry_ms;
    int64_t backoff_ms;
};

/**
 * struct peer - duty that moves frames between instances over TCP
 *
 * Opaque to others; peer_new() creates it.
 */
struct peer;

#endif
