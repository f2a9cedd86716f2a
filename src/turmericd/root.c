/**
 * DOC: The supervisor tree of turmericd.
 *
 * add_children() alone determines the order in which duties start. They stop
 * in the reverse order.
 */
#include <glib.h>
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>
#include <sys/types.h>

#include "base/dat.h"
#include "base/fns.h"
#include "kv/dat.h"
#include "kv/fns.h"
#include "tree/dat.h"
#include "tree/fns.h"
#include "proto/peer.pb-c.h"
#include "turmericd/fleet/peer/dat.h"
#include "turmericd/fleet/peer/fns.h"
#include "turmericd/fleet/member/dat.h"
#include "turmericd/fleet/member/fns.h"
#include "turmericd/fleet/observe/dat.h"
#include "turmericd/fleet/observe/fns.h"
#include "turmericd/state/config/dat.h"
#include "turmericd/state/config/fns.h"
#include "turmericd/state/claim/dat.h"
#include "turmericd/state/claim/fns.h"
#include "turmericd/place/dat.h"
#include "turmericd/place/fns.h"
#include "turmericd/serve/call/dat.h"
#include "turmericd/serve/call/fns.h"
#include "turmericd/serve/route/dat.h"
#include "turmericd/serve/route/fns.h"
#include "turmericd/serve/forward/dat.h"
#include "turmericd/serve/forward/fns.h"
#include "turmericd/serve/frontend/dat.h"
#include "turmericd/serve/frontend/fns.h"
#include "turmericd/serve/operator/dat.h"
#include "turmericd/serve/operator/fns.h"
#include "turmericd/dat.h"
#include "turmericd/fns.h"

static void
init_self(struct root *root)
{
    const struct settings *settings = root->settings;
    struct member_info *self = &root->self;

    self->id = hash_text(settings->name);
    self->started_ms = (uint64_t)clock_wall_ms();
    self->state = MEMBER_ALIVE;
    g_strlcpy(self->name, settings->name, sizeof(self->name));
    g_strlcpy(self->data_centre, settings->data_centre,
              sizeof(self->data_centre));
    g_strlcpy(self->address, settings->address, sizeof(self->address));
    g_strlcpy(self->peer_address, settings->peer_address,
              sizeof(self->peer_address));
}

static bool
create_state(struct root *root, struct err *err)
{
    const struct settings *settings = root->settings;

    kv_etcd_init(&root->kv, settings->key_value_url,
                 (int)settings->key_value_timeout_ms);
    root->config = config_new(&root->kv.kv,
                              hash_pair(root->self.id, root->self.started_ms),
                              &root->config_port.port, err);
    root->claim =
        claim_new(&root->kv.kv, root->self.id, &root->claim_port.port, err);
    return root->config != NULL && root->claim != NULL;
}

static bool
create_fleet(struct root *root, struct err *err)
{
    const struct settings *settings = root->settings;
    struct observe_settings observe_settings = {
        .list_interval_ms = (int)settings->list_interval_ms,
        .poll_interval_ms = (int)settings->poll_interval_ms,
        .poll_timeout_ms = (int)settings->poll_timeout_ms,
    };

    g_strlcpy(observe_settings.list_url, settings->list_url,
              sizeof(observe_settings.list_url));
    root->peer = peer_new(settings->peer_address, root->self.id,
                          &root->peer_port.port, err);
    root->member = member_new(&root->self,
                              hash_pair(root->self.started_ms, root->self.id),
                              &root->member_port.port, err);
    root->observe =
        observe_new(&observe_settings, &root->observe_port.port, err);
    return root->peer != NULL && root->member != NULL && root->observe != NULL;
}

static bool
create_place(struct root *root, struct err *err)
{
    root->engine_api = engine_http_new((int)root->settings->load_timeout_ms);
    root->place =
        place_new(&root->kv.kv, root->engine_api, root->self.id,
                  root->self.started_ms, &root->place_port.port, err);
    return root->place != NULL;
}

