/* The promises that are checked, and the configuration that is in force. */
#include <glib.h>
#include <json-c/json.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdarg.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "test/soak/dat.h"
#include "test/soak/fns.h"

/* Notes the first promise that was broken. The lock is not held. */
void
soak_fail(struct soak *soak, const char *format, ...)
{
    va_list arguments;

    pthread_mutex_lock(&soak->lock);
    if (soak->failure->len == 0) {
        g_string_printf(soak->failure,
                        "at %d ms: ", (int)(clock_now_ms() - soak->start_ms));
        va_start(arguments, format);
        g_string_append_vprintf(soak->failure, format, arguments);
        va_end(arguments);
    }
    pthread_mutex_unlock(&soak->lock);
}

/* An engine begins to run a request. */
void
soak_note_run(struct soak *soak, const char *attempt, bool once)
{
    gint runs;
    bool refused;

    pthread_mutex_lock(&soak->lock);
    runs = 1 + GPOINTER_TO_INT(g_hash_table_lookup(soak->runs, attempt));
    g_hash_table_insert(soak->runs, g_strdup(attempt), GINT_TO_POINTER(runs));
    refused = g_hash_table_contains(soak->refused, attempt);
    pthread_mutex_unlock(&soak->lock);
    if (once && runs > 1) {
        soak_fail(soak, "TWICE: %s runs %d times", attempt, runs);
    }
    if (once && refused) {
        soak_fail(soak, "REFUSED: %s runs after it was refused", attempt);
    }
}

/* A caller is told that its request, which may run once, has not run. */
void
soak_note_refused(struct soak *soak, const char *attempt)
{
    bool ran;

    pthread_mutex_lock(&soak->lock);
    g_hash_table_add(soak->refused, g_strdup(attempt));
    ran = g_hash_table_contains(soak->runs, attempt);
    pthread_mutex_unlock(&soak->lock);
    if (ran) {
        soak_fail(soak, "REFUSED: %s has run", attempt);
    }
}

#define ROUTE(name, kind, more)                                               \
    "{\"name\":\"" name "\",\"host\":\"h\",\"path_prefix\":\"/" name          \
    "/\",\"kind\":\"" kind "\",\"timeout_ms\":8000,"                          \
    "\"latency_goal_ms\":500,\"max_attempts\":3," more "}"

/* Versions send the route "config" to one plain service and the other in
 * turn. */
void
soak_write_config(struct soak *soak)
{
    int64_t version = soak->config_version + 1;
    char *text = g_strdup_printf(
        "{\"version\":%d,\"routes\":[" ROUTE("once", "non_idempotent", "\"service\":\"p0\"") "," ROUTE("safe", "idempotent", "\"service\":\"p1\"") "," ROUTE("stream", "stream", "\"gap_aim_ms\":300,\"resumable\":true,\"service\":\"p1\"") "," ROUTE(
            "chat", "stream",
            "\"gap_aim_ms\":300,\"service\":\"chat\"") "," ROUTE("config",
                                                                 "idempotent",
                                                                 "\"service\":\"p%d\"") "],"
                                                                                        "\"services\":[{\"name\":\"p0\"},{\"name\":\"p1\"},"
                                                                                        "{\"name\":\"chat\",\"engine\":{\"slots\":8,\"weights_mb\":130,"
                                                                                        "\"adapter_slots\":2,\"loads_per_s\":20,\"models\":["
                                                                                        "{\"name\":\"m1\",\"weights_mb\":60,\"load_s\":0.6,\"warm_s\":0.1,"
                                                                                        "\"disk_s\":0.2,\"adapters\":2,\"adapter_mb\":1},"
                                                                                        "{\"name\":\"m2\",\"weights_mb\":60,\"load_s\":0.6,\"warm_s\":0.1,"
                                                                                        "\"disk_s\":0.2,\"adapters\":2,\"adapter_mb\":1},"
                                                                                        "{\"name\":\"m3\",\"weights_mb\":60,\"load_s\":0.6,\"warm_s\":0.1,"
                                                                                        "\"disk_s\":0.2,\"adapters\":2,\"adapter_mb\":1}]}}],"
                                                                                        "\"limits\":{\"max_header_bytes\":8192,\"max_body_bytes\":10000,"
                                                                                        "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}",
        (int)version, (int)(version % 2));

    if (soak_store_put(soak->store, "op/config", text, 0)) {
        pthread_mutex_lock(&soak->lock);
        soak->config_version = version;
        soak->config_ms = clock_now_ms();
        pthread_mutex_unlock(&soak->lock);
    }
    g_free(text);
}
