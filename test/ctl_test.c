/* Tests of the operators' tool as a program, against a desk with a fake port.
 */
#include <arpa/inet.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <ulfius.h>
#include <unistd.h>

#include "base/dat.h"
#include "base/fns.h"
#include "kv/dat.h"
#include "proto/peer.pb-c.h"
#include "tree/dat.h"
#include "tree/fns.h"
#include "turmericd/state/config/dat.h"
#include "turmericd/fleet/member/dat.h"
#include "turmericd/serve/operator/dat.h"
#include "turmericd/serve/operator/fns.h"
#include "cases.h"
#include "support.h"

#define TOKEN "s3cret-token"
/* Replaced in arguments by the path of a file with the case's text. */
#define FILE_ARGUMENT "@file"

static char *program;
static char *directory;

enum { ALWAYS = 1000 };

/**
 * struct fake - the rest of an instance
 * @port: first member
 * @tree: tree in force, which edits change
 * @lost: so many edits take effect without an answer
 * @dropped: so many edits take no effect and get no answer
 * @after_loss: what edits are refused with after a loss
 * @lagging: a member never confirms
 * @edits: edits that reached the port
 * @applied: id of the last edit that took effect
 * @ids: different edit ids
 */
struct fake {
    struct operator_api_port port;
    struct tree *tree;
    int lost;
    int dropped;
    enum err_kind after_loss;
    bool lagging;
    int edits;
    char applied[EDIT_ID_MAX_BYTES];
    GHashTable *ids;
};

static struct tree *
fake_tree(struct operator_api_port *port)
{
    return tree_ref(((struct fake *)port)->tree);
}

static void
fake_state(struct operator_api_port *port, struct config_state *state)
{
    int64_t revision = tree_revision(((struct fake *)port)->tree);

    *state = (struct config_state){revision, true, 120, false, false};
}

static bool
fake_apply(struct fake *fake, const struct edit *edit, struct err *err)
{
    struct tree *next =
        tree_apply(fake->tree, edit, tree_revision(fake->tree) + 1, err);

    if (next == NULL) {
        return false;
    }
    tree_unref(fake->tree);
    fake->tree = next;
    g_strlcpy(fake->applied, edit->id, sizeof(fake->applied));
    return true;
}

static bool
fake_edit(struct operator_api_port *port, const struct edit *edit,
          int64_t *revision, struct err *err)
{
    struct fake *fake = (struct fake *)port;
    bool again = strcmp(fake->applied, edit->id) == 0;

    fake->edits++;
    g_hash_table_add(fake->ids, g_strdup(edit->id));
    if (fake->dropped > 0) {
        fake->dropped--;
        return err_set(err, ERR_KV_DOWN, "dropped by the fake");
    }
    if (fake->after_loss != ERR_NONE) {
        return err_set(err, fake->after_loss, "refused by the fake");
    }
    if (!again && !fake_apply(fake, edit, err)) {
        return false;
    }
    if (fake->lost > 0) {
        fake->lost--;
        return err_set(err, ERR_KV_DOWN, "lost by the fake");
    }
    *revision = tree_revision(fake->tree);
    return true;
}

static char *
fake_history(struct operator_api_port *port, int64_t after, int limit,
             struct err *err)
{
    (void)port;
    (void)limit;
    (void)err;
    return g_strdup_printf(
        "[{\"revision\":%d,\"author\":\"mira\",\"changes\":[{\"node\":\"/om\","
        "\"key\":\"priority\",\"unset\":true}]}]",
        (int)after + 1);
}

static int
fake_members(struct operator_api_port *port, struct member_info *infos,
             int max)
{
    const struct fake *fake = (struct fake *)port;
    int64_t revision = tree_revision(fake->tree);

    g_assert_cmpint(max, >=, 3);
    infos[0] = (struct member_info){.name = "entry-1", .revision = revision};
    infos[1] = (struct member_info){.name = "entry-2",
                                    .data_centre = "nem",
                                    .revision = fake->lagging ? 0 : revision};
    infos[2] = (struct member_info){.name = "entry-3", .state = MEMBER_DEAD};
    return 3;
}

