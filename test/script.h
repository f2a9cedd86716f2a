/* A target that answers by a script, for tests of the relay. */
#ifndef TEST_SCRIPT_H
#define TEST_SCRIPT_H

enum { SCRIPT_TARGETS_MAX = 2, SCRIPT_ANSWERS_MAX = 6 };

/**
 * struct script - targets on loopback that answer in the order of arrival
 * @answers: next answers; "%ID%" stands for the request's Attempt-Id. A part
 *           "<close>" ends the connection, "<reset>" resets it, "<hold>" says
 *           nothing until the other side closes. Ends with NULL.
 * @arrivals: requests that came, with their heads and bodies
 * @connections: connections that were accepted
 * @left: connections that the other side closed while an answer was held
 */
struct script {
    const char *const *answers;
    pthread_mutex_t lock;
    pthread_cond_t changed;
    GPtrArray *arrivals;
    int connections;
    int left;
    int listeners[SCRIPT_TARGETS_MAX];
    int ports[SCRIPT_TARGETS_MAX];
    GArray *threads;
    GArray *sockets;
};

void script_start(struct script *script, const char *const *answers,
                  int targets);
void script_stop(struct script *script);
int script_arrivals(struct script *script);
int script_connections(struct script *script);
const char *script_arrival(struct script *script, int index);
void script_wait_arrivals(struct script *script, int count);
void script_wait_left(struct script *script, int count);

#endif
