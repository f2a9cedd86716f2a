/* Tests of what is passed on as one event stream, without a network. */
#include <glib.h>
#include <http_parser.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/choose/dat.h"
#include "gate/choose/fns.h"
#include "gate/relay/dat.h"
#include "gate/relay/internal.h"
#include "cases.h"

/* Guards against bytes of a response that is no part of a stream in the middle
 * of it. */
struct continues_case {
    const char *name;
    struct stream_facts facts;
    bool continues;
};

static const struct continues_case continues_cases[] = {
    {"events", {200, 200, BODY_EVENTS}, true},
    {"undeclared", {200, 200, BODY_UNDECLARED}, true},
    {"other_body", {200, 200, BODY_OTHER}, false},
    {"other_success", {200, 206, BODY_EVENTS}, false},
    {"no_content", {200, 204, BODY_UNDECLARED}, false},
    {"error", {200, 500, BODY_EVENTS}, false},
    {"refusal", {200, 429, BODY_UNDECLARED}, false},
};

static void
test_continues(gconstpointer data)
{
    const struct continues_case *c = data;

    g_assert_cmpint(stream_continues(&c->facts), ==, c->continues);
}

int
main(int argc, char **argv)
{
    static const struct cases groups[] = {
        CASES("/stream/continues", continues_cases, test_continues),
    };

    g_test_init(&argc, &argv, NULL);
    cases_add(groups, G_N_ELEMENTS(groups));
    return g_test_run();
}
