/**
 * DOC: Command line of turmericctl, which operators use to read and edit the
 * tree of settings.
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

static const char help_text[] =
    "Reads and edits the tree of settings of turmericstall.\v"
    "Commands:\n"
    "  get NODE [KEY]            print the effective values of a node\n"
    "  set NODE KEY=VALUE...     set keys; type=... creates the node\n"
    "  unset NODE KEY...         unset keys; type removes the node\n"
    "  apply FILE                change the tree to match a file\n"
    "  show [--effective] NODE   print values and the node that sets each\n"
    "  history                   print accepted edits\n"
    "  status                    print state of instance and members\n"
    "  counters                  print counters of the instance\n"
    "  route HOST PATH [KEY=VALUE...]\n"
    "                            print where a request would go now, and why;\n"
    "                            --address is the metrics address of a\n"
    "                            turmericgate; KEY is model, prompt_tokens,\n"
    "                            output_tokens, deadline_ms or team\n"
    "  why WORD [FILE...]        print log lines on a request, item or target\n"
    "\n"
    "Exit status: 0 done, 1 refused, 2 usage, 3 unreachable or unknown, "
    "4 accepted but not yet in force everywhere.";

static const struct argp_option argp_options[] = {
    {"address", OPTION_ADDRESS, "IP:PORT", 0,
     "Operator API address of an instance (default: TURMERIC_ADDRESS)", 0},
    {"token-file", OPTION_TOKEN_FILE, "FILE", 0,
     "File that contains the token (default: TURMERIC_TOKEN_FILE)", 0},
    {"author", OPTION_AUTHOR, "NAME", 0,
     "Author recorded with an edit (default: the user's name)", 0},
    {"wait", OPTION_WAIT, "SECONDS", 0,
     "Wait until the edit is in force everywhere", 0},
    {"json", OPTION_JSON, NULL, 0, "Print JSON", 0},
    {"prune", OPTION_PRUNE, NULL, 0,
     "apply: remove nodes that the file does not contain", 0},
    {"effective", OPTION_EFFECTIVE, NULL, 0, "show: include inherited values",
     0},
    {"after", OPTION_AFTER, "REVISION", 0,
     "history: print only edits after this revision", 0},
    {0},
};

/* A command that needs a token also needs an address. */
enum command_needs { NEEDS_NOTHING, NEEDS_ADDRESS, NEEDS_TOKEN };

/**
 * struct command - row of the table of commands
 * @name: name of the command, the first argument
 * @arguments_min: minimum number of arguments after the name
 * @arguments_max: maximum number of arguments after the name
 * @needs: what it needs besides its arguments
 * @run: runs the command
 */
struct command {
    const char *name;
    int arguments_min;
    int arguments_max;
    enum command_needs needs;
    enum exit_code (*run)(struct options *ctl);
};

static const struct command commands[] = {
    {"get", 1, 2, NEEDS_TOKEN, command_get},
    {"set", 2, ARGUMENTS_MAX, NEEDS_TOKEN, command_set},
    {"unset", 2, ARGUMENTS_MAX, NEEDS_TOKEN, command_unset},
    {"apply", 1, 1, NEEDS_TOKEN, command_apply},
    {"show", 1, 1, NEEDS_TOKEN, command_show},
    {"history", 0, 0, NEEDS_TOKEN, command_history},
    {"status", 0, 0, NEEDS_TOKEN, command_status},
    {"counters", 0, 0, NEEDS_TOKEN, command_counters},
    {"route", 2, ARGUMENTS_MAX, NEEDS_ADDRESS, command_route},
    {"why", 1, ARGUMENTS_MAX, NEEDS_NOTHING, command_why},
};

static int64_t
parse_number(struct argp_state *state, const char *name, const char *text,
             int64_t max)
{
    gint64 number = 0;

    if (!g_ascii_string_to_signed(text, 10, 0, max, &number, NULL)) {
        argp_error(state,
                   "--%s must be an integer, at least 0 and within its limit",
                   name);
    }
    return number;
}

static error_t
parse_option(int key, char *argument, struct argp_state *state)
{
    struct options *options = state->input;

    switch (key) {
    case OPTION_ADDRESS:
        options->address = argument;
        break;
    case OPTION_TOKEN_FILE:
        options->token_file = argument;
        break;
    case OPTION_AUTHOR:
        options->author = argument;
        break;
    case OPTION_WAIT:
        options->wait_s = parse_number(state, "wait", argument, WAIT_MAX_S);
        break;
    case OPTION_AFTER:
        options->after_revision =
            parse_number(state, "after", argument, INT64_MAX);
        break;
    case OPTION_JSON:
        options->json = true;
        break;
    case OPTION_PRUNE:
        options->prune = true;
        break;
    case OPTION_EFFECTIVE:
        options->effective = true;
        break;
    case ARGP_KEY_ARG:
        if (options->argument_count == ARGUMENTS_MAX) {
            argp_error(state, "too many arguments");
        }
        options->arguments[options->argument_count++] = argument;
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
    .options = argp_options,
    .parser = parse_option,
    .args_doc = "COMMAND [ARGUMENT...]",
    .doc = help_text,
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
usage_error(const char *message)
{
    fprintf(stderr, "turmericctl: %s; see turmericctl --help\n", message);
    return EXIT_USAGE;
}

static enum exit_code
run_command(struct options *options)
{
    const struct command *command = find_command(options->arguments[0]);
    int count = options->argument_count - 1;
    struct err err = {0};

    if (command == NULL) {
        return usage_error("unknown command");
    }
    if (count < command->arguments_min || count > command->arguments_max) {
        return usage_error("wrong number of arguments");
    }
    if (command->needs == NEEDS_NOTHING) {
        return command->run(options);
    }
    if (options->address == NULL) {
        return usage_error(
            "no address: give --address or set TURMERIC_ADDRESS");
    }
    if (command->needs == NEEDS_ADDRESS) {
        return command->run(options);
    }
    if (strlen(options->author) >= AUTHOR_MAX_BYTES ||
        options->author[0] == '\0') {
        return usage_error("the author must have 1 to 63 bytes");
    }
    if (!client_read_token(options, &err)) {
        return usage_error(err.text);
    }
    return command->run(options);
}

/* Requests carry the operators' token, so they must not go through a proxy. */
static void
unset_proxy_variables(void)
{
    static const char *const variables[] = {"http_proxy", "all_proxy",
                                            "ALL_PROXY"};

    for (size_t i = 0; i < G_N_ELEMENTS(variables); i++) {
        g_unsetenv(variables[i]);
    }
}

int
main(int argc, char **argv)
{
    struct options options = {
        .address = g_getenv("TURMERIC_ADDRESS"),
        .token_file = g_getenv("TURMERIC_TOKEN_FILE"),
        .author = g_get_user_name(),
    };
    enum exit_code code;

    unset_proxy_variables();
    argp_err_exit_status = EXIT_USAGE;
    argp_parse(&argp, argc, argv, 0, NULL, &options);
    ulfius_global_init();
    code = run_command(&options);
    ulfius_global_close();
    return (int)code;
}
