#ifndef HTTP_DAT_H
#define HTTP_DAT_H

#include <netinet/in.h>

/**
 * struct http_limits - limits of a server
 * @body_max_bytes: longest body of a request; handlers recognize a longer body
 *                  by its being cut to one byte more than this
 * @connections_max: maximum number of open connections
 * @idle_timeout_s: closes connections without traffic after this time; 0 for
 *                  never
 * @allow_non_utf8: accept headers and parameters that aren't valid UTF-8
 */
struct http_limits {
    size_t body_max_bytes;
    int connections_max;
    int idle_timeout_s;
    bool allow_non_utf8;
};

/**
 * struct http_server - an ulfius instance bound to one address
 * @instance: ulfius instance; endpoints are added to it before the start
 * @limits: limits of connections and bodies
 * @address: listen address, with the port that the kernel chose
 * @listen_fd: listening socket; -1 while stopped
 * @running: the server accepts connections
 */
struct http_server {
    struct _u_instance instance;
    struct http_limits limits;
    struct sockaddr_in address;
    int listen_fd;
    bool running;
};

/**
 * struct http_head - what is known of the head of a response
 * @length: value of Content-Length; empty for none
 * @status: of the last status line; 0 before the first
 * @interim_count: interim responses so far
 * @is_whole: the blank line behind the fields of the final response was read
 * @fault: why the response can't be used; NULL when it can
 */
struct http_head {
    char length[24];
    int status;
    int interim_count;
    bool is_whole;
    const char *fault;
};

/**
 * struct http_response - response to a call
 * @status: HTTP status code
 * @text: the body, followed by a NUL byte; freed with g_free()
 * @bytes: length of @text without the NUL byte
 */
struct http_response {
    int status;
    char *text;
    size_t bytes;
};

struct json_object;
struct json_rule;

/**
 * struct json_rule_ops - how members of one type are read
 * @read: reads @member, which isn't null, into @variable; false with
 *        ERR_BAD_JSON and the reason if it can't be used
 */
struct json_rule_ops {
    bool (*read)(const struct json_rule *rule, struct json_object *member,
                 void *variable, struct err *err);
};

/* How an integer variable takes a fraction. */
enum json_rounding { JSON_ROUND_NONE, JSON_ROUND_DOWN, JSON_ROUND_UP };

/**
 * enum json_need - what a member that is missing or can't be used costs
 * @JSON_OPTIONAL: one that can't be used is left out, like a missing one
 * @JSON_NOTED: as JSON_OPTIONAL, but a missing one is reported
 * @JSON_DECISIVE: may be missing; without one that can't be used the object
 *                 can't be used either
 * @JSON_REQUIRED: as JSON_DECISIVE, and must not be missing
 */
enum json_need { JSON_OPTIONAL, JSON_NOTED, JSON_DECISIVE, JSON_REQUIRED };

/**
 * struct json_rule - how one member of an object is read
 * @ops: type of the member and of its variable
 * @key: its name
 * @offset: of the variable in the struct that is filled in
 * @need: what it costs if it is missing or can't be used
 * @minimum: smallest number, in the member's unit
 * @maximum: largest number, in the member's unit
 * @factor: the variable has the number times this; 0 for 1
 * @rounding: of a fraction in an integer variable
 * @bytes: size of the variable of a text
 */
struct json_rule {
    const struct json_rule_ops *ops;
    const char *key;
    size_t offset;
    enum json_need need;
    double minimum;
    double maximum;
    double factor;
    enum json_rounding rounding;
    size_t bytes;
};

/* Rows of a table of rules; @type is the name of the ops behind json_rule_. */
#define JSON_NUMBER(type, key, offset, need, minimum, maximum, factor,        \
                    rounding)                                                 \
    {                                                                         \
        &json_rule_##type, key, offset, need, minimum, maximum, factor,       \
            rounding, 0                                                       \
    }
#define JSON_TEXT(type, key, offset, bytes, need)                             \
    {                                                                         \
        &json_rule_##type, key, offset, need, 0.0, 0.0, 0.0, JSON_ROUND_NONE, \
            bytes                                                             \
    }
#define JSON_BOOLEAN(key, offset, need)                                       \
    JSON_TEXT(boolean, key, offset, 0, need)

/**
 * struct json_place - where in a document an object stands
 * @parent: place of the object or list that holds it; NULL for the document
 * @key: its name in an object; NULL for an item of a list
 * @index: its index in a list
 */
struct json_place {
    const struct json_place *parent;
    const char *key;
    size_t index;
};

/* Texts and places that are kept of one document. */
enum { JSON_FAULTS_KEPT = 32, JSON_MISSING_KEPT = 16 };

/**
 * struct json_faults - what can't be used of a document
 * @texts: "PLACE: REASON" of the first JSON_FAULTS_KEPT, each owned
 * @count: number of all
 * @missing: places of the first JSON_MISSING_KEPT missing members that are to
 * be reported, separated by spaces; NULL for none
 * @missing_count: number of all of them
 */
struct json_faults {
    char *texts[JSON_FAULTS_KEPT];
    int count;
    char *missing;
    int missing_count;
};

#endif
