/* Targets that send scripted responses, for tests of the relay. */
#ifndef TEST_SCRIPT_H
#define TEST_SCRIPT_H

enum { SCRIPT_TARGETS_MAX = 3, SCRIPT_RESPONSES_MAX = 6 };

/**
 * struct scripted_target - targets on loopback that share a list of responses
 * @answers: response to each request in order of arrival, ended by NULL.
 *           "%ID%" stands for the request's Attempt-Id, "%LATE%" for the
 *           connection's response before this one, if any. A final "<close>"
 *           closes the connection, "<reset>" resets it, "<hold>" waits until
 *           the peer closes it.
 * @changed: signalled when @requests or @closed_by_peer grows
 * @requests: received requests, heads and bodies
 * @connections: number of accepted connections
 * @closed_by_peer: number of connections closed by the peer during "<hold>"
 */
struct scripted_target {
    const char *const *answers;
    pthread_mutex_t lock;
    pthread_cond_t changed;
    GPtrArray *requests;
    int connections;
    int closed_by_peer;
    int listeners[SCRIPT_TARGETS_MAX];
    int ports[SCRIPT_TARGETS_MAX];
    GArray *threads;
    GArray *sockets;
};

void script_start(struct scripted_target *script, const char *const *answers,
                  int targets);
void script_stop(struct scripted_target *script);
int script_request_count(struct scripted_target *script);
int script_connection_count(struct scripted_target *script);
const char *script_get_request(struct scripted_target *script, int index);
void script_wait_requests(struct scripted_target *script, int count);
void script_wait_closed(struct scripted_target *script, int count);

#endif
