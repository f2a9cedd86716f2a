/* Tests of the supervisor tree of an instance. */
#include <arpa/inet.h>
#include <curl/curl.h>
#include <glib.h>
#include <json-c/json.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "turmericd/fleet/peer/dat.h"
#include "turmericd/fleet/peer/fns.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/view/fns.h"
#include "gate/follow/dat.h"
#include "gate/follow/fns.h"
#include "gate/relay/dat.h"
#include "gate/relay/fns.h"
#include "gate/quota/dat.h"
#include "gate/quota/fns.h"
#include "gate/place/dat.h"
#include "gate/place/fns.h"
#include "gate/peers/dat.h"
#include "gate/peers/fns.h"
#include "gate/fns.h"
#include "gate/internal.h"
#include "platform/dat.h"
#include "platform/fns.h"
#include "cases.h"
#include "relay_fixture.h"

/* Guards against callers whose connections stay open while the duty that reads
 * them has stopped before others, some of which take a second to stop. */
struct order_case {
    const char *name;
    const char *earlier; /* stops before @later */
    const char *later;
};

static const struct order_case order_cases[] = {
    {"follow_then_relay", "follow", "relay"},
    {"place_then_relay", "place", "relay"},
    {"peer_then_relay", "peer", "relay"},
};

/* Kept for all cases, as nothing releases them. */
static struct platform_store stores[GATE_STORE_CLIENTS];
static struct platform_engine engines[GATE_ENGINE_CLIENTS];
static struct gate_settings settings;
static struct gate_platform platform;

static void
init_platform(void)
{
    struct err err = {0};

    fill_settings(&settings);
    g_strlcpy(settings.peer_address, "127.0.0.1:0", ADDRESS_MAX_BYTES);
    g_strlcpy(settings.store_address, "127.0.0.1:1", ADDRESS_MAX_BYTES);
    platform.decode = &platform_decode;
    platform.dialect = &platform_dialect;
    for (int i = 0; i < GATE_STORE_CLIENTS; i++) {
        g_assert_true(
            platform_store_init(&stores[i], settings.store_address, 0, &err));
        platform.stores[i] = &stores[i].base;
    }
    for (int i = 0; i < GATE_ENGINE_CLIENTS; i++) {
        g_assert_true(platform_engine_init(&engines[i], &err));
        platform.engines[i] = &engines[i].base;
    }
}

static int
child_index(const struct gate *gate, const char *name)
{
    for (int i = 0; i < gate->supervisor.child_count; i++) {
        if (strcmp(gate->supervisor.children[i].duty->name, name) == 0) {
            return i;
        }
    }
    g_error("no duty %s", name);
}

/* Children stop in reverse order. */
static void
test_order(gconstpointer data)
{
    const struct order_case *c = data;
    struct err err = {0};
    struct gate *gate = gate_new(&settings, &platform, &err);

    g_assert_nonnull(gate);
    g_assert_cmpint(child_index(gate, c->earlier), >,
                    child_index(gate, c->later));
    gate_free(gate);
}

static const struct cases groups[] = {
    CASES("/root/order", order_cases, test_order),
};

int
main(int argc, char **argv)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    g_test_init(&argc, &argv, NULL);
    init_platform();
    cases_add(groups, G_N_ELEMENTS(groups));
    return g_test_run();
}
