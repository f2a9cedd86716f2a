/**
 * DOC: One version of the operator's configuration, and its routes.
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
 * gate_config_new() - configuration with empty routes and services
 * @routes: number of routes
 * @services: number of services
 *
 * Return: a configuration with one reference, to be filled in.
 */
struct gate_config *
gate_config_new(int routes, int services)
{
    struct gate_config *config = g_new0(struct gate_config, 1);

    config->references = 1;
    config->routes = g_new0(struct gate_route, routes);
    config->services = g_new0(struct gate_service, services);
    return config;
}

/**
 * gate_config_ref() - another reference
 * @config: the configuration; may be NULL
 */
struct gate_config *
gate_config_ref(struct gate_config *config)
{
    if (config != NULL) {
        g_atomic_int_inc(&config->references);
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
 * gate_config_unref() - give a reference back
 * @config: the configuration; may be NULL
 */
void
gate_config_unref(struct gate_config *config)
{
    if (config == NULL || !g_atomic_int_dec_and_test(&config->references)) {
        return;
    }
    for (int i = 0; i < config->route_count; i++) {
        g_free(config->routes[i].host);
        g_free(config->routes[i].prefix);
    }
    for (int i = 0; i < config->service_count; i++) {
        service_clear(&config->services[i]);
    }
    g_free(config->routes);
    g_free(config->services);
    g_free(config);
}

/* By host, then the longest prefix first, so that the first match counts. */
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
 * gate_config_index() - order the routes for gate_config_match()
 * @config: a configuration that is filled in
 */
void
gate_config_index(struct gate_config *config)
{
    if (config->route_count == 0) {
        return;
    }
    qsort(config->routes, (size_t)config->route_count,
          sizeof(struct gate_route), compare_routes);
}

/* First route of the host; the routes' count when there is none. */
static int
first_of_host(const struct gate_config *config, const char *host)
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
 * gate_config_match() - the route of a request
 * @config: the configuration
 * @host: host as the caller names it
 * @path: path with or without a query
 *
 * Return: the route with the longest prefix of @path, or NULL.
 */
const struct gate_route *
gate_config_match(const struct gate_config *config, const char *host,
                  const char *path)
{
    for (int i = first_of_host(config, host); i < config->route_count; i++) {
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
 * gate_route_service() - service that a request of a route goes to
 * @route: the route
 * @random: random number of the request
 *
 * Return: index of a service, chosen by weight; -1 when no share has weight.
 */
int
gate_route_service(const struct gate_route *route, uint64_t random)
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
 * gate_config_service() - service by name
 * @config: the configuration
 * @name: its name
 *
 * Return: the service, or NULL.
 */
const struct gate_service *
gate_config_service(const struct gate_config *config, const char *name)
{
    for (int i = 0; i < config->service_count; i++) {
        if (strcmp(config->services[i].name, name) == 0) {
            return &config->services[i];
        }
    }
    return NULL;
}

/**
 * gate_service_model() - model of a service
 * @service: the service
 * @model: quark of the model's name
 *
 * Return: the model, or NULL.
 */
const struct gate_model *
gate_service_model(const struct gate_service *service, uint32_t model)
{
    for (int i = 0; i < service->model_count; i++) {
        if (service->models[i].model == model) {
            return &service->models[i];
        }
    }
    return NULL;
}
