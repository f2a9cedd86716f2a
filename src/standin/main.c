/**
 * DOC: standin - simulated platform services for tests, one per process.
 */
#include <argp.h>
#include <json-c/json.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <ulfius.h>

#include "base/dat.h"
#include "base/fns.h"
#include "http/dat.h"
#include "standin/dat.h"
#include "standin/fns.h"

const char *argp_program_version = "standin 0.1";

enum {
    KEY_NAME = 256,
    KEY_CONTROL,
    KEY_FILE,
    KEY_STORE,
    KEY_MEMORY,
    KEY_LOAD,
    KEY_TOKEN,
    KEY_TOKENS,
    KEY_LAG,
    KEY_AT_ONCE,
    KEY_LEAVING,
    KEY_TURN_AWAY,
    KEY_RETRY_AFTER,
};

static const struct argp_option argp_options[] = {
    {"address", 'a', "IP:PORT", 0, "Service address", 0},
    {"control", KEY_CONTROL, "IP:PORT", 0,
     "Address for POST /faults and GET /stats", 0},
    {"name", KEY_NAME, "NAME", 0, "Name in responses", 0},
    {"file", KEY_FILE, "FILE", 0, "list: JSON array of instances", 0},
    {"lag-ms", KEY_LAG, "MS", 0, "list: delay until changes are visible", 0},
    {"store", KEY_STORE, "IP:PORT", 0, "engine: address of the weight store",
     0},
    {"memory-mb", KEY_MEMORY, "MB", 0, "engine: memory for models", 0},
    {"load-ms", KEY_LOAD, "MS", 0, "engine: load time from the store", 0},
    {"token-ms", KEY_TOKEN, "MS", 0, "engine: time per token", 0},
    {"tokens", KEY_TOKENS, "N", 0, "engine: tokens per answer", 0},
    {"leaving", KEY_LEAVING, NULL, 0,
     "engine, plain: say in all answers that it leaves", 0},
    {"turn-away", KEY_TURN_AWAY, "N", 0,
     "engine, plain: refuse the first N requests with 503, not run", 0},
    {"retry-after", KEY_RETRY_AFTER, "SECONDS", 0,
     "engine, plain: Retry-After of these refusals, sent as given", 0},
    {"at-once", KEY_AT_ONCE, "N", 0,
     "store: concurrent downloads at full speed", 0},
    {0},
};

static int64_t
parse_number(struct argp_state *state, const char *text)
{
    char *end;
    long long value = strtoll(text, &end, 10);

    if (*text == '\0' || *end != '\0' || value < 0) {
        argp_error(state, "\"%s\" is not a non-negative integer", text);
    }
    return value;
}

static error_t
parse_option(int key, char *argument, struct argp_state *state)
{
    struct standin_options *options = state->input;

    switch (key) {
    case 'a':
        options->address = argument;
        break;
    case KEY_CONTROL:
        options->control_address = argument;
        break;
    case KEY_NAME:
        options->name = argument;
        break;
    case KEY_FILE:
        options->instances_file = argument;
        break;
    case KEY_STORE:
        options->store_address = argument;
        break;
    case KEY_MEMORY:
        options->memory_mb = parse_number(state, argument);
        break;
    case KEY_LOAD:
        options->store_load_ms = parse_number(state, argument);
        break;
    case KEY_TOKEN:
        options->token_ms = parse_number(state, argument);
        break;
    case KEY_TOKENS:
        options->answer_tokens = parse_number(state, argument);
        break;
    case KEY_LAG:
        options->list_delay_ms = parse_number(state, argument);
        break;
    case KEY_LEAVING:
        options->leaving = true;
        break;
    case KEY_TURN_AWAY:
        options->turn_away = parse_number(state, argument);
        break;
    case KEY_RETRY_AFTER:
        options->retry_after = argument;
        break;
    case KEY_AT_ONCE:
        options->full_speed_downloads = parse_number(state, argument);
        break;
    case ARGP_KEY_ARG:
        if (options->role != NULL) {
            argp_error(state, "only one ROLE is allowed");
        }
        options->role = argument;
        break;
    case ARGP_KEY_END:
        if (options->role == NULL || options->address == NULL) {
            argp_error(state, "ROLE and --address are required");
        }
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

static const struct argp argp = {
    argp_options,
    parse_option,
    "ROLE",
    "Simulates one service of the platform. ROLE is kv, engine, plain, list "
    "or store.",
    NULL,
    NULL,
    NULL,
};

static const struct {
    const char *name;
    struct role *(*create)(const struct standin_options *options,
                           struct err *err);
} roles[] = {
    {"kv", kv_role_new},       {"engine", engine_role_new},
    {"plain", plain_role_new}, {"list", list_role_new},
    {"store", store_role_new},
};

static struct role *
create_role(const struct standin_options *options, struct err *err)
{
    for (size_t i = 0; i < sizeof(roles) / sizeof(roles[0]); i++) {
        if (strcmp(roles[i].name, options->role) == 0) {
            return roles[i].create(options, err);
        }
    }
    err_set(err, ERR_SETTINGS, "unknown role \"%s\"", options->role);
    return NULL;
}

static void *
wait_for_signal(void *argument)
{
    sigset_t signals;
    int received;

    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigwait(&signals, &received);
    supervisor_stop(argument);
    return NULL;
}

static void
block_signals(void)
{
    sigset_t signals;

    signal(SIGPIPE, SIG_IGN);
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, NULL);
}

int
main(int argc, char **argv)
{
    struct standin_options options = {.name = "standin",
                                      .memory_mb = 16384,
                                      .store_load_ms = 300,
                                      .token_ms = 5,
                                      .answer_tokens = 20,
                                      .full_speed_downloads = 4};
    struct supervisor root;
    struct standin standin;
    struct err err = {0};
    pthread_t signal_thread;
    struct role *role;

    argp_parse(&argp, argc, argv, 0, NULL, &options);
    block_signals();
    role = create_role(&options, &err);
    if (role == NULL || !standin_init(&standin, role, &err)) {
        fprintf(stderr, "standin: %s; remedy: %s\n", err.text,
                err_info(err.kind)->remedy);
        return 2;
    }
    supervisor_init(&root, "standin");
    supervisor_add(&root, &standin.duty);
    pthread_create(&signal_thread, NULL, wait_for_signal, &root);
    pthread_detach(signal_thread);
    if (!supervisor_run(&root, &err)) {
        fprintf(stderr, "standin: %s; remedy: %s\n", err.text,
                err_info(err.kind)->remedy);
        return 1;
    }
    return 0;
}
