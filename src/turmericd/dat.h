#ifndef TURMERICD_DAT_H
#define TURMERICD_DAT_H

enum { PEERS_LISTED_MAX = 64 };

/**
 * struct settings - checked settings of the process
 *
 * Every member has a row in the schema of settings.c, which gives its key,
 * range, default and meaning.
 */
struct settings {
    char name[NAME_MAX_BYTES];
    char data_centre[NAME_MAX_BYTES];
    char address[ADDRESS_MAX_BYTES];
    char peer_address[ADDRESS_MAX_BYTES];
    char desk_address[ADDRESS_MAX_BYTES];
    char token_file[PATH_MAX_BYTES];
    char key_value_url[ADDRESS_MAX_BYTES];
    char list_url[ADDRESS_MAX_BYTES];
    int64_t key_value_timeout_ms;
    int64_t list_interval_ms;
    int64_t poll_interval_ms;
    int64_t poll_timeout_ms;
    int64_t load_timeout_ms;
    int64_t body_max_bytes;
    int64_t keep_s;
    int64_t drain_max_s;
    int64_t calls_max;
    int64_t forward_workers;
};

/**
 * struct listed_entry - when the platform's list last showed an instance
 */
struct listed_entry {
    uint64_t member;
    int64_t last_ms;
};

struct root;

/* Ports of the root: a vtable first, then the way back to the root. */
struct root_peer_port {
    struct peer_port port;
    struct root *root;
};

struct root_member_port {
    struct member_port port;
    struct root *root;
};

struct root_observe_port {
    struct observe_port port;
    struct root *root;
};

struct root_config_port {
    struct config_port port;
    struct root *root;
};

struct root_claim_port {
    struct claim_port port;
    struct root *root;
};

struct root_place_port {
    struct place_port port;
    struct root *root;
};

struct root_route_port {
    struct route_port port;
    struct root *root;
};

struct root_forward_port {
    struct forward_port port;
    struct root *root;
};

struct root_front_port {
    struct frontend_port port;
    struct root *root;
};

struct root_desk_port {
    struct operator_api_port port;
    struct root *root;
};

/**
 * struct root - root of the supervisor tree with everything it starts
 * @supervisor: the root supervisor
 * @state: supervises config and claim
 * @fleet: supervises peer, member and observe
 * @serve: supervises route, forward, front and desk
 * @listed_lock: guards @listed, @listed_count and @list_read_ms
 */
struct root {
    struct supervisor supervisor;
    struct supervisor state;
    struct supervisor fleet;
    struct supervisor serve;
    const struct settings *settings;
    struct member_info self;
    struct kv_etcd kv;
    struct engine_api *engine_api;
    struct config *config;
    struct claim *claim;
    struct peer *peer;
    struct member *member;
    struct observe *observe;
    struct place *place;
    struct calls *calls;
    struct route *route;
    struct forward *forward;
    struct frontend *front;
    struct operator_api *desk;
    struct root_peer_port peer_port;
    struct root_member_port member_port;
    struct root_observe_port observe_port;
    struct root_config_port config_port;
    struct root_claim_port claim_port;
    struct root_place_port place_port;
    struct root_route_port route_port;
    struct root_forward_port forward_port;
    struct root_front_port front_port;
    struct root_desk_port desk_port;
    pthread_mutex_t listed_lock;
    struct listed_entry listed[MEMBERS_MAX];
    int listed_count;
    int64_t list_first_ms;
    int64_t list_read_ms;
};

#endif
