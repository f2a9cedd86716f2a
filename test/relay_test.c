/*
 * Tests of the relay over real connections: what callers and targets receive
 * when targets fail in different ways.
 */
#include <arpa/inet.h>
#include <curl/curl.h>
#include <glib.h>
#include <http_parser.h>
#include <json-c/json.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/view/fns.h"
#include "gate/choose/dat.h"
#include "gate/relay/dat.h"
#include "gate/relay/fns.h"
#include "gate/quota/dat.h"
#include "gate/quota/fns.h"
#include "gate/team/dat.h"
#include "gate/relay/internal.h"
#include "platform/dat.h"
#include "platform/fns.h"
#include "cases.h"
#include "relay_fixture.h"
#include "script.h"
#include "support.h"

#define OK_HEAD "HTTP/1.1 200 OK\r\nAttempt-Id: %ID%\r\nServer-Seal: s\r\n"
#define OK OK_HEAD "Content-Length: 4\r\n\r\ndone"
#define CHUNKED OK_HEAD "Transfer-Encoding: chunked\r\n\r\n"
#define OTHER_TYPE OK_HEAD "Content-Type: application/json\r\n"
#define EVENTS_TYPE OK_HEAD "Content-Type: text/event-stream\r\n"
#define TEXT1 "id: 1\ndata: a\n\n"
#define EVENT1 "f\r\n" TEXT1 "\r\n"
#define TEXT2 "id: 2\ndata: b\n\n"
#define EVENT2 "f\r\n" TEXT2 "\r\n"
#define TEXT3 "id: 3\ndata: c\n\n"
#define EVENT3 "f\r\n" TEXT3 "\r\n"
#define END "0\r\n\r\n"
#define ENCODED                                                               \
    OK_HEAD "Content-Encoding: gzip\r\nContent-Length: 4\r\n\r\ngzip"
#define BUSY                                                                  \
    "HTTP/1.1 503 Busy\r\nAttempt-Id: %ID%\r\nNot-Executed: 1\r\n"            \
    "Content-Length: 0\r\n\r\n"

struct fixture {
    struct scripted_target script;
    struct gate_settings settings;
    struct relay_port port;
    struct relay *relay;
    pthread_t thread;
    pthread_mutex_t lock;
    pthread_cond_t drained_changed;
    bool drained;
};

static void
on_activity(struct relay_port *port, struct activity_report *report)
{
    (void)port;
    activity_report_free(report);
}

static void
on_drained(struct relay_port *port)
{
    struct fixture *fixture =
        (struct fixture *)((char *)port - offsetof(struct fixture, port));

    pthread_mutex_lock(&fixture->lock);
    fixture->drained = true;
    pthread_cond_broadcast(&fixture->drained_changed);
    pthread_mutex_unlock(&fixture->lock);
}

static const struct relay_port_ops port_ops = {on_activity,  drop_crashes,
                                               drop_leaving, drop_pause,
                                               on_drained,   drop_quota};

static void
fixture_init(struct fixture *fixture, const char *const *answers, int targets)
{
    struct gate_config *config;
    struct err err = {0};

    memset(fixture, 0, sizeof(*fixture));
    pthread_mutex_init(&fixture->lock, NULL);
    pthread_cond_init(&fixture->drained_changed, NULL);
    script_start(&fixture->script, answers, targets);
    fill_settings(&fixture->settings);
    fixture->port.ops = &port_ops;
    fixture->relay =
        relay_new(&fixture->settings, &platform_dialect, &fixture->port, &err);
    g_assert_nonnull(fixture->relay);
    config = parse_config();
    g_assert_true(relay_post_config(fixture->relay, config));
    gate_config_unref(config);
    for (int i = 0; i < targets; i++) {
        post_target(fixture->relay, i, fixture->script.ports[i]);
    }
    relay_post_targets_listed(fixture->relay);
}

static void
fixture_run(struct fixture *fixture)
{
    test_duty_start(relay_duty(fixture->relay), &fixture->thread);
}

static void
fixture_start(struct fixture *fixture, const char *const *answers, int targets)
{
    fixture_init(fixture, answers, targets);
    fixture_run(fixture);
}

static void
fixture_stop(struct fixture *fixture)
{
    test_duty_stop(relay_duty(fixture->relay), fixture->thread);
    relay_free(fixture->relay);
    script_stop(&fixture->script);
    pthread_mutex_destroy(&fixture->lock);
    pthread_cond_destroy(&fixture->drained_changed);
}

/* Reads until the peer closes the connection. */
static char *
read_all(int fd)
{
    GString *text = g_string_new(NULL);
    char bytes[1024];
    ssize_t count;

    while ((count = recv(fd, bytes, sizeof(bytes), 0)) > 0) {
        g_string_append_len(text, bytes, count);
    }
    return g_string_free(text, FALSE);
}

/* The body without chunk framing; "<end>" stands for the last chunk. */
static char *
decode_chunks(const char *answer)
{
    const char *body = strstr(answer, "\r\n\r\n");
    GString *text = g_string_new(NULL);

    if (body == NULL || strstr(answer, "chunked") == NULL) {
        return g_string_free(text, FALSE);
    }
    body += 4;
    while (*body != '\0') {
        char *start;
        size_t bytes = strtoul(body, &start, 16);

        if (bytes == 0) {
            g_string_append(text, "<end>");
            break;
        }
        g_string_append_len(text, start + 2, (gssize)bytes);
        body = start + 2 + bytes + 2;
    }
    return g_string_free(text, FALSE);
}

/*
 * Guards against responses that are mixed up, truncated or made up, requests
 * that run twice, and refusals that wrongly claim that a request has not run.
 * The request asks to close the connection, which marks the end of the
 * response.
 */
struct relay_case {
    const char *name;
    const char *path;
    const char *extra_lines; /* of the request head */
    const char *answers[SCRIPT_RESPONSES_MAX];
    const char *prefix; /* of the response to the caller */
    const char *suffix;
    int arrivals;
};

