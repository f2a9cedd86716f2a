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

/**
 * stream_event_verdict() - what to do with an event of a run
 * @event: the event
 * @last_id: id of the last event that the caller has; -1 for none
 * @run_id: id of the last event of the run; -1 for none
 *
 * Each event with data has the id that follows the one before it: nothing else
 * tells whether it belongs to the stream. Comments need none. A run may begin
 * with events that the caller has, but its own ids never fall back: where they
 * do, the pieces of two runs are in one response.
 */
enum event_verdict
stream_event_verdict(const struct stream_event *event, int64_t last_id,
                     int64_t run_id)
{
    if (!event->valid || (event->id < 0 && event->has_data)) {
        return EVENT_INVALID;
    }
    if (event->id < 0) {
        return EVENT_PASS;
    }
    if (event->id <= run_id) {
        return EVENT_REPEATED;
    }
    if ((run_id >= 0 && event->id != run_id + 1) ||
        (last_id >= 0 && event->id - 1 > last_id)) {
        return EVENT_GAP;
    }
    if (event->id <= last_id) {
        return EVENT_SKIP;
    }
    return EVENT_PASS;
}

/**
 * stream_end_fault() - why the end of a run is not the end of its stream
 * @end: the end
 *
 * A run that sends events ends the stream when it has come to the last one
 * that the caller has. A run without an event was asked for what follows that
 * one, and only an end that the target has marked says that nothing does: a
 * connection that ends there may as well have been broken off. To end a stream
 * that has begun, the response must also say that it is one.
 */
enum answer_fault
stream_end_fault(const struct stream_end *end)
{
    bool whole = end->run_id >= 0
                     ? end->run_id == end->last_id
                     : end->marked && (end->declared || !end->begun);

    if (end->cut_off) {
        return FAULT_CUT_OFF;
    }
    return whole ? FAULT_NONE : FAULT_ENDED_EARLY;
}
