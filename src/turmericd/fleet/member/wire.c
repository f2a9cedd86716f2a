/**
 * DOC: Encodes and decodes messages of the membership protocol.
 */
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "turmericd/fleet/member/dat.h"
#include "turmericd/fleet/member/fns.h"

static void
encode_update(const struct member_info *info, Turmeric__MemberNews *encoded)
{
    turmeric__member_news__init(encoded);
    encoded->id = info->id;
    encoded->state = info->state;
    encoded->start = info->started_ms;
    encoded->refutation = info->refutation;
    encoded->name = (char *)info->name;
    encoded->data_centre = (char *)info->data_centre;
    encoded->address = (char *)info->address;
    encoded->peer_address = (char *)info->peer_address;
}

static void
encode_hello(const struct member_info *info, Turmeric__Hello *hello)
{
    turmeric__hello__init(hello);
    hello->name = (char *)info->name;
    hello->data_centre = (char *)info->data_centre;
    hello->address = (char *)info->address;
    hello->peer_address = (char *)info->peer_address;
    hello->start = info->started_ms;
}

/**
 * swim_encode() - encode a message as an envelope
 * @message: the message
 * @handle: called with the envelope, which is valid during the call only
 * @argument: passed to @handle
 */
void
swim_encode(const struct swim_message *message,
            void (*handle)(Turmeric__Envelope *envelope, void *argument),
            void *argument)
{
    Turmeric__Envelope envelope = TURMERIC__ENVELOPE__INIT;
    Turmeric__Hello hello;
    Turmeric__Ping ping = TURMERIC__PING__INIT;
    Turmeric__Ack ack = TURMERIC__ACK__INIT;
    Turmeric__PingReq ping_req = TURMERIC__PING_REQ__INIT;
    Turmeric__MemberNews encoded[SWIM_UPDATES_MAX];
    Turmeric__MemberNews *updates[SWIM_UPDATES_MAX];

    for (int i = 0; i < message->update_count; i++) {
        encode_update(&message->updates[i], &encoded[i]);
        updates[i] = &encoded[i];
    }
    switch (message->kind) {
    case SWIM_HELLO:
        encode_hello(&message->updates[0], &hello);
        envelope.body_case = TURMERIC__ENVELOPE__BODY_HELLO;
        envelope.hello = &hello;
        break;
    case SWIM_PING:
        ping.sequence = message->sequence;
        ping.revision = (uint64_t)message->revision;
        ping.n_news = (size_t)message->update_count;
        ping.news = updates;
        envelope.body_case = TURMERIC__ENVELOPE__BODY_PING;
        envelope.ping = &ping;
        break;
    case SWIM_ACK:
        ack.sequence = message->sequence;
        ack.revision = (uint64_t)message->revision;
        ack.about = message->subject_id;
        ack.n_news = (size_t)message->update_count;
        ack.news = updates;
        envelope.body_case = TURMERIC__ENVELOPE__BODY_ACK;
        envelope.ack = &ack;
        break;
    case SWIM_PING_REQ:
        ping_req.sequence = message->sequence;
        ping_req.target = message->subject_id;
        ping_req.n_news = (size_t)message->update_count;
        ping_req.news = updates;
        envelope.body_case = TURMERIC__ENVELOPE__BODY_PING_REQ;
        envelope.ping_req = &ping_req;
        break;
    }
    handle(&envelope, argument);
}

static bool
copy_text(const char *text, char *out, size_t bytes)
{
    size_t length = strlen(text);

    if (length == 0 || length >= bytes) {
        return false;
    }
    memcpy(out, text, length + 1);
    return true;
}

static bool
decode_identity(const char *name, const char *data_centre, const char *address,
                const char *peer_address, struct member_info *info)
{
    if (!copy_text(name, info->name, sizeof(info->name)) ||
        !copy_text(data_centre, info->data_centre,
                   sizeof(info->data_centre)) ||
        !copy_text(address, info->address, sizeof(info->address)) ||
        !copy_text(peer_address, info->peer_address,
                   sizeof(info->peer_address))) {
        return false;
    }
    info->id = hash_text(info->name);
    return true;
}

static bool
decode_update(const Turmeric__MemberNews *encoded, struct member_info *info)
{
    memset(info, 0, sizeof(*info));
    if (encoded->state > MEMBER_DEAD ||
        !decode_identity(encoded->name, encoded->data_centre, encoded->address,
                         encoded->peer_address, info)) {
        return false;
    }
    info->started_ms = encoded->start;
    info->refutation = encoded->refutation;
    info->state = (enum member_state)encoded->state;
    return info->id == encoded->id;
}

/* Skips and counts invalid updates; the rest of the message is used. */
static void
decode_updates(Turmeric__MemberNews **encoded, size_t count,
               struct swim_message *message)
{
    for (size_t i = 0; i < count && message->update_count < SWIM_UPDATES_MAX;
         i++) {
        if (decode_update(encoded[i],
                          &message->updates[message->update_count])) {
            message->update_count++;
        }
        else {
            refusal_add(ERR_BAD_FRAME);
        }
    }
}

static bool
decode_hello(const Turmeric__Hello *hello, struct swim_message *message,
             struct err *err)
{
    struct member_info *info = &message->updates[0];

    memset(info, 0, sizeof(*info));
    if (!decode_identity(hello->name, hello->data_centre, hello->address,
                         hello->peer_address, info)) {
        return err_set(err, ERR_BAD_FRAME,
                       "Hello has an invalid name, data centre or address");
    }
    info->started_ms = hello->start;
    message->kind = SWIM_HELLO;
    message->update_count = 1;
    return true;
}

/**
 * swim_decode() - decode and check a received message
 * @envelope: the envelope
 * @message: receives the message
 * @err: filled in on failure
 *
 * Return: false with ERR_BAD_FRAME when the envelope carries no valid message
 * of this protocol.
 */
bool
swim_decode(const Turmeric__Envelope *envelope, struct swim_message *message,
            struct err *err)
{
    message->sequence = 0;
    message->subject_id = 0;
    message->revision = 0;
    message->update_count = 0;
    switch (envelope->body_case) {
    case TURMERIC__ENVELOPE__BODY_HELLO:
        return decode_hello(envelope->hello, message, err);
    case TURMERIC__ENVELOPE__BODY_PING:
        message->kind = SWIM_PING;
        message->sequence = envelope->ping->sequence;
        message->revision = (int64_t)envelope->ping->revision;
        decode_updates(envelope->ping->news, envelope->ping->n_news, message);
        return true;
    case TURMERIC__ENVELOPE__BODY_ACK:
        message->kind = SWIM_ACK;
        message->sequence = envelope->ack->sequence;
        message->subject_id = envelope->ack->about;
        message->revision = (int64_t)envelope->ack->revision;
        decode_updates(envelope->ack->news, envelope->ack->n_news, message);
        return true;
    case TURMERIC__ENVELOPE__BODY_PING_REQ:
        message->kind = SWIM_PING_REQ;
        message->sequence = envelope->ping_req->sequence;
        message->subject_id = envelope->ping_req->target;
        decode_updates(envelope->ping_req->news, envelope->ping_req->n_news,
                       message);
        return true;
    default:
        return err_set(err, ERR_BAD_FRAME,
                       "body %d is not a membership message",
                       (int)envelope->body_case);
    }
}
