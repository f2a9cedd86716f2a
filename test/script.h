/* A target that answers by a script, for tests of the relay. */
#ifndef TEST_SCRIPT_H
#define TEST_SCRIPT_H

enum { SCRIPT_TARGETS_MAX = 2, SCRIPT_ANSWERS_MAX = 6 };

/**
 * struct script - targets on loopback that answer in the order of arrival
 * @answers: next answers; "%ID%" stands for the request's Attempt-Id. A part
 *           "<close>" ends the connection, "<reset>" resets it, "<hold>" says
 *           nothing until the other side closes. Ends with NULL.
 * @requests: requests that came, with their heads and bodies
 * @connections: connections that were accepted
 * @closed_by_peer: connections that the other side closed while an answer was
 * held
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
