/**
 * DOC: Memory of an engine for the tokens of its requests.
 *
 * Load: requests whose prompts and longest responses differ by a factor of
 * ten, sent to the same engines by up to 60 instances that learn of each
 * other's requests a few hundred milliseconds late. An engine crashes when the
 * requests that it holds take more memory than it has, and takes all of them
 * with it, so a request waits rather than being sent there.
 *
 * Prompts count in full: a part that the engine shares between requests may be
 * evicted at any time.
 */
#include <glib.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/choose/dat.h"
#include "gate/choose/fns.h"

/* With 60 instances, a margin for one request of each would exceed the memory
 * of an engine, which then got none. A third of it holds what comes between
 * two reports at 25 times the mean rate of an engine of P. What is left holds
 * more requests of P and T than an engine has slots. */
enum { MARGIN_DIVISOR = 3 };

/**
 * token_share() - tokens that the instances that are heard from may use
 * @capacity: tokens that an engine has room for
 * @view: what this instance knows of the others
 *
 * Those that aren't heard from may use an equal share each: both sides of a
 * partition between instances go on sending.
 */
static int64_t
token_share(int64_t capacity, const struct token_view *view)
{
    int instances = MAX(view->instances, 1);

    return capacity * CLAMP(view->heard, 1, instances) / instances;
}

/* If each instance adds at most an equal part of what the last reports leave
 * free, all of them together don't exceed it. So the margin is what this
 * instance has added since, with this request, for each of the others. For the
 * first request only it is bounded: when an engine has restarted, all that
 * wait would else be sent there at once. */
static int64_t
margin(int64_t share, int64_t tokens, const struct token_view *view)
{
    int64_t added = MAX(view->unreported, 0) + tokens;
    int others = CLAMP(view->heard, 1, MAX(view->instances, 1)) - 1;

    return view->unreported > 0 ? others * added
                                : MIN(others * added, share / MARGIN_DIVISOR);
}

/**
 * target_memory_fits() - whether an engine could ever hold a request
 * @needs: needs of the request
 */
bool
target_memory_fits(const struct request_needs *needs)
{
    return needs->token_capacity <= 0 ||
           needs->tokens <= needs->token_capacity;
}

/**
 * target_memory_admits() - whether an engine has memory for another request
 * @target: the engine
 * @needs: needs of the request
 * @view: what is known of other instances' requests there
 *
 * Without a capacity, or without known tokens of the request, it has. A
 * request that fits is sent to an engine of which no other is known, since it
 * would wait forever where the margin alone keeps it out.
 */
bool
target_memory_admits(const struct target_record *target,
                     const struct request_needs *needs,
                     const struct token_view *view)
{
    int64_t share = token_share(needs->token_capacity, view);
    int64_t held = target->tokens + target->tokens_elsewhere;

    if (needs->token_capacity <= 0 || needs->tokens <= 0) {
        return true;
    }
    if (held == 0) {
        return needs->tokens <= needs->token_capacity;
    }
    return held + needs->tokens + margin(share, needs->tokens, view) <= share;
}
