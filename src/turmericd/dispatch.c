/**
 * DOC: Passes messages from other instances to the duty that handles them.
 */
#include <glib.h>
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>
#include <sys/types.h>

#include "base/dat.h"
#include "base/fns.h"
#include "kv/dat.h"
#include "kv/fns.h"
#include "tree/dat.h"
#include "tree/fns.h"
#include "proto/peer.pb-c.h"
#include "turmericd/fleet/peer/dat.h"
#include "turmericd/fleet/peer/fns.h"
#include "turmericd/fleet/member/dat.h"
#include "turmericd/fleet/member/fns.h"
#include "turmericd/fleet/observe/dat.h"
#include "turmericd/fleet/observe/fns.h"
#include "turmericd/state/config/dat.h"
#include "turmericd/state/config/fns.h"
#include "turmericd/state/claim/dat.h"
#include "turmericd/state/claim/fns.h"
#include "turmericd/place/dat.h"
#include "turmericd/place/fns.h"
#include "turmericd/serve/call/dat.h"
#include "turmericd/serve/call/fns.h"
#include "turmericd/serve/route/dat.h"
#include "turmericd/serve/route/fns.h"
#include "turmericd/serve/forward/dat.h"
#include "turmericd/serve/forward/fns.h"
#include "turmericd/serve/frontend/dat.h"
#include "turmericd/serve/frontend/fns.h"
#include "turmericd/serve/operator/dat.h"
#include "turmericd/serve/operator/fns.h"
#include "turmericd/dat.h"
#include "turmericd/fns.h"

static bool
post_strike(struct root *root, Turmeric__Envelope *envelope, struct err *err)
{
    const Turmeric__Strike *strike = envelope->strike;
    bool posted = route_post_strike(root->route, strike->fingerprint,
                                    strike->target, strike->incarnation, err);

    if (posted) {
        turmeric__envelope__free_unpacked(envelope, NULL);
    }
    return posted;
}

static bool
post_to_duty(struct root *root, Turmeric__Envelope *envelope, struct err *err)
{
    switch (envelope->body_case) {
    case TURMERIC__ENVELOPE__BODY_HELLO:
    case TURMERIC__ENVELOPE__BODY_PING:
    case TURMERIC__ENVELOPE__BODY_ACK:
    case TURMERIC__ENVELOPE__BODY_PING_REQ:
        return member_post_envelope(root->member, envelope, err);
    case TURMERIC__ENVELOPE__BODY_CONFIG_ENTRY:
    case TURMERIC__ENVELOPE__BODY_CONFIG_FRESH:
    case TURMERIC__ENVELOPE__BODY_CONFIG_FETCH:
    case TURMERIC__ENVELOPE__BODY_CONFIG_SNAPSHOT:
        return config_post_envelope(root->config, envelope, err);
    case TURMERIC__ENVELOPE__BODY_REPORTS:
        return observe_post_envelope(root->observe, envelope, err);
    case TURMERIC__ENVELOPE__BODY_WANT:
    case TURMERIC__ENVELOPE__BODY_WANT_REPLY:
    case TURMERIC__ENVELOPE__BODY_SETTLE:
    case TURMERIC__ENVELOPE__BODY_SETTLE_REPLY:
    case TURMERIC__ENVELOPE__BODY_TURN_ASK:
    case TURMERIC__ENVELOPE__BODY_TURN_GRANT:
    case TURMERIC__ENVELOPE__BODY_TURN_DONE:
    case TURMERIC__ENVELOPE__BODY_EVICT:
        return place_post_envelope(root->place, envelope, err);
    case TURMERIC__ENVELOPE__BODY_CLAIM_ASK:
    case TURMERIC__ENVELOPE__BODY_CLAIM_REPLY:
        return claim_post_envelope(root->claim, envelope, err);
    case TURMERIC__ENVELOPE__BODY_STRIKE:
        return post_strike(root, envelope, err);
    default:
        return err_set(err, ERR_BAD_FRAME,
                       "message has no body of a known type");
    }
}

/**
 * root_dispatch() - pass a message to the duty that handles it
 * @root: the root
 * @envelope: the message; this function takes ownership
 *
 * A message that the duty can't accept is counted and freed. The protocols
 * between instances tolerate that: they resend what must arrive.
 */
void
root_dispatch(struct root *root, Turmeric__Envelope *envelope)
{
    struct err err = {0};

    if (!post_to_duty(root, envelope, &err)) {
        refusal_add(err.kind);
        counter_add(CTR_PEER_DROPPED, 1);
        turmeric__envelope__free_unpacked(envelope, NULL);
    }
}