static const struct relay_case relay_cases[] = {
    {"passed", "/once/1", "", {OK}, "HTTP/1.1 200", "\r\n\r\ndone", 1},
    {"no_route", "/other/1", "", {OK}, "HTTP/1.1 404", "}\n", 0},
    {"target_error_forwarded",
     "/once/1",
     "",
     {"HTTP/1.1 500 E\r\nAttempt-Id: %ID%\r\nServer-Seal: s\r\n"
      "Content-Length: 1\r\n\r\nx"},
     "HTTP/1.1 500",
     "x",
     1},
    {"unsigned_once",
     "/once/1",
     "",
     {"HTTP/1.1 200 OK\r\nAttempt-Id: %ID%\r\nContent-Length: 1\r\n\r\nx"},
     "HTTP/1.1 502",
     "}\n",
     1},
    {"unsigned_safe",
     "/safe/1",
     "",
     {"HTTP/1.1 200 OK\r\nAttempt-Id: %ID%\r\nContent-Length: 1\r\n\r\nx", OK},
     "HTTP/1.1 200",
     "done",
     2},
    {"busy_once", "/once/1", "", {BUSY, OK}, "HTTP/1.1 200", "done", 2},
    {"unproven_busy_once",
     "/once/1",
     "",
     {"HTTP/1.1 503 B\r\nAttempt-Id: %ID%\r\nServer-Seal: s\r\n"
      "Content-Length: 0\r\n\r\n"},
     "HTTP/1.1 502",
     "}\n",
     1},
    {"misdirected",
     "/once/1",
     "",
     {"HTTP/1.1 421 M\r\nInstance-Id: i-9\r\nContent-Length: 0\r\n\r\n", OK},
     "HTTP/1.1 200",
     "done",
     2},
    {"closed_once", "/once/1", "", {"<close>"}, "HTTP/1.1 502", "}\n", 1},
    {"reset_once", "/once/1", "", {"<reset>"}, "HTTP/1.1 502", "}\n", 1},
    {"head_cut_behind_length",
     "/once/1",
     "",
     {OK_HEAD "Content-Length: 0\r\n<close>"},
     "HTTP/1.1 502",
     "}\n",
     1},
    {"head_cut_in_name",
     "/once/1",
     "",
     {OK_HEAD "Conten<close>"},
     "HTTP/1.1 502",
     "}\n",
     1},
    {"head_cut_safe",
     "/safe/1",
     "",
     {OK_HEAD "Content-Length: 0\r<close>", OK},
     "HTTP/1.1 200",
     "done",
     2},
    {"closed_safe", "/safe/1", "", {"<close>", OK}, "HTTP/1.1 200", "done", 2},
    {"cut_short_safe",
     "/safe/1",
     "",
     {OK_HEAD "Content-Length: 9\r\n\r\nhalf<close>", OK},
     "HTTP/1.1 200",
     "done",
     2},
    {"cut_short_once",
     "/once/1",
     "",
     {OK_HEAD "Content-Length: 9\r\n\r\nhalf<close>"},
     "HTTP/1.1 502",
     "}\n",
     1},
    {"cut_chunks_safe",
     "/safe/1",
     "",
     {CHUNKED "4\r\nhalf\r\n<close>", OK},
     "HTTP/1.1 200",
     "done",
     2},
    {"no_length",
     "/once/1",
     "",
     {OK_HEAD "\r\nall<close>"},
     "HTTP/1.1 200",
     "all",
     1},
    {"no_length_second_response_once",
     "/once/1",
     "",
     {OK_HEAD "\r\nall" OK "<close>"},
     "HTTP/1.1 502",
     "}\n",
     1},
    {"no_length_second_response_safe",
     "/safe/1",
     "",
     {OK_HEAD "\r\nall" OK "<close>", OK},
     "HTTP/1.1 200",
     "\r\n\r\ndone",
     2},
    {"second_response_within_length",
     "/once/1",
     "",
     {OK_HEAD
      "Content-Length: 43\r\n\r\nhalfHTTP/1.1 500 E\r\nAttempt-Id: a-1\r\n\r\nfail"},
     "HTTP/1.1 502",
     "}\n",
     1},
    {"no_length_request_echoed",
     "/once/1",
     "",
     {OK_HEAD "\r\nGET /once/1 HTTP/1.1\r\nAttempt-Id: a-1\r\n\r\n<close>"},
     "HTTP/1.1 200",
     "Attempt-Id: a-1\r\n\r\n",
     1},
    {"no_length_reset_safe",
     "/safe/1",
     "",
     {OK_HEAD "\r\npart<reset>", OK},
     "HTTP/1.1 200",
     "done",
     2},
    {"not_http_once",
     "/once/1",
     "",
     {"garbage\r\n\r\n<hold>"},
     "HTTP/1.1 502",
     "}\n",
     1},
    {"not_http_safe",
     "/safe/1",
     "",
     {"garbage\r\n\r\n<hold>", OK},
     "HTTP/1.1 200",
     "done",
     2},
    {"other_answer_then_own",
     "/once/1",
     "",
     {"HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nServer-Seal: s\r\n"
      "Content-Length: 5\r\n\r\nother" OK},
     "HTTP/1.1 200",
     "done",
     1},
    {"other_answer_only",
     "/once/1",
     "",
     {"HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nServer-Seal: s\r\n"
      "Content-Length: 5\r\n\r\nother<close>"},
     "HTTP/1.1 502",
     "}\n",
     1},
    {"interim_answer",
     "/once/1",
     "",
     {"HTTP/1.1 100 Continue\r\n\r\n" OK},
     "HTTP/1.1 200",
     "done",
     1},
    {"interim_answer_with_id",
     "/once/1",
     "",
     {"HTTP/1.1 103 Hints\r\nAttempt-Id: %ID%\r\n\r\n" OK},
     "HTTP/1.1 200",
     "done",
     1},
    {"encoded_once", "/once/1", "", {ENCODED}, "HTTP/1.1 502", "}\n", 1},
    {"encoded_safe", "/safe/1", "", {ENCODED, OK}, "HTTP/1.1 200", "done", 2},
    {"encoded_failure",
     "/once/1",
     "",
     {"HTTP/1.1 500 E\r\nAttempt-Id: %ID%\r\nServer-Seal: s\r\n"
      "Content-Encoding: gzip\r\nContent-Length: 1\r\n\r\nx"},
     "HTTP/1.1 502",
     "}\n",
     1},
    {"encoded_in_transfer_once",
     "/once/1",
     "",
     {OK_HEAD "Transfer-Encoding: gzip, chunked\r\n\r\n4\r\ndone\r\n" END},
     "HTTP/1.1 502",
     "}\n",
     1},
    {"encoded_stream",
     "/stream/1",
     "",
     {OK_HEAD "Content-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n"
              "4\r\ngzip\r\n" END,
      CHUNKED EVENT1 END},
     "HTTP/1.1 200",
     TEXT1 "<end>",
     2},
    {"encoded_with_space_in_name",
     "/once/1",
     "",
     {OK_HEAD "Content-Encoding : gzip\r\nContent-Length: 4\r\n\r\ngzip"},
     "HTTP/1.1 502",
     "}\n",
     1},
    {"length_with_space_in_name",
     "/once/1",
     "",
     {OK_HEAD "Content-Length : 4\r\n\r\ndone"},
     "HTTP/1.1 502",
     "}\n",
     1},
    {"request_with_space_in_name",
     "/once/1",
     "Hold : x\r\n",
     {OK},
     "HTTP/1.1 400",
     "}\n",
     0},
    {"success_that_says_not_run",
     "/once/1",
     "",
     {OK_HEAD "Not-Executed: 1\r\nContent-Length: 4\r\n\r\ndone", OK},
     "HTTP/1.1 502",
     "}\n",
     1},
    {"two_attempt_ids",
     "/once/1",
     "",
     {"HTTP/1.1 200 OK\r\nAttempt-Id: a-2\r\nAttempt-Id: a-1\r\n"
      "Server-Seal: s\r\nContent-Length: 4\r\n\r\ndone<close>"},
     "HTTP/1.1 502",
     "}\n",
     1},
    {"two_deadlines",
     "/once/1",
     "Deadline-Ms: 900\r\nDeadline-Ms: 99999\r\n",
     {OK},
     "HTTP/1.1 400",
     "}\n",
     0},
    {"two_models",
     "/once/1",
     "Model: m\r\nModel: o\r\n",
     {OK},
     "HTTP/1.1 400",
     "}\n",
     0},
    {"listed_attempt_id",
     "/once/1",
     "Connection: Attempt-Id\r\n",
     {OK},
     "HTTP/1.1 200",
     "done",
     1},
    {"listed_deadline",
     "/once/1",
     "Connection: Deadline-Ms\r\nDeadline-Ms: 0\r\n",
     {OK},
     "HTTP/1.1 503",
     "}\n",
     0},
    {"value_with_trailing_space",
     "/once/1",
     "",
     {"HTTP/1.1 200 OK\r\nAttempt-Id: %ID% \r\nServer-Seal: s\r\n"
      "Transfer-Encoding: chunked \r\n\r\n4\r\ndone\r\n" END},
     "HTTP/1.1 200",
     "done",
     1},
    {"encoded_refusal",
     "/once/1",
     "",
     {"HTTP/1.1 503 Busy\r\nAttempt-Id: %ID%\r\nNot-Executed: 1\r\n"
      "Content-Encoding: gzip\r\nContent-Length: 4\r\n\r\ngzip",
      OK},
     "HTTP/1.1 200",
     "done",
     2},
    {"two_lengths",
     "/once/1",
     "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
     {OK},
     "HTTP/1.1 400",
     "}\n",
     0},
    {"bad_deadline",
     "/once/1",
     "Deadline-Ms: soon\r\n",
     {OK},
     "HTTP/1.1 400",
     "}\n",
     0},
    {"deadline_once",
     "/once/1",
     "Deadline-Ms: 150\r\n",
     {"<hold>"},
     "HTTP/1.1 504",
     "}\n",
     1},
    {"deadline_not_sent",
     "/empty/1",
     "Deadline-Ms: 150\r\n",
     {OK},
     "HTTP/1.1 503",
     "}\n",
     0},
    {"stream",
     "/stream/1",
     "",
     {CHUNKED EVENT1 EVENT2 END},
     "HTTP/1.1 200",
     TEXT1 TEXT2 "<end>",
     1},
    {"stream_resumed",
     "/stream/1",
     "",
     {CHUNKED EVENT1 EVENT2 "5\r\nid: 3\r\n<close>", CHUNKED EVENT3 END},
     "HTTP/1.1 200",
     TEXT1 TEXT2 TEXT3 "<end>",
     2},
    {"stream_repeats_events",
     "/stream/1",
     "",
     {CHUNKED EVENT1 EVENT2 "<reset>", CHUNKED EVENT2 EVENT3 END},
     "HTTP/1.1 200",
     TEXT1 TEXT2 TEXT3 "<end>",
     2},
    {"stream_with_gap",
     "/stream/1",
     "",
     {CHUNKED EVENT1 EVENT3 "<hold>", CHUNKED EVENT2 EVENT3 END},
     "HTTP/1.1 200",
     TEXT1 TEXT2 TEXT3 "<end>",
     2},
    {"stream_fragment_of_a_broken_run",
     "/stream/1",
     "",
     {CHUNKED "8\r\nid: 1\nda\r\n<close>", CHUNKED EVENT1 EVENT2 END},
     "HTTP/1.1 200",
     TEXT1 TEXT2 "<end>",
     2},
    {"stream_cut_off_at_its_end",
     "/stream/1",
     "",
     {CHUNKED EVENT1 "5\r\nid: 2\r\n" END, CHUNKED EVENT2 END},
     "HTTP/1.1 200",
     TEXT1 TEXT2 "<end>",
     2},
    {"stream_cut_off_without_length",
     "/stream/1",
     "",
     {OK_HEAD "\r\n" TEXT1 "id: 2\ndata: <close>", CHUNKED EVENT2 END},
     "HTTP/1.1 200",
     TEXT1 TEXT2 "<end>",
     2},
    {"stream_cut_off_in_its_first_event",
     "/stream/1",
     "",
     {CHUNKED "5\r\nid: 1\r\n" END, CHUNKED EVENT1 END},
     "HTTP/1.1 200",
     TEXT1 "<end>",
     2},
    {"stream_cut_off_not_resumable",
     "/fixed/1",
     "",
     {CHUNKED EVENT1 "5\r\nid: 2\r\n" END},
     "HTTP/1.1 200",
     TEXT1,
     1},
    {"stream_cut_off_not_begun_not_resumable",
     "/fixed/1",
     "",
     {CHUNKED "5\r\nid: 1\r\n" END},
     "HTTP/1.1 502",
     "}\n",
     1},
    {"stream_ends_with_comment",
     "/fixed/1",
     "",
     {CHUNKED EVENT1 "5\r\n\n: x\n\r\n" END},
     "HTTP/1.1 200",
     TEXT1 "\n: x\n<end>",
     1},
    {"stream_of_blank_lines",
     "/fixed/1",
     "",
     {CHUNKED "1\r\n\n\r\n" END},
     "HTTP/1.1 200",
     "\n<end>",
     1},
    {"stream_with_a_head_in_it",
     "/stream/1",
     "",
     {OK_HEAD "\r\n" TEXT1 "HTTP/1.1 500 E\r\nContent-Length: 7\r\n\r\n"
              "error\n\n<close>",
      CHUNKED EVENT2 END},
     "HTTP/1.1 200",
     TEXT1 TEXT2 "<end>",
     2},
    {"stream_with_an_event_without_id",
     "/stream/1",
     "",
     {CHUNKED EVENT1 "d\r\ndata: error\n\n\r\n" END, CHUNKED EVENT2 END},
     "HTTP/1.1 200",
     TEXT1 TEXT2 "<end>",
     2},
    {"stream_then_event_without_id",
     "/stream/1",
     "",
     {CHUNKED EVENT1 "<close>", CHUNKED "d\r\ndata: error\n\n\r\n" END},
     "HTTP/1.1 200",
     TEXT1,
     2},
    {"stream_resumed_at_its_end",
     "/stream/1",
     "",
     {CHUNKED EVENT1 "<close>",
      EVENTS_TYPE "Transfer-Encoding: chunked\r\n\r\n" END},
     "HTTP/1.1 200",
     TEXT1 "<end>",
     2},
    {"stream_type_with_parameter",
     "/stream/1",
     "",
     {CHUNKED EVENT1 "<close>",
      OK_HEAD "Content-Type: Text/Event-Stream;charset=utf-8\r\n"
              "Transfer-Encoding: chunked\r\n\r\n" END},
     "HTTP/1.1 200",
     TEXT1 "<end>",
     2},
    {"stream_then_refusal",
     "/stream/1",
     "",
     {CHUNKED EVENT1 "<close>", BUSY, CHUNKED EVENT2 END},
     "HTTP/1.1 200",
     TEXT1 TEXT2 "<end>",
     3},
    {"stream_repeated_to_its_end",
     "/stream/1",
     "",
     {CHUNKED EVENT1 EVENT2 "<close>", CHUNKED EVENT1 EVENT2 END},
     "HTTP/1.1 200",
     TEXT1 TEXT2 "<end>",
     2},
    {"stream_then_shorter_run",
     "/thrice/1",
     "",
     {CHUNKED EVENT1 EVENT2 "<close>", CHUNKED EVENT1 END, CHUNKED EVENT3 END},
     "HTTP/1.1 200",
     TEXT1 TEXT2 TEXT3 "<end>",
     3},
    {"stream_then_empty_body_without_length",
     "/thrice/1",
     "",
     {CHUNKED EVENT1 "<close>", EVENTS_TYPE "\r\n<close>", CHUNKED EVENT2 END},
     "HTTP/1.1 200",
     TEXT1 TEXT2 "<end>",
     3},
    {"stream_then_empty_body_without_type",
     "/thrice/1",
     "",
     {CHUNKED EVENT1 "<close>", OK_HEAD "Content-Length: 0\r\n\r\n",
      CHUNKED EVENT2 END},
     "HTTP/1.1 200",
     TEXT1 TEXT2 "<end>",
     3},
    {"stream_empty",
     "/fixed/1",
     "",
     {EVENTS_TYPE "Transfer-Encoding: chunked\r\n\r\n" END},
     "HTTP/1.1 200",
     "<end>",
     1},
    {"stream_empty_without_length",
     "/stream/1",
     "",
     {EVENTS_TYPE "\r\n<close>", CHUNKED EVENT1 END},
     "HTTP/1.1 200",
     TEXT1 "<end>",
     2},
    {"stream_empty_without_length_not_resumable",
     "/fixed/1",
     "",
     {EVENTS_TYPE "\r\n<close>"},
     "HTTP/1.1 502",
     "}\n",
     1},
    {"stream_without_length",
     "/fixed/1",
     "",
     {EVENTS_TYPE "\r\n" TEXT1 TEXT2 "<close>"},
     "HTTP/1.1 200",
     TEXT1 TEXT2 "<end>",
     1},
    {"stream_of_no_content",
     "/fixed/1",
     "",
     {"HTTP/1.1 204 N\r\nAttempt-Id: %ID%\r\nServer-Seal: s\r\n\r\n"},
     "HTTP/1.1 204",
     "\r\n\r\n",
     1},
    {"stream_then_error",
     "/thrice/1",
     "",
     {CHUNKED EVENT1 "<close>",
      "HTTP/1.1 400 E\r\nAttempt-Id: %ID%\r\nServer-Seal: s\r\n"
      "Content-Length: 4\r\n\r\nx: y",
      CHUNKED EVENT2 END},
     "HTTP/1.1 200",
     TEXT1 TEXT2 "<end>",
     3},
    {"stream_then_unproven_refusal",
     "/thrice/1",
     "",
     {CHUNKED EVENT1 "<close>",
      "HTTP/1.1 429 E\r\nAttempt-Id: %ID%\r\nServer-Seal: s\r\n"
      "Content-Length: 0\r\n\r\n",
      CHUNKED EVENT2 END},
     "HTTP/1.1 200",
     TEXT1 TEXT2 "<end>",
     3},
    {"stream_then_other_body",
     "/thrice/1",
     "",
     {CHUNKED EVENT1 "<close>",
      OTHER_TYPE "Content-Length: 7\r\n\r\nerror\n\n", CHUNKED EVENT2 END},
     "HTTP/1.1 200",
     TEXT1 TEXT2 "<end>",
     3},
    {"stream_then_empty_other_body",
     "/thrice/1",
     "",
     {CHUNKED EVENT1 "<close>", OTHER_TYPE "Content-Length: 0\r\n\r\n",
      CHUNKED EVENT2 END},
     "HTTP/1.1 200",
     TEXT1 TEXT2 "<end>",
     3},
    {"stream_then_no_content",
     "/thrice/1",
     "",
     {CHUNKED EVENT1 "<close>",
      "HTTP/1.1 204 N\r\nAttempt-Id: %ID%\r\nServer-Seal: s\r\n\r\n",
      CHUNKED EVENT2 END},
     "HTTP/1.1 200",
     TEXT1 TEXT2 "<end>",
     3},
    {"stream_then_other_body_at_last",
     "/stream/1",
     "",
     {CHUNKED EVENT1 "<close>", OTHER_TYPE "Content-Length: 3\r\n\r\n:\n\n"},
     "HTTP/1.1 200",
     TEXT1,
     2},
    {"other_body_on_stream_route",
     "/stream/1",
     "",
     {OTHER_TYPE "Content-Length: 4\r\n\r\ndone"},
     "HTTP/1.1 200",
     "done",
     1},
    {"stream_not_resumable",
     "/fixed/1",
     "",
     {CHUNKED EVENT1 "<close>", OK},
     "HTTP/1.1 200",
     TEXT1,
     1},
    {"stream_not_begun",
     "/fixed/1",
     "",
     {BUSY, CHUNKED EVENT1 END},
     "HTTP/1.1 200",
     TEXT1 "<end>",
     2},
};

