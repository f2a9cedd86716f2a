/**
 * DOC: Frames: a 4-byte big-endian length, then one packed Envelope.
 *
 * Nothing here reads a socket, so that every malformed input can be tested.
 */
#include <stdlib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "turmericd/fleet/peer/dat.h"
#include "turmericd/fleet/peer/fns.h"

enum {
    /* A buffer that is larger than this is given back once it is empty, so
     * that one large snapshot doesn't hold memory on every connection. */
    READER_KEEP_BYTES = 16 * 1024,
    /* A repeated field of empty messages unpacks to about 100 times its
     * size; without a limit one frame of 1 MiB takes more memory than the
     * whole control plane may use. */
    UNPACK_MAX_BYTES = 8 * PEER_FRAME_MAX_BYTES,
};

static void *
limited_alloc(void *budget, size_t bytes)
{
    size_t *left = budget;

    if (bytes > *left) {
        return NULL;
    }
    *left -= bytes;
    return malloc(bytes);
}

static void
limited_free(void *budget, void *memory)
{
    (void)budget;
    free(memory);
}

static Turmeric__Envelope *
unpack_limited(const unsigned char *bytes, size_t count)
{
    size_t left = UNPACK_MAX_BYTES;
    ProtobufCAllocator allocator = {limited_alloc, limited_free, &left};

    return turmeric__envelope__unpack(&allocator, count, bytes);
}

static void
length_put(unsigned char *bytes, uint32_t length)
{
    bytes[0] = (unsigned char)(length >> 24);
    bytes[1] = (unsigned char)(length >> 16);
    bytes[2] = (unsigned char)(length >> 8);
    bytes[3] = (unsigned char)length;
}

static uint32_t
length_get(const unsigned char *bytes)
{
    return (uint32_t)bytes[0] << 24 | (uint32_t)bytes[1] << 16 |
           (uint32_t)bytes[2] << 8 | (uint32_t)bytes[3];
}

/**
 * frame_pack() - encode an envelope as a frame
 * @envelope: the body; its version and sender are ignored
 * @from: id of the sender
 * @bytes: receives the frame, to be freed with free()
 * @count: receives its length
 * @err: filled in on failure
 *
 * Return: false with ERR_BODY_TOO_LARGE or ERR_NO_MEMORY.
 */
bool
frame_pack(const Turmeric__Envelope *envelope, uint64_t from,
           unsigned char **bytes, size_t *count, struct err *err)
{
    Turmeric__Envelope copy = *envelope;
    size_t length;

    copy.version = PEER_VERSION;
    copy.from = from;
    length = turmeric__envelope__get_packed_size(&copy);
    if (length > PEER_FRAME_MAX_BYTES) {
        return err_set(err, ERR_BODY_TOO_LARGE, "frame of %zu bytes", length);
    }
    *bytes = malloc(FRAME_HEADER_BYTES + length);
    if (*bytes == NULL) {
        return err_set(err, ERR_NO_MEMORY, "frame of %zu bytes", length);
    }
    length_put(*bytes, (uint32_t)length);
    turmeric__envelope__pack(&copy, *bytes + FRAME_HEADER_BYTES);
    *count = FRAME_HEADER_BYTES + length;
    return true;
}

/**
 * frame_reader_free() - discard what a reader holds; it may be used again
 * @reader: the reader
 */
void
frame_reader_free(struct frame_reader *reader)
{
    free(reader->bytes);
    memset(reader, 0, sizeof(*reader));
}

static void
reader_compact(struct frame_reader *reader)
{
    size_t held = reader->end - reader->start;

    if (reader->start > 0 && held > 0) {
        memmove(reader->bytes, reader->bytes + reader->start, held);
    }
    reader->start = 0;
    reader->end = held;
    if (held == 0 && reader->capacity > READER_KEEP_BYTES) {
        frame_reader_free(reader);
    }
}

/**
 * frame_add() - add received bytes
 * @reader: the reader
 * @bytes: bytes, copied
 * @count: how many
 * @err: filled in on failure
 *
 * The caller decodes with frame_next() until FRAME_MORE before it adds again,
 * which bounds the buffer to one frame and one addition.
 *
 * Return: false with ERR_NO_MEMORY.
 */
bool
frame_add(struct frame_reader *reader, const void *bytes, size_t count,
          struct err *err)
{
    size_t needed;

    if (count == 0) {
        return true;
    }
    reader_compact(reader);
    needed = reader->end + count;
    if (needed > reader->capacity) {
        size_t capacity = needed < READER_KEEP_BYTES ? READER_KEEP_BYTES
                                                     : needed + needed / 2;
        unsigned char *grown = realloc(reader->bytes, capacity);

        if (grown == NULL) {
            return err_set(err, ERR_NO_MEMORY, "%zu received bytes", needed);
        }
        reader->bytes = grown;
        reader->capacity = capacity;
    }
    memcpy(reader->bytes + reader->end, bytes, count);
    reader->end += count;
    return true;
}

static enum frame_result
frame_bad(struct err *err, const char *reason, uint64_t value)
{
    err_set(err, ERR_BAD_FRAME, "%s %llu", reason, (unsigned long long)value);
    return FRAME_BAD;
}

static enum frame_result
envelope_check(Turmeric__Envelope *envelope, struct err *err)
{
    if (envelope->version != PEER_VERSION) {
        return frame_bad(err, "version", envelope->version);
    }
    if (envelope->from == 0) {
        return frame_bad(err, "sender", envelope->from);
    }
    return FRAME_READY;
}

/**
 * frame_next() - decode the next frame
 * @reader: the reader
 * @envelope: receives the envelope, to be freed by the caller
 * @err: filled in with ERR_BAD_FRAME
 *
 * The length is checked as soon as the header is complete, before any memory
 * is taken for the frame. An envelope whose body this version does not know
 * is FRAME_READY with body_case NOT_SET.
 */
enum frame_result
frame_next(struct frame_reader *reader, Turmeric__Envelope **envelope,
           struct err *err)
{
    size_t held = reader->end - reader->start;
    const unsigned char *frame;
    uint32_t length;
    enum frame_result result;

    if (held < FRAME_HEADER_BYTES) {
        return FRAME_MORE;
    }
    frame = reader->bytes + reader->start;
    length = length_get(frame);
    if (length == 0 || length > PEER_FRAME_MAX_BYTES) {
        return frame_bad(err, "length", length);
    }
    if (held < FRAME_HEADER_BYTES + (size_t)length) {
        return FRAME_MORE;
    }
    *envelope = unpack_limited(frame + FRAME_HEADER_BYTES, length);
    if (*envelope == NULL) {
        return frame_bad(err, "undecodable frame of length", length);
    }
    result = envelope_check(*envelope, err);
    if (result != FRAME_READY) {
        turmeric__envelope__free_unpacked(*envelope, NULL);
        *envelope = NULL;
        return result;
    }
    reader->start += FRAME_HEADER_BYTES + (size_t)length;
    return FRAME_READY;
}
