/**
 * DOC: The operators' tool.
 */
#include <argp.h>
#include <glib.h>
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>
#include <ulfius.h>

#include "base/dat.h"
#include "base/fns.h"
#include "tree/dat.h"
#include "turmericctl/dat.h"
#include "turmericctl/fns.h"

enum option_key {
    OPTION_ADDRESS = 'a',
    OPTION_TOKEN_FILE = 't',
    OPTION_WAIT = 'w',
    OPTION_JSON = 'j',
    OPTION_AUTHOR = 'u',
    OPTION_EFFECTIVE = 'e',
    OPTION_PRUNE = 256,
    OPTION_AFTER,
};

enum { WAIT_MAX_S = 3600 };

const char *argp_program_version = "turmericctl 0.1";

static const char documentation[] =
    "Edits and reads the tree of settings of turmericstall.\v"
    "Commands:\n"
    "  get NODE [KEY]            values in force at a node, or one of them\n"
    "  set NODE KEY=VALUE...     set keys; type=... creates the node\n"
    "  unset NODE KEY...         unset keys; type removes the node\n"
    "  apply FILE                make the tree as a file says\n"
    "  show [--effective] NODE   values with the node that each comes from\n"
    "  history                   accepted edits\n"
    "  status                    state of the instance and the members\n"
    "  counters                  counters of the instance\n"
    "  why WORD [FILE...]        the log lines that explain a request, item or "
    "target\n\n"
    "Exit status: 0 done, 1 refused, 2 usage, 3 unreachable or unknown, "
    "4 accepted but not yet in force everywhere.";

static const struct argp_option options[] = {
    {"address", OPTION_ADDRESS, "IP:PORT", 0,
     "Operators' address of an instance (default: TURMERIC_ADDRESS)", 0},
    {"token-file", OPTION_TOKEN_FILE, "FILE", 0,
     "File with the token (default: TURMERIC_TOKEN_FILE)", 0},
    {"author", OPTION_AUTHOR, "NAME", 0,
     "Recorded with an edit (default: the user's name)", 0},
    {"wait", OPTION_WAIT, "SECONDS", 0,
     "Wait until the edit is in force everywhere", 0},
    {"json", OPTION_JSON, NULL, 0, "Print JSON", 0},
    {"prune", OPTION_PRUNE, NULL, 0,
     "apply: remove nodes that the file doesn't name", 0},
    {"effective", OPTION_EFFECTIVE, NULL, 0, "show: inherited values as well",
     0},
    {"after", OPTION_AFTER, "REVISION", 0,
     "history: entries after this revision", 0},
    {0},
};

/**
 * struct command - one row of the table of commands
 * @name: first argument
 * @min: fewest arguments after the name
 * @max: most arguments after the name
 * @offline: no instance is asked
 * @run: does the work
 */
struct command {
    const char *name;
    int min;
    int max;
    bool offline;
    enum exit_code (*run)(struct ctl *ctl);
};

static const struct command commands[] = {
    {"get", 1, 2, false, command_get},
    {"set", 2, ARGUMENTS_MAX, false, command_set},
    {"unset", 2, ARGUMENTS_MAX, false, command_unset},
    {"apply", 1, 1, false, command_apply},
    {"show", 1, 1, false, command_show},
    {"history", 0, 0, false, command_history},
    {"status", 0, 0, false, command_status},
    {"counters", 0, 0, false, command_counters},
    {"why", 1, ARGUMENTS_MAX, true, command_why},
};

static int64_t
parse_number(struct argp_state *state, const char *name, const char *text,
             int64_t max)
{
    gint64 number = 0;

    if (!g_ascii_string_to_signed(text, 10, 0, max, &number, NULL)) {
        argp_error(state, "--%s must be a number of 0 or more", name);
    }
    return number;
}

static error_t
parse_option(int key, char *argument, struct argp_state *state)
{
    struct ctl *ctl = state->input;

    switch (key) {
    case OPTION_ADDRESS:
        ctl->address = argument;
        break;
    case OPTION_TOKEN_FILE:
        ctl->token_file = argument;
        break;
    case OPTION_AUTHOR:
        ctl->author = argument;
        break;
    case OPTION_WAIT:
        ctl->wait_s = parse_number(state, "wait", argument, WAIT_MAX_S);
        break;
    case OPTION_AFTER:
        ctl->after = parse_number(state, "after", argument, INT64_MAX);
        break;
    case OPTION_JSON:
        ctl->json = true;
        break;
    case OPTION_PRUNE:
        ctl->prune = true;
        break;
    case OPTION_EFFECTIVE:
        ctl->effective = true;
        break;
    case ARGP_KEY_ARG:
        if (ctl->argument_count == ARGUMENTS_MAX) {
            argp_error(state, "too many arguments");
        }
        ctl->arguments[ctl->argument_count++] = argument;
        break;
    case ARGP_KEY_NO_ARGS:
        argp_usage(state);
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

static const struct argp argp = {
    .options = options,
    .parser = parse_option,
    .args_doc = "COMMAND [ARGUMENT...]",
    .doc = documentation,
};

static const struct command *
find_command(const char *name)
{
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        if (strcmp(commands[i].name, name) == 0) {
            return &commands[i];
        }
    }
    return NULL;
}

static enum exit_code
usage_error(const char *what)
{
    fprintf(stderr, "turmericctl: %s; see turmericctl --help\n", what);
    return EXIT_USAGE;
}

static enum exit_code
run_command(struct ctl *ctl)
{
    const struct command *command = find_command(ctl->arguments[0]);
    int count = ctl->argument_count - 1;
    struct err err = {0};

    if (command == NULL) {
        return usage_error("unknown command");
    }
    if (count < command->min || count > command->max) {
        return usage_error("wrong number of arguments");
    }
    if (command->offline) {
        return command->run(ctl);
    }
    if (ctl->address == NULL) {
        return usage_error("give --address or set TURMERIC_ADDRESS");
    }
    if (strlen(ctl->author) >= AUTHOR_MAX_BYTES || ctl->author[0] == '\0') {
        return usage_error("the author has 1 to 63 bytes");
    }
    if (!client_read_token(ctl, &err)) {
        return usage_error(err.text);
    }
    return command->run(ctl);
}

/* The address is reached directly; a proxy would get to see the token. */
static void
forget_proxies(void)
{
    static const char *const names[] = {"http_proxy", "all_proxy",
                                        "ALL_PROXY"};

    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        g_unsetenv(names[i]);
    }
}

int
main(int argc, char **argv)
{
    struct ctl ctl = {
        .address = g_getenv("TURMERIC_ADDRESS"),
        .token_file = g_getenv("TURMERIC_TOKEN_FILE"),
        .author = g_get_user_name(),
    };
    enum exit_code code;

    forget_proxies();
    argp_err_exit_status = EXIT_USAGE;
    argp_parse(&argp, argc, argv, 0, NULL, &ctl);
    ulfius_global_init();
    code = run_command(&ctl);
    ulfius_global_close();
    return (int)code;
}
