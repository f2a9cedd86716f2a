/**
 * DOC: Frames: a 4-byte big-endian length, then one packed Envelope.
 *
 * This file does no I/O, so that any malformed input can be tested.
 */
#include <stdlib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "turmericd/fleet/peer/dat.h"
#include "turmericd/fleet/peer/fns.h"

enum {
    /* A larger buffer is freed once it is empty, so that a large snapshot
     * doesn't keep memory allocated on every connection. */
    READER_RETAIN_MAX_BYTES = 16 * 1024,
    /* A repeated field of empty messages unpacks to about 100 times its
     * size. Without a limit, one frame of 1 MiB would take more memory than
     * the whole control plane may use. */
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
encode_length(unsigned char *bytes, uint32_t length)
{
    bytes[0] = (unsigned char)(length >> 24);
    bytes[1] = (unsigned char)(length >> 16);
    bytes[2] = (unsigned char)(length >> 8);
    bytes[3] = (unsigned char)length;
}

static uint32_t
decode_length(const unsigned char *bytes)
{
    return (uint32_t)bytes[0] << 24 | (uint32_t)bytes[1] << 16 |
           (uint32_t)bytes[2] << 8 | (uint32_t)bytes[3];
}

/**
 * frame_pack() - encode an envelope as a frame
 * @envelope: the message; its version and sender are ignored
 * @from: id of the sender
 * @bytes: receives the frame, to be freed with free()
 * @count: receives the length of the frame
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

    copy.version = PEER_PROTOCOL_VERSION;
    copy.from = from;
    length = turmeric__envelope__get_packed_size(&copy);
    if (length > PEER_FRAME_MAX_BYTES) {
        return err_set(err, ERR_BODY_TOO_LARGE,
                       "frame of %zu bytes is too large", length);
    }
    *bytes = malloc(FRAME_HEADER_BYTES + length);
    if (*bytes == NULL) {
        return err_set(err, ERR_NO_MEMORY,
                       "cannot allocate a frame of %zu bytes", length);
    }
    encode_length(*bytes, (uint32_t)length);
    turmeric__envelope__pack(&copy, *bytes + FRAME_HEADER_BYTES);
    *count = FRAME_HEADER_BYTES + length;
    return true;
}

/**
 * frame_reader_free() - free the buffer of a reader, which stays usable
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
    size_t buffered = reader->end - reader->start;

    if (reader->start > 0 && buffered > 0) {
        memmove(reader->bytes, reader->bytes + reader->start, buffered);
    }
    reader->start = 0;
    reader->end = buffered;
    if (buffered == 0 && reader->capacity > READER_RETAIN_MAX_BYTES) {
        frame_reader_free(reader);
    }
}

/**
 * frame_reader_append() - append received bytes
 * @reader: the reader
 * @bytes: received bytes, copied
 * @count: number of bytes
 * @err: filled in on failure
 *
 * The caller decodes with frame_reader_next() until FRAME_INCOMPLETE before it
 * adds more, which bounds the buffer to one frame and one call's bytes.
 *
 * Return: false with ERR_NO_MEMORY.
 */
bool
frame_reader_append(struct frame_reader *reader, const void *bytes,
                    size_t count, struct err *err)
{
    size_t needed;

    if (count == 0) {
        return true;
    }
    reader_compact(reader);
    needed = reader->end + count;
    if (needed > reader->capacity) {
        size_t capacity = needed < READER_RETAIN_MAX_BYTES
                              ? READER_RETAIN_MAX_BYTES
                              : needed + needed / 2;
        unsigned char *grown = realloc(reader->bytes, capacity);

        if (grown == NULL) {
            return err_set(err, ERR_NO_MEMORY,
                           "cannot buffer %zu received bytes", needed);
        }
        reader->bytes = grown;
        reader->capacity = capacity;
    }
    memcpy(reader->bytes + reader->end, bytes, count);
    reader->end += count;
    return true;
}

static enum frame_result
invalid_frame(struct err *err, const char *reason, uint64_t value)
{
    err_set(err, ERR_BAD_FRAME, "%s %llu", reason, (unsigned long long)value);
    return FRAME_INVALID;
}

static enum frame_result
envelope_check(Turmeric__Envelope *envelope, struct err *err)
{
    if (envelope->version != PEER_PROTOCOL_VERSION) {
        return invalid_frame(err, "unsupported protocol version",
                             envelope->version);
    }
    if (envelope->from == 0) {
        return invalid_frame(err, "invalid sender id", envelope->from);
    }
    return FRAME_READY;
}

/**
 * frame_reader_next() - decode the next frame
 * @reader: the reader
 * @envelope: receives the envelope, to be freed by the caller
 * @err: filled in with ERR_BAD_FRAME
 *
 * The length is checked as soon as the header is complete, before any memory
 * is allocated for the frame. An envelope whose body this version does not
 * know yields FRAME_READY with body_case NOT_SET.
 */
enum frame_result
frame_reader_next(struct frame_reader *reader, Turmeric__Envelope **envelope,
                  struct err *err)
{
    size_t buffered = reader->end - reader->start;
    const unsigned char *frame;
    uint32_t length;
    enum frame_result result;

    if (buffered < FRAME_HEADER_BYTES) {
        return FRAME_INCOMPLETE;
    }
    frame = reader->bytes + reader->start;
    length = decode_length(frame);
    if (length == 0 || length > PEER_FRAME_MAX_BYTES) {
        return invalid_frame(err, "invalid frame length", length);
    }
    if (buffered < FRAME_HEADER_BYTES + (size_t)length) {
        return FRAME_INCOMPLETE;
    }
    *envelope = unpack_limited(frame + FRAME_HEADER_BYTES, length);
    if (*envelope == NULL) {
        return invalid_frame(err, "cannot decode a frame of length", length);
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
