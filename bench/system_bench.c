/*
 * Measures the cost of an instance: processor time, memory and control traffic
 * when idle, and the cost per request, token, open stream and claim.
 *
 * Runs the system as processes with simulated services. Every loop is bounded.
 */
#include <glib.h>
#include <json-c/json.h>
#include <pthread.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <ulfius.h>
#include <unistd.h>

#include "base/dat.h"
#include "base/fns.h"
#include "http/dat.h"
#include "http/fns.h"
#include "test/cluster/dat.h"
#include "test/cluster/fns.h"
#include "bench/dat.h"
#include "bench/fns.h"

enum {
    IDLE_MS = 10000,
    LOOKUPS = 2100,
    RUNS = 21,
    ORDERS = 200,
    STREAMS = 100,
    STREAM_TOKENS = 100,
    COLD_STARTS = 5,
};

static const char tree_edits[] =
    "[{\"node\": \"/chat\", \"key\": \"type\", \"value\": \"service\"},"
    "{\"node\": \"/chat/m1\", \"key\": \"type\", \"value\": \"model\"},"
    "{\"node\": \"/chat/m2\", \"key\": \"type\", \"value\": \"model\"},"
    "{\"node\": \"/chat/m3\", \"key\": \"type\", \"value\": \"model\"},"
    "{\"node\": \"/chat/m4\", \"key\": \"type\", \"value\": \"model\"},"
    "{\"node\": \"/chat/m5\", \"key\": \"type\", \"value\": \"model\"},"
    "{\"node\": \"/chat/m6\", \"key\": \"type\", \"value\": \"model\"},"
    "{\"node\": \"/chat\", \"key\": \"inflight_max\", \"value\": 1000},"
    "{\"node\": \"/orders\", \"key\": \"type\", \"value\": \"service\"},"
    "{\"node\": \"/orders\", \"key\": \"kind\", \"value\": \"plain\"},"
    "{\"node\": \"/orders\", \"key\": \"repeatable\", \"value\": false}]";

/* Processor time and memory of an instance, from /proc, and the counters of
   its metrics. */
struct usage {
    double cpu_ms;
    double rss_kb;
    double bytes_out;
    double bytes_in;
    double kv_calls;
    int64_t at_ms;
};

static double
read_cpu_ms(pid_t pid)
{
    char path[64];
    char *text = NULL;
    char *after;
    char **fields;
    double ticks;

    snprintf(path, sizeof(path), "/proc/%d/stat", (int)pid);
    if (!g_file_get_contents(path, &text, NULL, NULL)) {
        return 0;
    }
    after = strrchr(text, ')');
    fields = g_strsplit(after + 2, " ", 16);
    ticks =
        g_ascii_strtod(fields[11], NULL) + g_ascii_strtod(fields[12], NULL);
    g_strfreev(fields);
    g_free(text);
    return ticks * 1000.0 / (double)sysconf(_SC_CLK_TCK);
}

static double
read_rss_kb(pid_t pid)
{
    char path[64];
    char *text = NULL;
    char **fields;
    double pages;

    snprintf(path, sizeof(path), "/proc/%d/statm", (int)pid);
    if (!g_file_get_contents(path, &text, NULL, NULL)) {
        return 0;
    }
    fields = g_strsplit(text, " ", 4);
    pages = g_ascii_strtod(fields[1], NULL);
    g_strfreev(fields);
    g_free(text);
    return pages * (double)sysconf(_SC_PAGESIZE) / 1024.0;
}

static double
read_counter(const char *metrics, const char *name)
{
    char *line = g_strdup_printf("\n%s ", name);
    const char *match = strstr(metrics, line);
    double value =
        match != NULL ? g_ascii_strtod(match + strlen(line), NULL) : 0;

    g_free(line);
    return value;
}

static struct usage
read_usage(struct process *entry)
{
    struct answer *answer = g_new0(struct answer, 1);
    struct usage usage = {0};

    request_send(entry, "GET", "/metrics", NULL, NULL, answer);
    usage.cpu_ms = read_cpu_ms(entry->pid);
    usage.rss_kb = read_rss_kb(entry->pid);
    usage.bytes_out = read_counter(answer->text, "peer_bytes_out_total");
    usage.bytes_in = read_counter(answer->text, "peer_bytes_in_total");
    usage.kv_calls = read_counter(answer->text, "kv_calls_total");
    usage.at_ms = clock_now_ms();
    g_free(answer);
    return usage;
}

