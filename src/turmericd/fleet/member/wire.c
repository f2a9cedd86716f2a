/**
 * DOC: Converts messages of membership to and from envelopes.
 */
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "turmericd/fleet/member/dat.h"
#include "turmericd/fleet/member/fns.h"

static void
pack_news(const struct member_info *info, Turmeric__MemberNews *news)
{
    turmeric__member_news__init(news);
    news->id = info->id;
    news->state = info->state;
    news->start = info->start;
    news->refutation = info->refutation;
    news->name = (char *)info->name;
    news->data_centre = (char *)info->data_centre;
    news->address = (char *)info->address;
    news->peer_address = (char *)info->peer_address;
}

static void
pack_hello(const struct member_info *info, Turmeric__Hello *hello)
{
    turmeric__hello__init(hello);
    hello->name = (char *)info->name;
    hello->data_centre = (char *)info->data_centre;
    hello->address = (char *)info->address;
    hello->peer_address = (char *)info->peer_address;
    hello->start = info->start;
}

/**
 * swim_with_envelope() - build the envelope of a message
 * @message: the message
 * @use: called with the envelope, which is valid during the call only
 * @argument: passed to @use
 */
void
swim_with_envelope(const struct swim_message *message,
                   void (*use)(Turmeric__Envelope *envelope, void *argument),
                   void *argument)
{
    Turmeric__Envelope envelope = TURMERIC__ENVELOPE__INIT;
    Turmeric__Hello hello;
    Turmeric__Ping ping = TURMERIC__PING__INIT;
    Turmeric__Ack ack = TURMERIC__ACK__INIT;
    Turmeric__PingReq ping_req = TURMERIC__PING_REQ__INIT;
    Turmeric__MemberNews packed[SWIM_NEWS_MAX];
    Turmeric__MemberNews *news[SWIM_NEWS_MAX];

    for (int i = 0; i < message->news_count; i++) {
        pack_news(&message->news[i], &packed[i]);
        news[i] = &packed[i];
    }
    switch (message->kind) {
    case SWIM_HELLO:
        pack_hello(&message->news[0], &hello);
        envelope.body_case = TURMERIC__ENVELOPE__BODY_HELLO;
        envelope.hello = &hello;
        break;
    case SWIM_PING:
        ping.sequence = message->sequence;
        ping.revision = (uint64_t)message->revision;
        ping.n_news = (size_t)message->news_count;
        ping.news = news;
        envelope.body_case = TURMERIC__ENVELOPE__BODY_PING;
        envelope.ping = &ping;
        break;
    case SWIM_ACK:
        ack.sequence = message->sequence;
        ack.revision = (uint64_t)message->revision;
        ack.about = message->about;
        ack.n_news = (size_t)message->news_count;
        ack.news = news;
        envelope.body_case = TURMERIC__ENVELOPE__BODY_ACK;
        envelope.ack = &ack;
        break;
    case SWIM_PING_REQ:
        ping_req.sequence = message->sequence;
        ping_req.target = message->about;
        ping_req.n_news = (size_t)message->news_count;
        ping_req.news = news;
        envelope.body_case = TURMERIC__ENVELOPE__BODY_PING_REQ;
        envelope.ping_req = &ping_req;
        break;
    }
    use(&envelope, argument);
}

static bool
read_text(const char *text, char *out, size_t bytes)
{
    size_t length = strlen(text);

    if (length == 0 || length >= bytes) {
        return false;
    }
    memcpy(out, text, length + 1);
    return true;
}

static bool
read_identity(const char *name, const char *data_centre, const char *address,
              const char *peer_address, struct member_info *info)
{
    if (!read_text(name, info->name, sizeof(info->name)) ||
        !read_text(data_centre, info->data_centre,
                   sizeof(info->data_centre)) ||
        !read_text(address, info->address, sizeof(info->address)) ||
        !read_text(peer_address, info->peer_address,
                   sizeof(info->peer_address))) {
        return false;
    }
    info->id = hash_text(info->name);
    return true;
}

static bool
read_news(const Turmeric__MemberNews *news, struct member_info *info)
{
    memset(info, 0, sizeof(*info));
    if (news->state > MEMBER_DEAD ||
        !read_identity(news->name, news->data_centre, news->address,
                       news->peer_address, info)) {
        return false;
    }
    info->start = news->start;
    info->refutation = news->refutation;
    info->state = (enum member_state)news->state;
    return info->id == news->id;
}

/* Unusable news is skipped and counted; the rest of the message counts. */
static void
read_all_news(Turmeric__MemberNews **news, size_t count,
              struct swim_message *message)
{
    for (size_t i = 0; i < count && message->news_count < SWIM_NEWS_MAX; i++) {
        if (read_news(news[i], &message->news[message->news_count])) {
            message->news_count++;
        }
        else {
            refusal_add(ERR_BAD_FRAME);
        }
    }
}

static bool
read_hello(const Turmeric__Hello *hello, struct swim_message *message,
           struct err *err)
{
    struct member_info *info = &message->news[0];

    memset(info, 0, sizeof(*info));
    if (!read_identity(hello->name, hello->data_centre, hello->address,
                       hello->peer_address, info)) {
        return err_set(err, ERR_BAD_FRAME, "identity in a Hello");
    }
    info->start = hello->start;
    message->kind = SWIM_HELLO;
    message->news_count = 1;
    return true;
}

/**
 * swim_unpack() - check and copy a received message
 * @envelope: the envelope
 * @message: receives the message
 * @err: filled in on failure
 *
 * Return: false with ERR_BAD_FRAME when it is no message of membership.
 */
bool
swim_unpack(const Turmeric__Envelope *envelope, struct swim_message *message,
            struct err *err)
{
    message->sequence = 0;
    message->about = 0;
    message->revision = 0;
    message->news_count = 0;
    switch (envelope->body_case) {
    case TURMERIC__ENVELOPE__BODY_HELLO:
        return read_hello(envelope->hello, message, err);
    case TURMERIC__ENVELOPE__BODY_PING:
        message->kind = SWIM_PING;
        message->sequence = envelope->ping->sequence;
        message->revision = (int64_t)envelope->ping->revision;
        read_all_news(envelope->ping->news, envelope->ping->n_news, message);
        return true;
    case TURMERIC__ENVELOPE__BODY_ACK:
        message->kind = SWIM_ACK;
        message->sequence = envelope->ack->sequence;
        message->about = envelope->ack->about;
        message->revision = (int64_t)envelope->ack->revision;
        read_all_news(envelope->ack->news, envelope->ack->n_news, message);
        return true;
    case TURMERIC__ENVELOPE__BODY_PING_REQ:
        message->kind = SWIM_PING_REQ;
        message->sequence = envelope->ping_req->sequence;
        message->about = envelope->ping_req->target;
        read_all_news(envelope->ping_req->news, envelope->ping_req->n_news,
                      message);
        return true;
    default:
        return err_set(err, ERR_BAD_FRAME, "body %d for membership",
                       (int)envelope->body_case);
    }
}