static char *
fake_status(struct operator_api_port *port)
{
    (void)port;
    return strdup("{}");
}

static const struct operator_api_port_ops fake_ops = {
    fake_tree, fake_state, fake_edit, fake_history, fake_members, fake_status};

/* Guards against an exit code, a message or a number of edits that misleads
 * an operator. */
struct ctl_case {
    const char *name;
    const char *arguments;
    const char *file;
    int leaves;
    int lost;
    int dropped;
    enum err_kind after_loss;
    bool lagging;
    bool unreachable;
    int exit_code;
    const char *out;
    const char *err;
    int edits;
    int64_t revision;
};

static const struct ctl_case ctl_cases[] = {
    {.name = "get_key",
     .arguments = "get /om priority",
     .out = "3\n",
     .revision = 1},
    {.name = "get_all",
     .arguments = "get /om",
     .out = "priority             3\n",
     .revision = 1},
    {.name = "get_unknown_key",
     .arguments = "get /om colour",
     .exit_code = 1,
     .err = "no key colour",
     .revision = 1},
    {.name = "get_unknown_node",
     .arguments = "get /none",
     .exit_code = 1,
     .err = "refused: not_found",
     .revision = 1},
    {.name = "show_own",
     .arguments = "show /om",
     .out = "KEY       VALUE    FROM\n"
            "type      service  /om\n"
            "priority  3        /om\n",
     .revision = 1},
    {.name = "show_effective",
     .arguments = "show --effective /om",
     .out = "queue_max            256      default\n",
     .revision = 1},
    {.name = "history",
     .arguments = "history --after 4",
     .out = "5         mira    /om   priority  (unset)\n",
     .revision = 1},
    {.name = "status",
     .arguments = "status",
     .out = "entry-2   nem          alive  1\n",
     .revision = 1},
    {.name = "counters_json",
     .arguments = "counters --json",
     .out = "\"refused_total{reason=\\\"edit_conflict\\\"}\":",
     .revision = 1},
    {.name = "set",
     .arguments = "set /om priority=4 enabled=false",
     .out = "revision 2\n",
     .edits = 1,
     .revision = 2},
    {.name = "set_creates",
     .arguments = "set /om/m type=model",
     .out = "revision 2\n",
     .edits = 1,
     .revision = 2},
    {.name = "set_json",
     .arguments = "--json set /om priority=4",
     .out = "\"revision\":2",
     .edits = 1,
     .revision = 2},
    {.name = "set_refused",
     .arguments = "set /om priority=10",
     .exit_code = 1,
     .err = "an integer of 0..9",
     .edits = 1,
     .revision = 1},
    {.name = "unset",
     .arguments = "unset /om priority",
     .out = "revision 2\n",
     .edits = 1,
     .revision = 2},
    {.name = "answer_lost",
     .arguments = "set /om priority=4",
     .lost = 1,
     .out = "revision 2\n",
     .edits = 2,
     .revision = 2},
    {.name = "answer_lost_invalid",
     .arguments = "set /om priority=10",
     .dropped = 1,
     .exit_code = 1,
     .err = "refused: edit_invalid",
     .edits = 2,
     .revision = 1},
    {.name = "answers_lost",
     .arguments = "set /om priority=4",
     .dropped = ALWAYS,
     .exit_code = 3,
     .err = "outcome unknown: kv_down",
     .edits = 5,
     .revision = 1},
    {.name = "stale_after_loss",
     .arguments = "set /om priority=4",
     .dropped = 1,
     .after_loss = ERR_CONFIG_STALE,
     .exit_code = 3,
     .err = "outcome unknown: config_stale",
     .edits = 5,
     .revision = 1},
    {.name = "stale",
     .arguments = "set /om priority=4",
     .after_loss = ERR_CONFIG_STALE,
     .exit_code = 1,
     .err = "refused: config_stale",
     .edits = 1,
     .revision = 1},
    {.name = "in_force",
     .arguments = "set /om priority=4 --wait 60",
     .out = "revision 2, in force everywhere\n",
     .edits = 1,
     .revision = 2},
    {.name = "not_in_force",
     .arguments = "set /om priority=4 --wait 1",
     .lagging = true,
     .exit_code = 4,
     .out = "revision 2\n",
     .err = "not confirmed by: entry-2\n",
     .edits = 1,
     .revision = 2},
    {.name = "apply",
     .arguments = "apply " FILE_ARGUMENT,
     .file = "// roti\n{\"/om/m\": {\"type\": \"model\"}}",
     .out = "revision 2\n",
     .edits = 1,
     .revision = 2},
    {.name = "apply_same",
     .arguments = "apply " FILE_ARGUMENT,
     .file = "{\"/om\": {\"type\": \"service\", \"priority\": 3}}",
     .out = "revision 1, no differences\n",
     .revision = 1},
    {.name = "apply_prune",
     .arguments = "apply --prune " FILE_ARGUMENT,
     .file = "{}",
     .out = "revision 2\n",
     .edits = 1,
     .revision = 2},
    {.name = "apply_many",
     .arguments = "apply " FILE_ARGUMENT,
     .leaves = EDIT_CHANGES_MAX + 1,
     .out = "revision 3\n",
     .edits = 2,
     .revision = 3},
    {.name = "apply_broken",
     .arguments = "apply " FILE_ARGUMENT,
     .file = "{\"/om\": ",
     .exit_code = 1,
     .err = "bad_json",
     .revision = 1},
    {.name = "apply_no_file",
     .arguments = "apply /none/none",
     .exit_code = 2,
     .err = "/none/none",
     .revision = 1},
    {.name = "unreachable",
     .arguments = "status",
     .unreachable = true,
     .exit_code = 3,
     .err = "no answer",
     .revision = 1},
    {.name = "no_command",
     .arguments = "",
     .exit_code = 2,
     .err = "Usage",
     .revision = 1},
    {.name = "unknown_command",
     .arguments = "fly",
     .exit_code = 2,
     .err = "unknown command",
     .revision = 1},
    {.name = "no_assignment",
     .arguments = "set /om priority",
     .exit_code = 2,
     .err = "KEY=VALUE",
     .revision = 1},
    {.name = "too_few",
     .arguments = "set /om",
     .exit_code = 2,
     .err = "number of arguments",
     .revision = 1},
    {.name = "bad_wait",
     .arguments = "status --wait soon",
     .exit_code = 2,
     .err = "--wait must be",
     .revision = 1},
    {.name = "bad_token_file",
     .arguments = "status --token-file /none/none",
     .exit_code = 2,
     .err = "/none/none",
     .revision = 1},
};

