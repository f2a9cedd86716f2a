/* Plays, segment by segment, what targets write on their connections. */
#ifndef TEST_WIRE_PLAY_H
#define TEST_WIRE_PLAY_H

enum {
    WIRE_REQUESTS_MAX = 3,
    WIRE_ANSWERS_MAX = 5,
    WIRE_TARGETS_MAX = 2,
    WIRE_LONG_BYTES = 300000, /* more than the relay holds back */
};

/**
 * struct wire_case - requests of one caller, and what the targets write
 * @requests: method and path, sent one after the other on one connection,
 * with the ids a-1, a-2, a-3
 * @answers: what is written after each request that arrives at a target, in
 * order of arrival. "%ID%" stands for the request's id, "%LONG%" for
 * WIRE_LONG_BYTES. Each may end with
 * "<close>" or "<reset>" of the connection; what follows "<unread>" is still
 * unread when the caller's next request arrives. What precedes "<then>" is
 * written on the connection of the first request.
 * @expected: what the caller gets for each request, as wire_play() returns
 * it. Where the protocol allows several results, they are separated by " or ".
 * @targets: number of targets; 0 for two
 * @arrivals_max: requests that may arrive at targets; 0 for one for each
 * request of the caller
 */
struct wire_case {
    const char *name;
    const char *requests[WIRE_REQUESTS_MAX + 1];
    const char *answers[WIRE_ANSWERS_MAX + 1];
    const char *expected[WIRE_REQUESTS_MAX];
    int targets;
    int arrivals_max;
};

/* Every byte is a segment of its own. Other values are the number of bytes
 * after which the answers are split, 0 to split them nowhere. */
#define WIRE_SPLIT_ALL SIZE_MAX

/**
 * struct wire_result - what a caller and the targets saw
 * @replies: for each request: the status and the body, or the length of a long
 * one. A body that is not whole ends with "<cut>". A failure of the relay's
 * own has its outcome in place of the body. What breaks the protocol is named
 * in angle brackets.
 * @arrivals: requests that arrived at targets
 */
struct wire_result {
    char *replies[WIRE_REQUESTS_MAX];
    int arrivals;
};

struct wire_bench *wire_bench_new(void);
void wire_bench_free(struct wire_bench *bench);
void wire_play(struct wire_bench *bench, const struct wire_case *c,
               size_t split, struct wire_result *result);
void wire_result_clear(struct wire_result *result);
size_t wire_split_count(const struct wire_case *c);

#endif
