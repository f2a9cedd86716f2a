/**
 * DOC: Whether the responses to the runs of a request make up one stream.
 */
#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/choose/dat.h"
#include "gate/choose/fns.h"

/**
 * stream_continues() - whether a response goes on with a stream that has begun
 * @facts: what the head of a response that could be passed on states
 *
 * The caller has the head of the first response, so nothing of a response of
 * another kind may follow it.
 */
bool
stream_continues(const struct stream_facts *facts)
{
    return facts->status == facts->begun_status &&
           facts->body_type != BODY_OTHER;
}
