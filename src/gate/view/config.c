/**
 * DOC: Versions of the operator's configuration, and lookups in them.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/view/fns.h"

/**
 * gate_config_new() - allocate a configuration
 * @routes: number of routes
 * @services: number of services
 *
 * Return: a zeroed configuration with one reference, to be filled in by the
 * caller.
 */
struct gate_config *
gate_config_new(int routes, int services)
{
    struct gate_config *config = g_new0(struct gate_config, 1);

    config->reference_count = 1;
    config->routes = g_new0(struct gate_route, routes);
    config->services = g_new0(struct gate_service, services);
    return config;
}

/**
 * gate_config_ref() - take a reference
 * @config: the configuration; may be NULL
 *
 * Return: @config.
 */
struct gate_config *
gate_config_ref(struct gate_config *config)
{
    if (config != NULL) {
        g_atomic_int_inc(&config->reference_count);
    }
    return config;
}

static void
service_clear(struct gate_service *service)
{
    for (int i = 0; i < service->model_count; i++) {
        g_free(service->models[i].adapters);
    }
    g_free(service->models);
}

/**
 * gate_config_unref() - release a reference
 * @config: the configuration; may be NULL
 */
void
gate_config_unref(struct gate_config *config)
{
    if (config == NULL ||
        !g_atomic_int_dec_and_test(&config->reference_count)) {
        return;
    }
    for (int i = 0; i < config->route_count; i++) {
        g_free(config->routes[i].name);
        g_free(config->routes[i].host);
        g_free(config->routes[i].prefix);
        g_free(config->routes[i].shares);
    }
    for (int i = 0; i < config->service_count; i++) {
        service_clear(&config->services[i]);
    }
    for (int i = 0; i < config->team_count; i++) {
        g_free(config->teams[i].name);
    }
    g_free(config->routes);
    g_free(config->services);
    g_free(config->teams);
    g_free(config->keys);
    g_strfreev(config->faults);
    g_free(config->missing);
    g_free(config);
}

/* By host, then by descending length of the prefix, so that the first match is
 * the longest. */
static int
compare_routes(const void *a, const void *b)
{
    const struct gate_route *left = a;
    const struct gate_route *right = b;
    int hosts = g_ascii_strcasecmp(left->host, right->host);

    if (hosts != 0) {
        return hosts;
    }
    if (left->prefix_bytes != right->prefix_bytes) {
        return left->prefix_bytes > right->prefix_bytes ? -1 : 1;
    }
    return strcmp(left->prefix, right->prefix);
}

/**
 * gate_config_sort_routes() - sort routes for gate_config_match_route()
 * @config: a complete configuration
 */
void
gate_config_sort_routes(struct gate_config *config)
{
    if (config->route_count == 0) {
        return;
    }
    qsort(config->routes, (size_t)config->route_count,
          sizeof(struct gate_route), compare_routes);
}

static int
compare_keys(const void *a, const void *b)
{
    return memcmp(a, b, sizeof(struct key_digest));
}

/**
 * gate_config_sort_keys() - sort keys for team_find()
 * @config: a complete configuration
 */
void
gate_config_sort_keys(struct gate_config *config)
{
    if (config->key_count > 0) {
        qsort(config->keys, (size_t)config->key_count, sizeof(struct team_key),
              compare_keys);
    }
}

/* Index of the first route that doesn't sort before the host; the number of
 * routes when there is none. */
static int
first_route_of_host(const struct gate_config *config, const char *host)
{
    int low = 0;
    int high = config->route_count;

    while (low < high) {
        int middle = (low + high) / 2;

        if (g_ascii_strcasecmp(config->routes[middle].host, host) < 0) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

/**
 * gate_config_match_route() - find the route of a request
 * @config: the configuration
 * @host: host name from the request
 * @path: path from the request, with or without a query
 *
 * Return: the route with the longest prefix of @path, or NULL; owned by the
 * configuration.
 */
const struct gate_route *
gate_config_match_route(const struct gate_config *config, const char *host,
                        const char *path)
{
    for (int i = first_route_of_host(config, host); i < config->route_count;
         i++) {
        const struct gate_route *route = &config->routes[i];

        if (g_ascii_strcasecmp(route->host, host) != 0) {
            break;
        }
        if (strncmp(path, route->prefix, route->prefix_bytes) == 0) {
            return route;
        }
    }
    return NULL;
}

/**
 * gate_route_pick_service() - pick a service for a request, by weight
 * @route: the route
 * @random: random number
 *
 * Return: index of the service; -1 when all weights are 0.
 */
int
gate_route_pick_service(const struct gate_route *route, uint64_t random)
{
    uint64_t total = 0;

    for (int i = 0; i < route->share_count; i++) {
        total += (uint64_t)route->shares[i].weight;
    }
    if (total == 0) {
        return -1;
    }
    random %= total;
    for (int i = 0; i < route->share_count; i++) {
        uint64_t weight = (uint64_t)route->shares[i].weight;

        if (random < weight) {
            return route->shares[i].service;
        }
        random -= weight;
    }
    return -1;
}

/**
 * gate_config_find_service() - find a service by name
 * @config: the configuration
 * @name: name of the service
 *
 * Return: the service, or NULL.
 */
const struct gate_service *
gate_config_find_service(const struct gate_config *config, const char *name)
{
    for (int i = 0; i < config->service_count; i++) {
        if (strcmp(config->services[i].name, name) == 0) {
            return &config->services[i];
        }
    }
    return NULL;
}

/**
 * gate_service_find_model() - find a model of a service
 * @service: the service
 * @model: quark of the model's name
 *
 * Return: the model, or NULL.
 */
const struct gate_model *
gate_service_find_model(const struct gate_service *service, uint32_t model)
{
    for (int i = 0; i < service->model_count; i++) {
        if (service->models[i].model == model) {
            return &service->models[i];
        }
    }
    return NULL;
}