static void
test_relay(gconstpointer data)
{
    const struct relay_case *c = data;
    struct fixture fixture;
    char *request = g_strdup_printf("GET %s HTTP/1.1\r\nHost: h\r\n"
                                    "Attempt-Id: a-1\r\n%s"
                                    "Connection: close\r\n\r\n",
                                    c->path, c->extra_lines);
    char *answer;
    char *events;
    int fd;

    fixture_start(&fixture, c->answers, 3);
    fd = connect_to(relay_front_port(fixture.relay));
    send_text(fd, request);
    answer = read_all(fd);
    g_assert_true(g_str_has_prefix(answer, c->prefix));
    events = decode_chunks(answer);
    if (events[0] != '\0') {
        g_assert_cmpstr(events, ==, c->suffix);
    }
    else {
        g_assert_true(g_str_has_suffix(answer, c->suffix));
    }
    g_free(events);
    g_assert_cmpint(script_request_count(&fixture.script), ==, c->arrivals);
    close(fd);
    g_free(answer);
    g_free(request);
    fixture_stop(&fixture);
}

/* Guards against a response, sent in part because it is too long to be kept,
 * that another run continues. */
struct long_body_case {
    const char *name;
    const char *head;
    const char *next; /* of the next run, if there is one */
};

static const struct long_body_case long_body_cases[] = {
    {"other_type", OTHER_TYPE, CHUNKED EVENT1 END},
    {"error", "HTTP/1.1 400 E\r\nAttempt-Id: %ID%\r\nServer-Seal: s\r\n",
     "HTTP/1.1 400 E\r\nAttempt-Id: %ID%\r\nServer-Seal: s\r\n"
     "Content-Length: 4\r\n\r\nnext"},
};

