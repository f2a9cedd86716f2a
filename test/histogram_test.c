/* Tests of the latency histograms. */
#include <glib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "cases.h"

/* Guards against a latency that is counted in the wrong bucket or sum. */
struct histogram_case {
    const char *name;
    enum histogram histogram;
    int64_t ms;
    const char *expected_text;
    const char *unexpected_text;
};

static const struct histogram_case histogram_cases[] = {
    {"inside_bucket", HIST_FIRST_BYTE, 7,
     "request_first_byte_ms_bucket{le=\"10\"} 1\n",
     "request_first_byte_ms_bucket{le=\"5\"} 1\n"},
    {"at_bucket_bound", HIST_REQUEST_TOTAL, 50,
     "request_whole_ms_bucket{le=\"50\"} 1\n",
     "request_whole_ms_bucket{le=\"20\"} 1\n"},
    {"above_last_bound", HIST_QUEUE_WAIT, 99999,
     "request_wait_ms_bucket{le=\"+Inf\"} 1\n",
     "request_wait_ms_bucket{le=\"10000\"} 1\n"},
    {"negative", HIST_ORDER, -5, "order_ms_sum 0\norder_ms_count 1\n",
     "order_ms_count 0\n"},
};

static void
test_histogram(gconstpointer data)
{
    const struct histogram_case *c = data;
    char text[16384];

    histogram_add(c->histogram, c->ms);
    g_assert_cmpuint(histograms_format(text, sizeof(text)), <, sizeof(text));
    g_assert_nonnull(strstr(text, c->expected_text));
    g_assert_null(strstr(text, c->unexpected_text));
}

int
main(int argc, char **argv)
{
    static const struct cases groups[] = {
        CASES("/histogram", histogram_cases, test_histogram),
    };

    g_test_init(&argc, &argv, NULL);
    cases_add(groups, G_N_ELEMENTS(groups));
    return g_test_run();
}