static bool
create_serve(struct root *root, struct err *err)
{
    const struct settings *settings = root->settings;
    struct frontend_settings frontend_settings = {
        .body_max_bytes = settings->body_max_bytes,
        .address_ttl_s = settings->keep_s,
        .drain_max_s = settings->drain_max_s};
    struct operator_api_settings operator_api_settings = {0};

    g_strlcpy(frontend_settings.address, settings->address,
              sizeof(frontend_settings.address));
    g_strlcpy(operator_api_settings.address, settings->desk_address,
              sizeof(operator_api_settings.address));
    g_strlcpy(operator_api_settings.name, settings->name,
              sizeof(operator_api_settings.name));
    g_strlcpy(operator_api_settings.token_file, settings->token_file,
              sizeof(operator_api_settings.token_file));
    root->calls = calls_new((uint32_t)settings->calls_max, err);
    if (root->calls == NULL) {
        return false;
    }
    root->route = route_new(root->calls, settings->data_centre,
                            hash_pair(root->self.id, root->self.started_ms),
                            &root->route_port.port, err);
    root->forward = forward_new(root->calls, (int)settings->forward_workers,
                                &root->forward_port.port, err);
    root->frontend = frontend_new(root->calls, &frontend_settings,
                                  &root->frontend_port.port, err);
    root->operator_api = operator_api_new(&operator_api_settings,
                                          &root->operator_api_port.port, err);
    return root->route != NULL && root->forward != NULL &&
           root->frontend != NULL && root->operator_api != NULL;
}

static void
add_children(struct root *root)
{
    supervisor_init(&root->supervisor, "turmericd");
    supervisor_init(&root->state, "state");
    supervisor_init(&root->fleet, "fleet");
    supervisor_init(&root->serve, "serve");
    supervisor_add(&root->supervisor, &root->state.duty);
    supervisor_add(&root->state, config_duty(root->config));
    supervisor_add(&root->state, claim_duty(root->claim));
    supervisor_add(&root->supervisor, &root->fleet.duty);
    supervisor_add(&root->fleet, peer_duty(root->peer));
    supervisor_add(&root->fleet, member_duty(root->member));
    supervisor_add(&root->fleet, observe_duty(root->observe));
    supervisor_add(&root->supervisor, place_duty(root->place));
    supervisor_add(&root->supervisor, &root->serve.duty);
    supervisor_add(&root->serve, route_duty(root->route));
    supervisor_add(&root->serve, forward_duty(root->forward));
    supervisor_add(&root->serve, frontend_duty(root->frontend));
    supervisor_add(&root->serve, operator_api_duty(root->operator_api));
}

/**
 * root_init() - create all duties and build the supervisor tree
 * @root: the root to initialize
 * @settings: validated settings, kept by reference
 * @err: filled in on failure
 *
 * Return: false when a duty can't be created; the caller then calls
 * root_free() to release the others.
 */
bool
root_init(struct root *root, const struct settings *settings, struct err *err)
{
    memset(root, 0, sizeof(*root));
    root->settings = settings;
    pthread_mutex_init(&root->listing_lock, NULL);
    init_self(root);
    root_init_state_ports(root);
    root_init_fleet_ports(root);
    root_init_serve_ports(root);
    if (!create_state(root, err) || !create_fleet(root, err) ||
        !create_place(root, err) || !create_serve(root, err)) {
        return false;
    }
    add_children(root);
    return true;
}

/**
 * root_free() - release all duties; their supervisor must have stopped
 * @root: the root
 */
void
root_free(struct root *root)
{
    operator_api_free(root->operator_api);
    frontend_free(root->frontend);
    forward_free(root->forward);
    route_free(root->route);
    calls_free(root->calls);
    place_free(root->place);
    engine_http_free(root->engine_api);
    observe_free(root->observe);
    member_free(root->member);
    peer_free(root->peer);
    claim_free(root->claim);
    config_free(root->config);
    pthread_mutex_destroy(&root->listing_lock);
}