static void
test_long_body(gconstpointer data)
{
    const struct long_body_case *c = data;
    char *body = g_strnfill(BUFFERED_BODY_MAX_BYTES + 1000, 'x');
    char *first =
        g_strdup_printf("%sContent-Length: %d\r\n\r\n%s<close>", c->head,
                        BUFFERED_BODY_MAX_BYTES + 2000, body);
    const char *const answers[] = {first, c->next, NULL};
    struct fixture fixture;
    char *answer;
    int fd;

    fixture_start(&fixture, answers, 2);
    fd = connect_to(relay_front_port(fixture.relay));
    send_text(fd, "GET /stream/1 HTTP/1.1\r\nHost: h\r\n"
                  "Attempt-Id: a-1\r\nConnection: close\r\n\r\n");
    answer = read_all(fd);
    g_assert_cmpstr(strstr(answer, "xx") + strlen(body), ==, "");
    g_assert_cmpint(script_request_count(&fixture.script), ==, 1);
    close(fd);
    g_free(answer);
    g_free(first);
    g_free(body);
    fixture_stop(&fixture);
}

/* Guards against a second response that a caller gets as a part of a complete
 * one, because the first is too long to be kept until its end. */
struct second_case {
    const char *name;
    int body_bytes;
    int behind_bytes; /* of the body, behind the second response */
    const char *framing;
};

static const struct second_case second_cases[] = {
    {"closed_short", 1000, 0, ""},
    {"closed_150_kb", 150000, 0, ""},
    {"closed_long", BUFFERED_BODY_MAX_BYTES + 1000, 0, ""},
    {"closed_longer", 3000000, 0, ""},
    {"closed_more_behind", BUFFERED_BODY_MAX_BYTES + 1000, 300000, ""},
    {"length_long", BUFFERED_BODY_MAX_BYTES + 1000, 0, "Content-Length: %d"},
    {"length_more_behind", BUFFERED_BODY_MAX_BYTES + 1000, 300000,
     "Content-Length: %d"},
    {"chunk_long", BUFFERED_BODY_MAX_BYTES + 1000, 0,
     "Transfer-Encoding: chunked"},
};

#define SECOND "HTTP/1.1 200 OK\r\nServer-Seal: s\r\nAttempt-Id: a-1\r\n\r\nab"

