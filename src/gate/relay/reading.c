/**
 * DOC: How long a caller may take to send a request.
 *
 * A bound that each byte pushes back never ends a request that arrives a byte
 * at a time, and a fixed one for the whole request cuts a long body on a slow
 * link.
 */
#include <glib.h>
#include <http_parser.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/view/fns.h"
#include "gate/choose/dat.h"
#include "gate/choose/fns.h"
#include "gate/relay/dat.h"
#include "gate/relay/fns.h"
#include "gate/team/dat.h"
#include "gate/relay/internal.h"

/* Slower callers than on any link in use. */
enum { BODY_MIN_BYTES_PER_S = 1000 };

/**
 * reading_due_ms() - when a request that is being read takes too long
 * @progress: what was read of it
 * @timeout_ms: time that its head may take, and that its body may pause
 *
 * The whole head must arrive within @timeout_ms. The body may take the same
 * time once more, and a second for each 1,000 bytes received of it.
 */
int64_t
reading_due_ms(const struct reading_progress *progress, int64_t timeout_ms)
{
    if (progress->head_end_ms == 0) {
        return progress->start_ms + timeout_ms;
    }
    return progress->head_end_ms + timeout_ms +
           (int64_t)progress->body_bytes * 1000 / BODY_MIN_BYTES_PER_S;
}
