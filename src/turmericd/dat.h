#ifndef TURMERICD_DAT_H
#define TURMERICD_DAT_H

enum { LISTED_PEERS_MAX = 64 };

/**
 * struct settings - validated settings of the process
 *
 * The schema in settings.c has a row for each field with its key, range and
 * default. A field has the name of its key.
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
 * struct listing - last appearance of an instance in the platform's list
 * @instance_id: id of the instance
 * @last_listed_ms: monotonic time at which the list last contained it
 */
struct listing {
    uint64_t instance_id;
    int64_t last_listed_ms;
};

struct root;

/* Ports that the root implements: the vtable comes first, so that a callback
 * can cast the port to get at the root. */
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

struct root_frontend_port {
    struct frontend_port port;
    struct root *root;
};

struct root_operator_api_port {
    struct operator_api_port port;
    struct root *root;
};

/**
 * struct root - supervisor tree and the duties that it runs
 * @supervisor: root supervisor
 * @state: supervises config and claim
 * @fleet: supervises peer, member and observe
 * @serve: supervises route, forward, frontend and operator API
 * @settings: settings of the process, kept by reference
 * @self: identity of this instance
 * @kv: client of the key-value store
 * @engine_api: client that sends orders to engines
 * @calls: table of the calls in progress
 * @listing_lock: guards the fields below it
 * @listings: last appearance of each instance in the platform's list
 * @listing_count: number of valid entries in @listings
 * @first_list_read_ms: when the list was first read; 0 before that
 * @last_list_read_ms: when the list was last read
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
    struct frontend *frontend;
    struct operator_api *operator_api;
    struct root_peer_port peer_port;
    struct root_member_port member_port;
    struct root_observe_port observe_port;
    struct root_config_port config_port;
    struct root_claim_port claim_port;
    struct root_place_port place_port;
    struct root_route_port route_port;
    struct root_forward_port forward_port;
    struct root_frontend_port frontend_port;
    struct root_operator_api_port operator_api_port;
    pthread_mutex_t listing_lock;
    struct listing listings[MEMBERS_MAX];
    int listing_count;
    int64_t first_list_read_ms;
    int64_t last_list_read_ms;
};

#endif
