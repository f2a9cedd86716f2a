/* Tests of the table of calls (serve/call). */
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <sys/types.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "tree/dat.h"
#include "tree/fns.h"
#include "turmericd/state/claim/dat.h"
#include "turmericd/serve/call/dat.h"
#include "turmericd/serve/call/fns.h"
#include "serve.h"
#include "cases.h"

enum { ANSWER_BYTES = 5 * CALL_OUTPUT_BUFFER_BYTES + 123, READ_BYTES = 1000 };

static struct handle
open_call(struct calls *calls)
{
    struct call_request request = {.leaf = 1, .body_bytes = 4};
    struct handle call;

    request.body = (unsigned char *)strdup("body");
    g_assert_true(call_open(calls, &request, &call, NULL));
    return call;
}

static const struct call_answer_head ok = {200, "text/plain"};

/**
 * struct lifecycle_case - operations on a call and the state they lead to
 * @script: one letter for each operation; an upper-case letter means that the
 *          operation must be rejected:
 *            s start the answer, w write "ab", f end the answer as complete,
 *            b end the answer as cut off, r refuse the call,
 *            c close the call as its caller and open another in its slot
 * @phase: expected result of call_wait_answer()
 * @output: expected output; NULL when the call is not read
 * @end: expected last result of call_read()
 */
struct lifecycle_case {
    const char *name;
    const char *script;
    enum call_phase phase;
    const char *output;
    ssize_t end;
};

/* Guards against a refusal that replaces an answer which has started, a second
 * answer to a call, an answer that reaches the next caller of a slot, and an
 * answer that is cut off but read as complete. */
static const struct lifecycle_case lifecycle_cases[] = {
    {"complete", "swwf", CALL_DONE, "abab", 0},
    {"empty", "sf", CALL_DONE, "", 0},
    {"refused", "r", CALL_FAILED, "", -1},
    {"refused_once", "rR", CALL_FAILED, "", -1},
    {"refused_then_answered", "rSWF", CALL_FAILED, "", -1},
    {"refused_while_answering", "swr", CALL_ANSWERING, "ab", -1},
    {"broken", "swb", CALL_ANSWERING, "ab", -1},
    {"broken_then_written", "swbWF", CALL_ANSWERING, "ab", -1},
    {"complete_then_refused", "swfR", CALL_DONE, "ab", 0},
    {"started_twice", "sSwf", CALL_DONE, "ab", 0},
    {"written_before_the_head", "Wsf", CALL_DONE, "", 0},
    {"closed", "cSWFR", CALL_WAITING, NULL, 0},
    {"closed_while_answering", "swcWFR", CALL_WAITING, NULL, 0},
};

static bool
run_operation(struct calls *calls, struct handle call, char operation)
{
    struct err err = {.kind = ERR_DEADLINE};

    switch (g_ascii_tolower(operation)) {
    case 's':
        return call_start_answer(calls, call, &ok);
    case 'w':
        return call_write(calls, call, "ab", 2);
    case 'f':
        return call_end_answer(calls, call, true);
    case 'b':
        return call_end_answer(calls, call, false);
    default:
        return call_fail(calls, call, &err, OUTCOME_NOT_RUN);
    }
}

static void
check_output(struct calls *calls, struct handle call,
             const struct lifecycle_case *c)
{
    struct call_answer_head head = {0};
    struct err err = {0};
    enum outcome outcome;
    char buffer[READ_BYTES];
    GString *output = g_string_new(NULL);
    ssize_t count;

    g_assert_cmpint(call_wait_answer(calls, call, &head, &err), ==, c->phase);
    if (c->phase == CALL_FAILED) {
        g_assert_cmpint(err.kind, ==, ERR_DEADLINE);
        g_assert_true(call_get_failure(calls, call, &err, &outcome));
        g_assert_cmpint(outcome, ==, OUTCOME_NOT_RUN);
    }
    else {
        g_assert_cmpint(head.status, ==, 200);
    }
    while ((count = call_read(calls, call, buffer, sizeof(buffer))) > 0) {
        g_string_append_len(output, buffer, count);
    }
    g_assert_cmpint(count, ==, c->end);
    g_assert_cmpstr(output->str, ==, c->output);
    g_string_free(output, TRUE);
}

static void
test_lifecycle(gconstpointer data)
{
    const struct lifecycle_case *c = data;
    struct calls *calls = calls_new(1, NULL);
    struct handle call = open_call(calls);
    struct handle next = call;
    uint64_t stale_before = counter_read(CTR_ANSWER_STALE);
    uint64_t stale_count = 0;

    for (const char *operation = c->script; *operation != '\0'; operation++) {
        if (*operation == 'c') {
            call_close(calls, call);
            next = open_call(calls);
            g_assert_cmpuint(next.index, ==, call.index);
            continue;
        }
        stale_count += next.generation != call.generation;
        g_assert_cmpint(run_operation(calls, call, *operation), ==,
                        g_ascii_islower(*operation));
    }
    g_assert_cmpuint(counter_read(CTR_ANSWER_STALE) - stale_before, ==,
                     stale_count);
    if (c->output != NULL) {
        check_output(calls, next, c);
    }
    call_close(calls, next);
    g_assert_cmpuint(calls_count(calls), ==, 0);
    calls_free(calls);
}