/* A port that nobody listens on as long as the socket is open. */
static int
closed_port(int *fd)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t bytes = sizeof(address);

    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    *fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    g_assert_cmpint(bind(*fd, (struct sockaddr *)&address, bytes), ==, 0);
    g_assert_cmpint(getsockname(*fd, (struct sockaddr *)&address, &bytes), ==,
                    0);
    return ntohs(address.sin_port);
}

/* The case's text, or a file of as many leaves. */
static char *
file_text(const struct ctl_case *c)
{
    GString *text = g_string_new(c->file);

    for (int i = 0; i < c->leaves; i++) {
        g_string_append_printf(text, "%s\"/om/m%d\": {\"type\": \"model\"}",
                               i == 0 ? "{" : ", ", i);
    }
    g_string_append(text, c->leaves > 0 ? "}" : "");
    return g_string_free(text, FALSE);
}

static void
run_program(const struct ctl_case *c, int port, const char *token)
{
    char *text = file_text(c);
    char *file = test_write_file(directory, "nodes.json", text, 0600);
    char *words = g_strjoin(" ", program, c->arguments, NULL);
    char **argv = g_strsplit(g_strchomp(words), " ", -1);
    char *address = g_strdup_printf("127.0.0.1:%d", port);
    char **env =
        g_environ_setenv(g_get_environ(), "TURMERIC_ADDRESS", address, TRUE);
    char *out = NULL;
    char *err = NULL;
    int status = 0;

    env = g_environ_setenv(env, "TURMERIC_TOKEN_FILE", token, TRUE);
    /* Guards against a token that is sent to a proxy. */
    env = g_environ_setenv(env, "http_proxy", "http://127.0.0.1:1", TRUE);
    env = g_environ_setenv(env, "ALL_PROXY", "http://127.0.0.1:1", TRUE);
    for (int i = 0; argv[i] != NULL; i++) {
        if (strcmp(argv[i], FILE_ARGUMENT) == 0) {
            g_free(argv[i]);
            argv[i] = g_strdup(file);
        }
    }
    g_assert_true(g_spawn_sync(NULL, argv, env, G_SPAWN_DEFAULT, NULL, NULL,
                               &out, &err, &status, NULL));
    if (!WIFEXITED(status) || WEXITSTATUS(status) != c->exit_code ||
        (c->out != NULL && strstr(out, c->out) == NULL) ||
        (c->err != NULL && strstr(err, c->err) == NULL) ||
        (c->out == NULL) != (out[0] == '\0')) {
        g_error("status %x\n%s\n%s", (unsigned)status, out, err);
    }
    g_free(out);
    g_free(err);
    g_strfreev(env);
    g_strfreev(argv);
    g_free(address);
    g_free(words);
    g_free(text);
    g_unlink(file);
    g_free(file);
}

