/**
 * DOC: Command line, signals and start of turmericd.
 */
#include <argp.h>
#include <glib.h>
#include <json-c/json.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/types.h>
#include <ulfius.h>

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

const char *argp_program_version = "turmericd 0.1";

enum { OPTION_CHECK = 256, OPTION_PRINT_SETTINGS };

enum { EXIT_DONE = 0, EXIT_FAILED = 1, EXIT_BAD_SETTINGS = 2 };

struct options {
    const char *file;
    bool check;
    bool print_settings;
};

static const struct argp_option argp_options[] = {
    {"check", OPTION_CHECK, NULL, 0, "Check the settings file and exit", 0},
    {"print-settings", OPTION_PRINT_SETTINGS, NULL, 0,
     "Print the effective settings and exit", 0},
    {0},
};

static error_t
parse_option(int key, char *argument, struct argp_state *state)
{
    struct options *options = state->input;

    switch (key) {
    case OPTION_CHECK:
        options->check = true;
        break;
    case OPTION_PRINT_SETTINGS:
        options->print_settings = true;
        break;
    case ARGP_KEY_ARG:
        if (options->file != NULL) {
            argp_error(state, "only one settings FILE is allowed");
        }
        options->file = argument;
        break;
    case ARGP_KEY_END:
        if (options->file == NULL) {
            argp_error(state, "the settings FILE is missing");
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
    "FILE",
    "Runs an entry instance of turmericstall. FILE contains its settings as "
    "JSON with comments.",
    NULL,
    NULL,
    NULL,
};

static int
print_error(const struct err *err, int code)
{
    fprintf(stderr, "<%d>turmericd: error=%s detail=\"%s\" remedy=\"%s\"\n",
            LOG_PRI_ERR, err_info(err->kind)->name, err->text,
            err_info(err->kind)->remedy);
    return code;
}

/* SIGHUP is ignored: the settings of turmericd change only with a restart. */
static void
block_signals(void)
{
    sigset_t signals;

    signal(SIGPIPE, SIG_IGN);
    signal(SIGHUP, SIG_IGN);
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, NULL);
}

static void *
stop_on_signal(void *argument)
{
    struct root *root = argument;
    sigset_t signals;
    int received;

    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigwait(&signals, &received);
    log_line(LOG_PRI_INFO, "turmericd", "event=stopping signal=%d", received);
    supervisor_stop(&root->supervisor);
    return NULL;
}

/*
 * Raises the limit on file descriptors, because each call in progress takes
 * two and each other instance another two. Unsets the proxy variables, because
 * requests to targets and to the platform must not go through a proxy.
 */
static void
prepare_process(void)
{
    static const char *const proxy_variables[] = {"http_proxy", "HTTP_PROXY",
                                                  "all_proxy", "ALL_PROXY"};
    struct rlimit limit;

    for (size_t i = 0; i < G_N_ELEMENTS(proxy_variables); i++) {
        unsetenv(proxy_variables[i]);
    }
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
    }
    ulfius_global_init();
}

static int
run(const struct settings *settings)
{
    static struct root root;
    struct err err = {0};
    pthread_t signal_thread;
    bool stopped;

    prepare_process();
    if (!root_init(&root, settings, &err)) {
        return print_error(&err, EXIT_FAILED);
    }
    pthread_create(&signal_thread, NULL, stop_on_signal, &root);
    log_line(LOG_PRI_INFO, "turmericd",
             "event=started name=%s data_centre=%s address=%s", settings->name,
             settings->data_centre, settings->address);
    stopped = supervisor_run(&root.supervisor, &err);
    if (!stopped) {
        return print_error(&err, EXIT_FAILED);
    }
    pthread_join(signal_thread, NULL);
    log_line(LOG_PRI_INFO, "turmericd", "event=stopped name=%s",
             settings->name);
    root_free(&root);
    return EXIT_DONE;
}

static int
print_settings(const struct settings *settings)
{
    char *text = settings_format(settings);

    puts(text);
    g_free(text);
    return EXIT_DONE;
}

int
main(int argc, char **argv)
{
    struct options options = {0};
    struct settings settings;
    struct err err = {0};

    block_signals();
    argp_parse(&argp, argc, argv, 0, NULL, &options);
    if (!settings_read(options.file, &settings, &err)) {
        return print_error(&err, EXIT_BAD_SETTINGS);
    }
    if (options.print_settings) {
        return print_settings(&settings);
    }
    if (options.check) {
        printf("%s: valid\n", options.file);
        return EXIT_DONE;
    }
    return run(&settings);
}