/* Guards against a table that accepts more calls than it has slots. */
static void
test_table_full(void)
{
    struct calls *calls = calls_new(1, NULL);
    struct handle call = open_call(calls);
    struct call_request request = {0};
    struct handle second;
    struct err err = {0};

    g_assert_false(call_open(calls, &request, &second, &err));
    g_assert_cmpint(err.kind, ==, ERR_TABLE_FULL);
    call_close(calls, call);
    g_assert_true(call_open(calls, &request, &second, &err));
    calls_free(calls);
}

/* Guards against a copy of a request that shares its body with the call, which
 * may be closed before the copy is used. */
static void
test_copy_request(void)
{
    struct calls *calls = calls_new(1, NULL);
    struct handle call = open_call(calls);
    struct call_request copy;
    struct err err = {0};

    g_assert_true(call_copy_request(calls, call, &copy, &err));
    call_close(calls, call);
    g_assert_cmpstr((char *)copy.body, ==, "body");
    call_request_free(&copy);
    g_assert_false(call_copy_request(calls, call, &copy, &err));
    g_assert_cmpint(err.kind, ==, ERR_STOPPED);
    calls_free(calls);
}

/* Guards against a resume from generated text that lacks a part, because it is
 * too long or one event could not be stored. */
static void
test_generated_text(void)
{
    struct calls *calls = calls_new(1, NULL);
    struct handle call = open_call(calls);
    char *large = g_strnfill(CALL_TEXT_MAX_BYTES, 'x');
    char *text;

    call_append_text(calls, call, "ab", 2);
    call_append_text(calls, call, "c", 1);
    text = call_copy_text(calls, call);
    g_assert_cmpstr(text, ==, "abc");
    free(text);
    call_append_text(calls, call, large, CALL_TEXT_MAX_BYTES);
    g_assert_null(call_copy_text(calls, call));
    call_close(calls, call);
    call = open_call(calls);
    call_append_text(calls, call, NULL, 0);
    g_assert_null(call_copy_text(calls, call));
    g_free(large);
    calls_free(calls);
}

struct writer {
    struct calls *calls;
    struct handle call;
    bool written;
};

static void *
write_answer(void *argument)
{
    struct writer *writer = argument;
    unsigned char *data = malloc(ANSWER_BYTES);

    for (int i = 0; i < ANSWER_BYTES; i++) {
        data[i] = (unsigned char)(i % 251);
    }
    call_start_answer(writer->calls, writer->call, &ok);
    writer->written =
        call_write(writer->calls, writer->call, data, ANSWER_BYTES);
    call_end_answer(writer->calls, writer->call, true);
    free(data);
    return NULL;
}

/* Guards against output that is lost or reordered when the buffer is full, and
 * against a writer that waits forever for a caller that has closed its call.
 */
struct flow_control_case {
    const char *name;
    int read_bytes;
    bool written;
};

static const struct flow_control_case flow_control_cases[] = {
    {"reads_all", ANSWER_BYTES, true},
    {"closes_before_the_first_byte", 0, false},
    {"closes_in_the_middle", CALL_OUTPUT_BUFFER_BYTES, false},
};

static void
test_flow_control(gconstpointer data)
{
    const struct flow_control_case *c = data;
    struct calls *calls = calls_new(1, NULL);
    struct writer writer = {.calls = calls, .call = open_call(calls)};
    struct call_answer_head head;
    char buffer[READ_BYTES];
    pthread_t thread;
    int position = 0;

    pthread_create(&thread, NULL, write_answer, &writer);
    call_wait_answer(calls, writer.call, &head, NULL);
    while (position < c->read_bytes) {
        ssize_t count =
            call_read(calls, writer.call, buffer,
                      MIN(READ_BYTES, (size_t)(c->read_bytes - position)));

        g_assert_cmpint(count, >, 0);
        for (ssize_t i = 0; i < count; i++, position++) {
            g_assert_cmpint((unsigned char)buffer[i], ==, position % 251);
        }
    }
    if (c->written) {
        g_assert_cmpint(call_read(calls, writer.call, buffer, 1), ==, 0);
    }
    call_close(calls, writer.call);
    pthread_join(thread, NULL);
    g_assert_cmpint(writer.written, ==, c->written);
    calls_free(calls);
}

/* Guards against a writer that waits forever for a caller that neither reads
 * nor closes its connection. */
static void
test_write_timeout(void)
{
    struct calls *calls = calls_new(1, NULL);
    struct writer writer = {.calls = calls};
    struct err err = {0};
    enum outcome outcome;

    calls_set_write_timeout_ms(calls, 1);
    writer.call = open_call(calls);
    write_answer(&writer);
    g_assert_false(writer.written);
    g_assert_true(call_get_failure(calls, writer.call, &err, &outcome));
    g_assert_cmpint(err.kind, ==, ERR_TIMEOUT);
    calls_free(calls);
}

static const struct cases groups[] = {
    CASES("/call/lifecycle", lifecycle_cases, test_lifecycle),
    CASES("/call/flow_control", flow_control_cases, test_flow_control),
};

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    cases_add(groups, G_N_ELEMENTS(groups));
    g_test_add_func("/call/write_timeout", test_write_timeout);
    g_test_add_func("/call/table_full", test_table_full);
    g_test_add_func("/call/copy_request", test_copy_request);
    g_test_add_func("/call/generated_text", test_generated_text);
    return g_test_run();
}