static struct tree *
make_tree(void)
{
    static const char text[] =
        "{\"revision\":1,\"nodes\":{\"/\":{\"type\":\"root\"},\"/om\":{"
        "\"type\":\"service\",\"priority\":3}}}";
    struct tree *tree = tree_parse(text, sizeof(text) - 1, NULL);

    g_assert_nonnull(tree);
    return tree;
}

static void
test_program(gconstpointer data)
{
    const struct ctl_case *c = data;
    struct fake fake = {.port = {&fake_ops},
                        .tree = make_tree(),
                        .lost = c->lost,
                        .dropped = c->dropped,
                        .after_loss = c->after_loss,
                        .lagging = c->lagging};
    struct operator_api_settings settings = {.address = "127.0.0.1:0",
                                             .name = "entry-1"};
    char *token = test_write_file(directory, "token", TOKEN "\n", 0600);
    struct operator_api *desk;
    pthread_t thread;
    int closed_fd = -1;
    int port;

    fake.ids = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g_strlcpy(settings.token_file, token, sizeof(settings.token_file));
    desk = operator_api_new(&settings, &fake.port, NULL);
    g_assert_nonnull(desk);
    test_duty_start(operator_api_duty(desk), &thread);
    port = c->unreachable ? closed_port(&closed_fd)
                          : operator_api_listen_port(desk);
    run_program(c, port, token);
    test_duty_stop(operator_api_duty(desk), thread);
    g_assert_cmpint(fake.edits, ==, c->edits);
    g_assert_cmpuint(g_hash_table_size(fake.ids), ==,
                     c->leaves > 0 ? 2 : MIN(c->edits, 1));
    g_assert_cmpint(tree_revision(fake.tree), ==, c->revision);
    if (closed_fd >= 0) {
        close(closed_fd);
    }
    operator_api_free(desk);
    tree_unref(fake.tree);
    g_hash_table_unref(fake.ids);
    g_unlink(token);
    g_free(token);
}

static const struct cases groups[] = {
    CASES("/ctl", ctl_cases, test_program),
};

int
main(int argc, char **argv)
{
    char *test_directory;
    int result;

    g_test_init(&argc, &argv, NULL);
    test_directory = g_path_get_dirname(argv[0]);
    program = g_build_filename(test_directory, "..", "turmericctl", NULL);
    directory = g_dir_make_tmp("ctl-test-XXXXXX", NULL);
    g_assert_nonnull(directory);
    cases_add(groups, G_N_ELEMENTS(groups));
    result = g_test_run();
    g_rmdir(directory);
    g_free(directory);
    g_free(program);
    g_free(test_directory);
    return result;
}