static void
wait_ms(int64_t duration_ms)
{
    int64_t end_ms = clock_now_ms() + duration_ms;
    int64_t left;

    while ((left = end_ms - clock_now_ms()) > 0) {
        poll(NULL, 0, (int)left);
    }
}

static void
measure_idle(struct cluster *cluster)
{
    int entries = cluster->layout->entries;
    struct usage *before = g_new0(struct usage, entries);
    struct samples cpu = {0};
    struct samples rss = {0};
    struct samples out = {0};
    struct samples in = {0};
    struct samples kv = {0};

    for (int i = 0; i < entries; i++) {
        before[i] = read_usage(cluster_find(cluster, PROCESS_ENTRY, i + 1));
    }
    wait_ms(IDLE_MS);
    for (int i = 0; i < entries; i++) {
        struct usage after =
            read_usage(cluster_find(cluster, PROCESS_ENTRY, i + 1));
        double seconds = (double)(after.at_ms - before[i].at_ms) / 1000.0;

        sample_add(&cpu, (after.cpu_ms - before[i].cpu_ms) / seconds / 10.0);
        sample_add(&rss, after.rss_kb);
        sample_add(&out, (after.bytes_out - before[i].bytes_out) / seconds);
        sample_add(&in, (after.bytes_in - before[i].bytes_in) / seconds);
        sample_add(&kv, (after.kv_calls - before[i].kv_calls) / seconds);
    }
    printf("idle entries=%d engines=%d plains=%d\n", entries,
           cluster->layout->engines, cluster->layout->plain_targets);
    sample_print(&cpu, "idle_cpu", "percent_of_a_core");
    sample_print(&rss, "idle_rss", "KB");
    sample_print(&out, "idle_peer_out", "bytes_per_s");
    sample_print(&in, "idle_peer_in", "bytes_per_s");
    sample_print(&kv, "idle_kv_calls", "per_s");
    g_free(before);
}

static void
measure_lookups(struct cluster *cluster)
{
    struct process *entry = cluster_find(cluster, PROCESS_ENTRY, 1);
    struct process *plain = cluster_find(cluster, PROCESS_PLAIN, 1);
    struct answer *answer = g_new0(struct answer, 1);
    struct samples direct = {0};
    struct samples through = {0};
    double cpu_ms = read_cpu_ms(entry->pid);

    for (int run = 0; run < RUNS; run++) {
        gint64 start = g_get_monotonic_time();

        for (int i = 0; i < LOOKUPS / RUNS; i++) {
            request_send(plain, "GET", "/stock", NULL, NULL, answer);
        }
        sample_add(&direct, (double)(g_get_monotonic_time() - start) /
                                (LOOKUPS / RUNS));
        start = g_get_monotonic_time();
        for (int i = 0; i < LOOKUPS / RUNS; i++) {
            request_send(entry, "GET", "/v1/services/orders/stock", NULL, NULL,
                         answer);
        }
        sample_add(&through, (double)(g_get_monotonic_time() - start) /
                                 (LOOKUPS / RUNS));
    }
    sample_print(&direct, "lookup_direct", "us");
    sample_print(&through, "lookup_through_entry", "us");
    printf("lookup_ratio=%.2f\n",
           sample_median(&through) / sample_median(&direct));
    /* The kernel counts processor time in steps of 10 ms, so only the sum over
     * all lookups is meaningful. It includes the instance's idle cost. */
    printf("lookup_cpu_us=%.0f lookups=%d\n",
           (read_cpu_ms(entry->pid) - cpu_ms) * 1000.0 /
               (LOOKUPS / RUNS * RUNS),
           LOOKUPS / RUNS * RUNS);
    g_free(answer);
}