static char *
format_second(const struct second_case *c)
{
    char *body = g_strnfill((gsize)c->body_bytes, 'x');
    char *behind = g_strnfill((gsize)c->behind_bytes, 'y');
    int bytes = c->body_bytes + c->behind_bytes + (int)strlen(SECOND);
    bool chunked = strstr(c->framing, "chunked") != NULL;
    GString *text = g_string_new(OTHER_TYPE);

    if (strstr(c->framing, "Length") != NULL) {
        g_string_append_printf(text, "Content-Length: %d\r\n", bytes);
    }
    g_string_append(text,
                    chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n");
    if (chunked) {
        g_string_append_printf(text, "%x\r\n", (unsigned)bytes);
    }
    g_string_append_printf(text, "%s" SECOND "%s", body, behind);
    g_string_append(text, chunked ? "\r\n0\r\n\r\n<close>" : "<close>");
    g_free(body);
    g_free(behind);
    return g_string_free(text, FALSE);
}

/* Whether a client takes an answer as complete. */
static bool
is_complete(const char *answer)
{
    const char *body = strstr(answer, "\r\n\r\n") + 4;
    const char *length = strstr(answer, "Content-Length: ");

    if (length != NULL && length < body) {
        return (gint64)strlen(body) ==
               g_ascii_strtoll(length + strlen("Content-Length: "), NULL, 10);
    }
    return g_str_has_suffix(answer, "\r\n0\r\n\r\n");
}

static void
test_second(gconstpointer data)
{
    const struct second_case *c = data;
    char *first = format_second(c);
    const char *const answers[] = {first, NULL};
    struct fixture fixture;
    char *answer;
    int fd;

    fixture_start(&fixture, answers, 1);
    fd = connect_to(relay_front_port(fixture.relay));
    send_text(fd, "GET /once/1 HTTP/1.1\r\nHost: h\r\n"
                  "Attempt-Id: a-1\r\nConnection: close\r\n\r\n");
    answer = read_all(fd);
    g_assert_true(!g_str_has_prefix(answer, "HTTP/1.1 200") ||
                  !is_complete(answer));
    close(fd);
    g_free(answer);
    g_free(first);
    fixture_stop(&fixture);
}

/* Guards against requests that reach a target altered, or with fields that
 * only the relay may set. */
struct forwarded_case {
    const char *name;
    const char *header_lines; /* sent by the caller */
    const char *expected;     /* at the target; NULL for no check */
    const char *forbidden;
};

static const struct forwarded_case forwarded_cases[] = {
    {"other_field", "X-Any: v", "X-Any: v\r\n", NULL},
    {"instance", "Expect-Instance: i-9", "Expect-Instance: i-", "i-9"},
    {"urgency", "Request-Urgency: 9", "Request-Urgency: 1", "Urgency: 9"},
    {"hold", "Hold: x", NULL, "Hold"},
    {"pin", "Pin-Ms: 5", NULL, "Pin-Ms"},
    {"backup", "Kv-Backup: 1.2.3.4:5", NULL, "Kv-Backup"},
    {"from", "Kv-From: 1.2.3.4:5/x", NULL, "Kv-From"},
    {"hop_by_hop", "Connection: close, X-Hop\r\nX-Hop: v", NULL, "X-Hop"},
    {"hop_by_hop_in_second_list",
     "Connection: keep-alive\r\nConnection: X-Hop\r\nX-Hop: v", NULL, "X-Hop"},
    {"last_event", "Last-Event-Id: 12", "Last-Event-Id: 12", NULL},
    {"body", "Content-Length: 3\r\n\r\nabc", "\r\n\r\nabc", NULL},
    {"chunked", "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n",
     "Content-Length: 3\r\n\r\nabc", NULL},
    {"trailer",
     "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX-Late: 1\r\n",
     "Content-Length: 3\r\n\r\nabc", "X-Late"},
    /* The caller's Connection field names what is for the target. */
    {"model_listed", "Connection: Model\r\nModel: m", "Model: m\r\n", NULL},
    {"tokens_listed", "Connection: close, token-count\r\nToken-Count: 1,2",
     "Token-Count: 1,2\r\n", NULL},
    {"parts_listed", "Connection: Prompt-Prefix\r\nPrompt-Prefix: a:1",
     "Prompt-Prefix: a:1\r\n", NULL},
    {"last_event_listed", "Connection: Last-Event-Id\r\nLast-Event-Id: 12",
     "Last-Event-Id: 12", NULL},
    {"hint_listed", "Connection: Length-Hint\r\nLength-Hint: 9",
     "Length-Hint: 9\r\n", NULL},
    {"host_listed", "Connection: Host", "Host: h\r\n", NULL},
    {"type_listed", "Connection: Content-Type\r\nContent-Type: a/b",
     "Content-Type: a/b\r\n", NULL},
    {"reserved_listed", "Connection: Hold\r\nHold: x", NULL, "Hold"},
};

static void
test_forwarded(gconstpointer data)
{
    const struct forwarded_case *c = data;
    static const char *const answers[] = {OK, NULL};
    struct fixture fixture;
    char *request = g_strdup_printf("POST /once/a%%20b?q=1 HTTP/1.1\r\n"
                                    "Host: h\r\nAttempt-Id: a-1\r\n%s\r\n\r\n",
                                    c->header_lines);
    const char *seen;
    int fd;

    fixture_start(&fixture, answers, 1);
    fd = connect_to(relay_front_port(fixture.relay));
    send_text(fd, request);
    script_wait_requests(&fixture.script, 1);
    seen = script_get_request(&fixture.script, 0);
    g_assert_true(g_str_has_prefix(seen, "POST /once/a%20b?q=1 HTTP/1.1\r\n"));
    g_assert_nonnull(strstr(seen, "Attempt-Id: a-1\r\n"));
    g_assert_nonnull(strstr(seen, "Deadline-Ms: "));
    if (c->expected != NULL) {
        g_assert_nonnull(strstr(seen, c->expected));
    }
    if (c->forbidden != NULL) {
        g_assert_null(strstr(seen, c->forbidden));
    }
    close(fd);
    g_free(request);
    fixture_stop(&fixture);
}

/* Guards against a request that is refused for good although its head is
 * within the limit of the configuration. */
struct head_case {
    const char *name;
    size_t head_max_bytes;
    int fields;
    int value_bytes;
    const char *status_line;
};

static const struct head_case head_cases[] = {
    {"fields_128", 16384, 128, 1, "HTTP/1.1 200"},
    {"fields_129", 16384, 129, 1, "HTTP/1.1 200"},
    {"fields_1000", 16384, 1000, 1, "HTTP/1.1 200"},
    {"bytes_within_limit", 200000, 150, 1000, "HTTP/1.1 200"},
    {"bytes_beyond_limit", 16384, 20, 1000, "HTTP/1.1 431"},
    {"bytes_beyond_high_limit", 200000, 300, 1000, "HTTP/1.1 431"},
};

static char *
format_head(const struct head_case *c)
{
    GString *text = g_string_new("GET /once/1 HTTP/1.1\r\nHost: h\r\n"
                                 "Attempt-Id: a-1\r\nConnection: close\r\n");
    char *value = g_strnfill((gsize)c->value_bytes, 'v');

    for (int i = 1; i <= c->fields; i++) {
        g_string_append_printf(text, "X-%d: %s\r\n", i, value);
    }
    g_free(value);
    return g_string_free(g_string_append(text, "\r\n"), FALSE);
}

static void
test_head(gconstpointer data)
{
    const struct head_case *c = data;
    static const char *const answers[] = {OK, NULL};
    struct gate_config *config = parse_config();
    struct fixture fixture;
    char *head = format_head(c);
    char *answer;
    int fd;

    fixture_init(&fixture, answers, 1);
    config->version++;
    config->head_max_bytes = c->head_max_bytes;
    g_assert_true(relay_post_config(fixture.relay, config));
    gate_config_unref(config);
    fixture_run(&fixture);
    fd = connect_to(relay_front_port(fixture.relay));
    send_text(fd, head);
    answer = read_all(fd);
    g_assert_true(g_str_has_prefix(answer, c->status_line));
    close(fd);
    g_free(answer);
    g_free(head);
    fixture_stop(&fixture);
}

/* Guards against header fields of a response that don't reach the caller, and
 * against those of the target's connection that do. */
struct returned_case {
    const char *name;
    const char *head_lines; /* sent by the target */
    const char *expected;   /* at the caller */
    const char *forbidden;  /* at the caller; NULL for no check */
};

static const struct returned_case returned_cases[] = {
    {"other_field", "X-Any: v\r\n", "\r\nX-Any: v\r\n", NULL},
    {"hop_by_hop", "Connection: X-Hop\r\nX-Hop: v\r\n", "\r\n\r\ndone",
     "X-Hop"},
    {"hop_by_hop_in_second_list",
     "Connection: keep-alive\r\nConnection: X-Hop\r\nX-Hop: v\r\n",
     "\r\n\r\ndone", "X-Hop"},
    {"keep_alive", "Keep-Alive: timeout=9\r\n", "\r\n\r\ndone", "Keep-Alive"},
    {"other_protocol_offered", "Upgrade: h2c\r\nConnection: Upgrade\r\n",
     "\r\n\r\ndone", "pgrade"},
    /* The Connection field names what is for the caller. */
    {"seal_listed", "Connection: Server-Seal\r\n", "\r\nServer-Seal: s\r\n",
     NULL},
    {"id_listed", "Connection: keep-alive, attempt-id\r\n",
     "\r\nAttempt-Id: a-1\r\n", NULL},
    {"type_listed", "Connection: Content-Type\r\nContent-Type: a/b\r\n",
     "\r\nContent-Type: a/b\r\n", NULL},
    {"versions_listed",
     "Connection: Weight-Versions\r\nWeight-Versions: 3\r\n",
     "\r\nWeight-Versions: 3\r\n", NULL},
    {"retry_listed", "Connection: Retry-After\r\nRetry-After: 1\r\n",
     "\r\nRetry-After: 1\r\n", NULL},
};

static void
test_returned(gconstpointer data)
{
    const struct returned_case *c = data;
    char *first = g_strconcat(OK_HEAD, c->head_lines,
                              "Content-Length: 4\r\n\r\ndone", NULL);
    const char *const answers[] = {first, NULL};
    struct fixture fixture;
    char *answer;
    int fd;

    fixture_start(&fixture, answers, 1);
    fd = connect_to(relay_front_port(fixture.relay));
    send_text(fd, "GET /once/1 HTTP/1.1\r\nHost: h\r\n"
                  "Attempt-Id: a-1\r\nConnection: close\r\n\r\n");
    answer = read_all(fd);
    g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 200"));
    g_assert_nonnull(strstr(answer, c->expected));
    if (c->forbidden != NULL) {
        g_assert_null(strstr(answer, c->forbidden));
    }
    close(fd);
    g_free(answer);
    g_free(first);
    fixture_stop(&fixture);
}

static void
read_until(int fd, const char *end)
{
    GString *text = g_string_new(NULL);
    char byte;

    while (!g_str_has_suffix(text->str, end)) {
        g_assert_cmpint(recv(fd, &byte, 1, 0), ==, 1);
        g_string_append_c(text, byte);
    }
    g_string_free(text, TRUE);
}

/* Guards against a new connection for each request, and against bytes after a
 * response being taken for the response to the next request. */
struct reuse_case {
    const char *name;
    const char *answers[SCRIPT_RESPONSES_MAX];
    int connections;
};

static const struct reuse_case reuse_cases[] = {
    {"kept", {OK, OK}, 1},
    {"kept_for_ever",
     {OK_HEAD "Keep-Alive: timeout=9223372036854775807\r\n"
              "Content-Length: 4\r\n\r\ndone",
      OK},
     1},
    {"extra_bytes",
     {OK "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", OK},
     2},
    {"connection_close",
     {OK_HEAD "Connection: close\r\nContent-Length: 4\r\n\r\ndone", OK},
     2},
    {"keep_alive_timeout_zero",
     {OK_HEAD "Keep-Alive: timeout=0\r\nContent-Length: 4\r\n\r\ndone", OK},
     2},
};

static void
test_reuse(gconstpointer data)
{
    const struct reuse_case *c = data;
    static const char request[] =
        "GET /once/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: a-1\r\n\r\n";
    struct fixture fixture;
    int fd;

    fixture_start(&fixture, c->answers, 1);
    fd = connect_to(relay_front_port(fixture.relay));
    for (int i = 0; i < 2; i++) {
        send_text(fd, request);
        read_until(fd, "done");
    }
    g_assert_cmpint(script_connection_count(&fixture.script), ==,
                    c->connections);
    close(fd);
    fixture_stop(&fixture);
}

/* Guards against a response that arrives late on a kept connection and is
 * taken for the response to the next request: a refusal without an attempt id,
 * or a second copy of the response before. */
struct late_refusal_case {
    const char *name;
    const char *path;
    const char *answers[SCRIPT_RESPONSES_MAX];
    const char *prefix;
    int arrivals;
};

#define REFUSAL_WITHOUT_ID(status)                                            \
    "HTTP/1.1 " status " No\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"

#define COPY_HEAD "HTTP/1.1 200 OK\r\nAttempt-Id: a-1\r\nServer-Seal: s\r\n"
#define COPY COPY_HEAD "Content-Length: 4\r\n\r\ncopy"
#define CHUNKED_COPY                                                          \
    COPY_HEAD "Transfer-Encoding: chunked\r\n\r\n4\r\ncopy\r\n" END
#define FAILED_COPY                                                           \
    "HTTP/1.1 500 E\r\nAttempt-Id: a-1\r\nServer-Seal: s\r\n"                 \
    "Content-Length: 4\r\n\r\ncopy"

#define FAILED_LATE                                                           \
    "HTTP/1.1 500 E\r\nAttempt-Id: %ID%\r\nServer-Seal: s\r\n"                \
    "Content-Length: 1\r\n\r\nx"

static const struct late_refusal_case late_refusal_cases[] = {
    {"busy_once",
     "/once/2",
     {OK, REFUSAL_WITHOUT_ID("503")},
     "HTTP/1.1 502",
     2},
    {"misdirected_once",
     "/once/2",
     {OK, REFUSAL_WITHOUT_ID("421")},
     "HTTP/1.1 502",
     2},
    {"busy_safe",
     "/safe/2",
     {OK, REFUSAL_WITHOUT_ID("503"), OK},
     "HTTP/1.1 200",
     3},
    /* Second copies of the first answer. */
    {"copy_with_the_next_answer", "/once/2", {OK, COPY OK}, "HTTP/1.1 200", 2},
    {"copy_only", "/once/2", {OK, COPY "<close>"}, "HTTP/1.1 502", 2},
    {"copy_only_safe", "/safe/2", {OK, COPY "<close>", OK}, "HTTP/1.1 200", 3},
    {"copy_in_chunks", "/once/2", {OK, CHUNKED_COPY OK}, "HTTP/1.1 200", 2},
    {"copy_of_a_failure", "/once/2", {OK, FAILED_COPY OK}, "HTTP/1.1 200", 2},
    {"copy_then_nothing", "/once/2", {OK, COPY}, "HTTP/1.1 504", 2},
    {"late_interim_answers",
     "/once/2",
     {OK, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 P\r\n\r\n" OK},
     "HTTP/1.1 200",
     2},
    /* The first answer's head breaks off within a line. */
    {"value_then_failure",
     "/once/2",
     {OK, "HTTP/1.1 200 OK\r\nDate: Sat, 05" FAILED_LATE},
     "HTTP/1.1 502",
     2},
    {"value_then_failure_safe",
     "/safe/2",
     {OK, "HTTP/1.1 200 OK\r\nDate: Sat, 05" FAILED_LATE, OK},
     "HTTP/1.1 200",
     3},
    {"reason_then_failure",
     "/once/2",
     {OK, "HTTP/1.1 200 O" FAILED_LATE},
     "HTTP/1.1 502",
     2},
    {"failure_then_success",
     "/once/2",
     {OK, "HTTP/1.1 500 E\r\nDate: " OK},
     "HTTP/1.1 502",
     2},
    {"refusal_then_success",
     "/once/2",
     {OK, "HTTP/1.1 503 B\r\nNot-Executed: 1\r\nDate: " OK},
     "HTTP/1.1 502",
     2},
    {"field_names_http",
     "/once/2",
     {OK, "HTTP/1.1 200 OK\r\nVia: HTTP/1.1 a\r\nAttempt-Id: a-2\r\n"
          "Server-Seal: s\r\nContent-Length: 0\r\n\r\n"},
     "HTTP/1.1 200",
     2},
    {"copy_after_the_body", "/once/2", {OK COPY, OK}, "HTTP/1.1 200", 2},
    {"bytes_after_the_last_chunk",
     "/once/2",
     {CHUNKED "4\r\ndone\r\n" END COPY, OK},
     "HTTP/1.1 200",
     2},
};

static void
test_late_refusal(gconstpointer data)
{
    const struct late_refusal_case *c = data;
    struct fixture fixture;
    char *request = g_strdup_printf("GET %s HTTP/1.1\r\nHost: h\r\n"
                                    "Attempt-Id: a-2\r\n"
                                    "Deadline-Ms: 1000\r\n"
                                    "Connection: close\r\n\r\n",
                                    c->path);
    char *answer;
    int fd;

    fixture_start(&fixture, c->answers, 1);
    fd = connect_to(relay_front_port(fixture.relay));
    send_text(fd,
              "GET /once/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: a-1\r\n\r\n");
    read_until(fd, "done");
    send_text(fd, request);
    answer = read_all(fd);
    g_assert_true(g_str_has_prefix(answer, c->prefix));
    g_assert_null(strstr(answer, "copy"));
    g_assert_cmpint(script_request_count(&fixture.script), ==, c->arrivals);
    close(fd);
    g_free(answer);
    g_free(request);
    fixture_stop(&fixture);
}

/* Guards against a second copy of a response being taken for the response to
 * the same request, which came again to the target that had not served it. */
struct copy_case {
    const char *name;
    const char *path;
    const char *answers[SCRIPT_RESPONSES_MAX];
    int targets;
    int arrivals;
};

static const struct copy_case copy_cases[] = {
    {"refusal_once", "/once/1", {BUSY, "%LATE%" OK}, 1, 2},
    {"refusal_safe", "/safe/1", {BUSY, "%LATE%" OK}, 1, 2},
    {"failure_safe",
     "/safe/1",
     {"HTTP/1.1 500 E\r\nAttempt-Id: %ID%\r\nServer-Seal: s\r\n"
      "Content-Length: 1\r\n\r\nx",
      BUSY, "%LATE%" OK},
     2,
     3},
};

static void
test_copy(gconstpointer data)
{
    const struct copy_case *c = data;
    struct fixture fixture;
    char *request = g_strdup_printf("GET %s HTTP/1.1\r\nHost: h\r\n"
                                    "Attempt-Id: a-1\r\n"
                                    "Connection: close\r\n\r\n",
                                    c->path);
    char *answer;
    int fd;

    fixture_start(&fixture, c->answers, c->targets);
    fd = connect_to(relay_front_port(fixture.relay));
    send_text(fd, request);
    answer = read_all(fd);
    g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 200"));
    g_assert_true(g_str_has_suffix(answer, "\r\n\r\ndone"));
    g_assert_cmpint(script_request_count(&fixture.script), ==, c->arrivals);
    close(fd);
    g_free(answer);
    g_free(request);
    fixture_stop(&fixture);
}

/* Guards against requests to a target that other instances have filled,
 * according to the holder's total. */
struct total_case {
    const char *name;
    int running[2]; /* at the targets, from all instances */
    const char *expected;
};

static const struct total_case total_cases[] = {
    {"first_is_full", {8, 0}, "Expect-Instance: i-1"},
    {"second_is_full", {0, 8}, "Expect-Instance: i-0"},
};

static void
test_total(gconstpointer data)
{
    const struct total_case *c = data;
    static const char *const answers[] = {OK, NULL};
    struct activity_report *total = activity_report_new(2);
    struct fixture fixture;
    int fd;

    fixture_start(&fixture, answers, 2);
    total->totals = g_new0(struct target_activity, 2);
    total->total_count = 2;
    for (int i = 0; i < 2; i++) {
        char *id = g_strdup_printf("i-%d", i);

        total->totals[i].target_hash = hash_text(id);
        total->totals[i].running = c->running[i];
        g_free(id);
    }
    relay_post_activity_total(fixture.relay, total);
    fd = connect_to(relay_front_port(fixture.relay));
    send_text(fd,
              "GET /once/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: a-1\r\n\r\n");
    read_until(fd, "done");
    g_assert_nonnull(
        strstr(script_get_request(&fixture.script, 0), c->expected));
    close(fd);
    fixture_stop(&fixture);
}

/* Guards against a request that keeps running after its caller disconnects. */
static void
test_caller_disconnects(void)
{
    static const char *const answers[] = {"<hold>", NULL};
    struct fixture fixture;
    int fd;

    fixture_start(&fixture, answers, 1);
    fd = connect_to(relay_front_port(fixture.relay));
    send_text(fd,
              "GET /safe/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: a-1\r\n\r\n");
    script_wait_requests(&fixture.script, 1);
    close(fd);
    script_wait_closed(&fixture.script, 1);
    fixture_stop(&fixture);
}

/* Guards against a pipelined request that is lost or read as a part of the
 * first one. */
static void
test_pipelined(void)
{
    static const char *const answers[] = {OK, OK, NULL};
    struct fixture fixture;
    int fd;

    fixture_start(&fixture, answers, 1);
    fd = connect_to(relay_front_port(fixture.relay));
    send_text(fd, "GET /once/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: a-1\r\n\r\n"
                  "GET /once/2 HTTP/1.1\r\nHost: h\r\nAttempt-Id: a-2\r\n"
                  "\r\n");
    read_until(fd, "done");
    read_until(fd, "done");
    g_assert_cmpint(script_request_count(&fixture.script), ==, 2);
    close(fd);
    fixture_stop(&fixture);
}

/* Guards against a request that is refused because its caller could also speak
 * another protocol, and against bytes behind its head that are taken for a
 * request, or for none, against its framing. */
struct upgrade_case {
    const char *name;
    const char *text;     /* what the caller sends */
    const char *statuses; /* of the responses */
    const char *seen;     /* end of the first request at the target */
    int arrivals;
};

#define H2C                                                                   \
    "Host: h\r\nAttempt-Id: a-1\r\nUpgrade: h2c\r\n"                          \
    "HTTP2-Settings: AAMAAABk\r\nConnection: Upgrade, HTTP2-Settings"
#define H2C_LAST H2C ", close\r\n"
#define LAST_REQUEST                                                          \
    "GET /once/2 HTTP/1.1\r\nHost: h\r\nAttempt-Id: a-2\r\n"                  \
    "Connection: close\r\n\r\n"
#define CONNECT "CONNECT h:80 HTTP/1.1\r\nHost: h\r\nAttempt-Id: a-1\r\n"

static const struct upgrade_case upgrade_cases[] = {
    {"get", "GET /once/1 HTTP/1.1\r\n" H2C_LAST "\r\n", "200", "\r\n\r\n", 1},
    {"websocket",
     "GET /once/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: a-1\r\n"
     "Upgrade: websocket\r\nConnection: close, upgrade\r\n\r\n",
     "200", "\r\n\r\n", 1},
    {"body",
     "POST /once/1 HTTP/1.1\r\n" H2C_LAST "Content-Length: 3\r\n\r\nabc",
     "200", "\r\n\r\nabc", 1},
    {"chunks",
     "POST /once/1 HTTP/1.1\r\n" H2C_LAST
     "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
     "200", "\r\n\r\nabc", 1},
    {"next_request", "GET /once/1 HTTP/1.1\r\n" H2C "\r\n\r\n" LAST_REQUEST,
     "200 200", "\r\n\r\n", 2},
    {"body_then_request",
     "POST /once/1 HTTP/1.1\r\n" H2C "\r\nContent-Length: 3\r\n\r\n"
     "abc" LAST_REQUEST,
     "200 200", "\r\n\r\nabc", 2},
    {"chunks_then_request",
     "POST /once/1 HTTP/1.1\r\n" H2C
     "\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n" LAST_REQUEST,
     "200 200", "\r\n\r\nabc", 2},
    {"other_protocol",
     "GET /once/1 HTTP/1.1\r\n" H2C "\r\n\r\n"
     "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" LAST_REQUEST,
     "200 400", "\r\n\r\n", 1},
    {"two_lengths",
     "POST /once/1 HTTP/1.1\r\n" H2C "\r\nContent-Length: 3\r\n"
     "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" LAST_REQUEST,
     "400", NULL, 0},
    {"connect", CONNECT "\r\n" LAST_REQUEST, "400", NULL, 0},
    {"connect_body", CONNECT "Content-Length: 3\r\n\r\nabc" LAST_REQUEST,
     "400", NULL, 0},
    {"connect_upgrade",
     "CONNECT h:80 HTTP/1.1\r\n" H2C "\r\n\r\n" LAST_REQUEST, "400", NULL, 0},
};

/* The statuses of all responses in what a caller has received. */
static char *
read_statuses(const char *text)
{
    static const char start[] = "HTTP/1.1 ";
    GString *statuses = g_string_new(NULL);

    while ((text = strstr(text, start)) != NULL) {
        text += strlen(start);
        g_string_append_printf(statuses, "%s%.3s",
                               statuses->len > 0 ? " " : "", text);
    }
    return g_string_free(statuses, FALSE);
}

static void
test_upgrade(gconstpointer data)
{
    const struct upgrade_case *c = data;
    static const char *const answers[] = {OK, OK, NULL};
    struct fixture fixture;
    char *answer;
    char *statuses;
    int fd;

    fixture_start(&fixture, answers, 1);
    fd = connect_to(relay_front_port(fixture.relay));
    send_text(fd, c->text);
    answer = read_all(fd);
    statuses = read_statuses(answer);
    g_assert_cmpstr(statuses, ==, c->statuses);
    g_assert_cmpint(script_request_count(&fixture.script), ==, c->arrivals);
    if (c->seen != NULL) {
        const char *seen = script_get_request(&fixture.script, 0);

        g_assert_true(g_str_has_suffix(seen, c->seen));
        g_assert_null(strcasestr(seen, "upgrade"));
        g_assert_null(strcasestr(seen, "http2-settings"));
    }
    close(fd);
    g_free(statuses);
    g_free(answer);
    fixture_stop(&fixture);
}

/* Guards against requests that are cut off without a response when the process
 * stops: one that waits for a target, and one that a target still runs. */
struct drain_case {
    const char *name;
    int64_t grace_ms;
    const char *path;
    const char *prefix;
};

static const struct drain_case drain_cases[] = {
    {"waiting", 3200, "/empty/1", "HTTP/1.1 503"},
    {"at_a_target", 1600, "/once/1", "HTTP/1.1 502"},
};

static void
test_drain(gconstpointer data)
{
    const struct drain_case *c = data;
    static const char *const answers[] = {"<hold>", NULL};
    struct fixture fixture;
    char *request = g_strdup_printf("GET %s HTTP/1.1\r\nHost: h\r\n"
                                    "Attempt-Id: a-1\r\n\r\n",
                                    c->path);
    char *answer;
    int fd;

    fixture_init(&fixture, answers, 1);
    fixture.settings.limits.stop_grace_ms = c->grace_ms;
    fixture_run(&fixture);
    fd = connect_to(relay_front_port(fixture.relay));
    send_text(fd, request);
    relay_post_drain(fixture.relay);
    answer = read_all(fd);
    g_assert_true(g_str_has_prefix(answer, c->prefix));
    pthread_mutex_lock(&fixture.lock);
    while (!fixture.drained) {
        pthread_cond_wait(&fixture.drained_changed, &fixture.lock);
    }
    pthread_mutex_unlock(&fixture.lock);
    close(fd);
    g_free(answer);
    g_free(request);
    fixture_stop(&fixture);
}

/* Guards against an instance that reports itself ready, or is listed in
 * lookups, although it is not ready or is draining. */
struct local_case {
    const char *name;
    const char *path;
    bool draining;
    bool lookup;
    const char *prefix;
    const char *contains;
};

static const struct local_case local_cases[] = {
    {"ready", "/v1/readiness", false, false, "HTTP/1.1 200", ""},
    {"not_ready", "/v1/readiness", true, false, "HTTP/1.1 503", ""},
    {"unknown", "/v1/other", false, false, "HTTP/1.1 404", ""},
    {"lookup", "/v1/resolve?name=h&region=r&zone=z", false, true,
     "HTTP/1.1 200", "\"addresses\":[\"127.0.0.1:0\"],\"ttl_s\":2"},
    {"lookup_while_draining", "/v1/resolve?name=h", true, true, "HTTP/1.1 503",
     ""},
};

static void
test_local(gconstpointer data)
{
    const struct local_case *c = data;
    static const char *const answers[] = {NULL};
    struct fixture fixture;
    char *request = g_strdup_printf(
        "GET %s HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", c->path);
    char *answer;
    int fd;

    fixture_start(&fixture, answers, 1);
    if (c->draining) {
        relay_post_drain(fixture.relay);
    }
    fd = connect_to(c->lookup ? relay_lookup_port(fixture.relay)
                              : relay_ready_port(fixture.relay));
    send_text(fd, request);
    answer = read_all(fd);
    g_assert_true(g_str_has_prefix(answer, c->prefix));
    g_assert_nonnull(strstr(answer, c->contains));
    close(fd);
    g_free(answer);
    g_free(request);
    fixture_stop(&fixture);
}

int
main(int argc, char **argv)
{
    static const struct cases groups[] = {
        CASES("/relay/answer", relay_cases, test_relay),
        CASES("/relay/long_body", long_body_cases, test_long_body),
        CASES("/relay/second", second_cases, test_second),
        CASES("/relay/forwarded", forwarded_cases, test_forwarded),
        CASES("/relay/head", head_cases, test_head),
        CASES("/relay/returned", returned_cases, test_returned),
        CASES("/relay/upgrade", upgrade_cases, test_upgrade),
        CASES("/relay/reuse", reuse_cases, test_reuse),
        CASES("/relay/late_refusal", late_refusal_cases, test_late_refusal),
        CASES("/relay/copy", copy_cases, test_copy),
        CASES("/relay/total", total_cases, test_total),
        CASES("/relay/drain", drain_cases, test_drain),
        CASES("/relay/local", local_cases, test_local),
    };

    g_test_init(&argc, &argv, NULL);
    cases_add(groups, G_N_ELEMENTS(groups));
    g_test_add_func("/relay/caller_disconnects", test_caller_disconnects);
    g_test_add_func("/relay/pipelined", test_pipelined);
    return g_test_run();
}
