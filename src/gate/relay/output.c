/**
 * DOC: Bytes that wait to be written to a connection.
 *
 * They are kept in blocks, each of which is freed when it is written, so that
 * what a slow reader has taken needs no memory. The body of a request is
 * shared, not copied.
 */
#include <errno.h>
#include <glib.h>
#include <http_parser.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/choose/dat.h"
#include "gate/relay/dat.h"
#include "gate/team/dat.h"
#include "gate/relay/internal.h"

enum {
    BLOCK_MIN_BYTES = 4096,
    WRITE_BLOCKS_MAX = 16, /* in one call */
};

/* @shared is NULL for a block with @room bytes of its own. */
struct output_block {
    struct output_block *next;
    GBytes *shared;
    const unsigned char *data;
    size_t bytes;
    size_t room;
    unsigned char own[];
};

static void
free_first(struct output *output)
{
    struct output_block *block = output->first;

    output->first = block->next;
    if (output->first == NULL) {
        output->last = NULL;
    }
    output->held -= block->room;
    if (block->shared != NULL) {
        g_bytes_unref(block->shared);
    }
    g_free(block);
}

static struct output_block *
add_block(struct output *output, size_t room)
{
    struct output_block *block = g_malloc(sizeof(*block) + room);

    block->next = NULL;
    block->shared = NULL;
    block->data = block->own;
    block->bytes = 0;
    block->room = room;
    if (output->last != NULL) {
        output->last->next = block;
    }
    else {
        output->first = block;
    }
    output->last = block;
    output->held += room;
    return block;
}

/**
 * output_clear() - drop all bytes
 * @output: the output, empty afterwards
 */
void
output_clear(struct output *output)
{
    while (output->first != NULL) {
        free_first(output);
    }
    output->start = 0;
    output->waiting = 0;
}

/**
 * output_append() - add a copy of some bytes
 * @output: the output
 * @bytes: the bytes
 * @count: their number
 */
void
output_append(struct output *output, const void *bytes, size_t count)
{
    const unsigned char *next = bytes;

    output->waiting += count;
    while (count > 0) {
        struct output_block *block = output->last;
        size_t part;

        if (block == NULL || block->shared != NULL ||
            block->bytes == block->room) {
            block = add_block(output, MAX(count, (size_t)BLOCK_MIN_BYTES));
        }
        part = MIN(count, block->room - block->bytes);
        memcpy(block->own + block->bytes, next, part);
        block->bytes += part;
        next += part;
        count -= part;
    }
}

/**
 * output_append_shared() - add bytes without a copy
 * @output: the output
 * @bytes: a reference is kept until they are written
 */
void
output_append_shared(struct output *output, GBytes *bytes)
{
    size_t count = g_bytes_get_size(bytes);

    if (count > 0) {
        struct output_block *block = add_block(output, 0);

        block->shared = g_bytes_ref(bytes);
        block->data = g_bytes_get_data(bytes, &block->bytes);
        output->waiting += count;
    }
}

static void
drop_written(struct output *output, size_t count)
{
    output->waiting -= count;
    output->start += count;
    while (output->first != NULL && output->start >= output->first->bytes) {
        output->start -= output->first->bytes;
        free_first(output);
    }
}

static ssize_t
write_blocks(const struct output *output, int fd)
{
    struct iovec parts[WRITE_BLOCKS_MAX];
    struct msghdr message = {.msg_iov = parts};
    size_t start = output->start;

    for (const struct output_block *block = output->first;
         block != NULL && message.msg_iovlen < WRITE_BLOCKS_MAX;
         block = block->next) {
        struct iovec *part = &parts[message.msg_iovlen++];

        part->iov_base = (void *)(block->data + start);
        part->iov_len = block->bytes - start;
        start = 0;
    }
    return sendmsg(fd, &message, MSG_NOSIGNAL | MSG_DONTWAIT);
}

/**
 * output_flush() - write as much as the connection takes
 * @output: the output
 * @fd: the connection
 *
 * Return: false when the connection is broken.
 */
bool
output_flush(struct output *output, int fd)
{
    while (output->waiting > 0) {
        ssize_t count = write_blocks(output, fd);

        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count < 0) {
            return errno == EAGAIN || errno == EWOULDBLOCK;
        }
        drop_written(output, (size_t)count);
    }
    return true;
}