static void
measure_orders(struct cluster *cluster)
{
    struct process *entry = cluster_find(cluster, PROCESS_ENTRY, 1);
    struct process *kv = cluster_find(cluster, PROCESS_KV, 1);
    struct answer *answer = g_new0(struct answer, 1);
    int64_t writes = process_get_stat(kv, "writes");
    struct samples time = {0};
    int confirmed = 0;

    for (int i = 0; i < ORDERS; i++) {
        char key[32];
        const char *const headers[][2] = {{"Idempotency-Key", key},
                                          {NULL, NULL}};
        gint64 start = g_get_monotonic_time();

        snprintf(key, sizeof(key), "order-%d", i);
        request_send(entry, "POST", "/v1/services/orders/orders", headers,
                     "{}", answer);
        confirmed += answer->status == 200;
        if (i % 2 == 0) {
            sample_add(&time, (double)(g_get_monotonic_time() - start));
        }
    }
    printf("orders=%d confirmed=%d kv_writes=%lld\n", ORDERS, confirmed,
           (long long)(process_get_stat(kv, "writes") - writes));
    sample_print(&time, "order", "us");
    g_free(answer);
}

struct stream {
    struct process *entry;
    struct answer answer;
    pthread_t thread;
};

static void *
run_stream(void *argument)
{
    struct stream *stream = argument;
    char *body = g_strdup_printf(
        "{\"model\": \"m1\", \"stream\": true, \"max_tokens\": %d, "
        "\"messages\": [{\"role\": \"user\", \"content\": \"q\"}]}",
        STREAM_TOKENS);

    request_send(stream->entry, "POST", "/v1/chat/completions", NULL, body,
                 &stream->answer);
    g_free(body);
    return NULL;
}

static void
measure_streams(struct cluster *cluster, int count)
{
    struct process *entry = cluster_find(cluster, PROCESS_ENTRY, 1);
    struct stream *streams = g_new0(struct stream, count);
    struct usage before = read_usage(entry);
    struct usage during;
    struct usage after;
    int complete = 0;

    for (int i = 0; i < count; i++) {
        streams[i].entry = entry;
        pthread_create(&streams[i].thread, NULL, run_stream, &streams[i]);
    }
    wait_ms(1000);
    during = read_usage(entry);
    for (int i = 0; i < count; i++) {
        char *text;

        pthread_join(streams[i].thread, NULL);
        text = stream_text(&streams[i].answer);
        complete += text != NULL;
        g_free(text);
    }
    after = read_usage(entry);
    printf(
        "streams=%d whole=%d rss_per_stream_kb=%.1f cpu_us_per_token=%.2f\n",
        count, complete, (during.rss_kb - before.rss_kb) / count,
        (after.cpu_ms - before.cpu_ms) * 1000.0 / count / STREAM_TOKENS);
    g_free(streams);
}

static void
measure_cold_starts(struct cluster *cluster)
{
    struct process *entry = cluster_find(cluster, PROCESS_ENTRY, 1);
    struct answer *answer = g_new0(struct answer, 1);
    struct samples cold = {0};

    for (int i = 0; i < COLD_STARTS; i++) {
        char *body = g_strdup_printf("{\"model\": \"m%d\", \"max_tokens\": 1, "
                                     "\"messages\": []}",
                                     2 + i);
        gint64 start = g_get_monotonic_time();

        request_send(entry, "POST", "/v1/chat/completions", NULL, body,
                     answer);
        if (answer->status == 200) {
            sample_add(&cold,
                       (double)(g_get_monotonic_time() - start) / 1000.0);
        }
        g_free(body);
    }
    if (cold.count > 0) {
        sample_print(&cold, "cold_start", "ms");
        printf("cold_start_over_load=%.2f load_ms=%d\n",
               sample_median(&cold) / cluster->layout->load_ms,
               cluster->layout->load_ms);
    }
    g_free(answer);
}

int
main(int argc, char **argv)
{
    static const int entry_counts[] = {3, 6, 12, 24};

    (void)argc;
    signal(SIGPIPE, SIG_IGN);
    cluster_set_program_directory(argv[0]);
    for (size_t i = 0; i < G_N_ELEMENTS(entry_counts); i++) {
        struct cluster_layout shape = {.engines = 6,
                                       .engine_memory_mb = 16384,
                                       .load_ms = 400,
                                       .token_ms = 20,
                                       .plain_targets = 2,
                                       .entries = entry_counts[i],
                                       .tree = tree_edits};
        struct cluster *cluster = cluster_start(&shape);

        measure_idle(cluster);
        if (i == 0) {
            measure_cold_starts(cluster);
            measure_lookups(cluster);
            measure_orders(cluster);
            measure_streams(cluster, STREAMS);
        }
        cluster_stop(cluster);
    }
    return 0;
}
