/**
 * DOC: Edits: application to a tree, conflict check and JSON encoding.
 *
 * The body of an operator's request and an entry of the configuration journal
 * have the same JSON.
 */
#include <glib.h>
#include <json-c/json.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "tree/dat.h"
#include "tree/fns.h"
#include "tree/internal.h"

/* A valid edit has depth 4: object, changes, change, value. */
enum { EDIT_JSON_DEPTH_MAX = 8 };

static const char type_key[] = "type";

static bool
is_unset(const struct edit_change *change)
{
    return change->value[0] == '\0';
}

static bool
is_node_removal(const struct edit_change *change)
{
    return is_unset(change) && strcmp(change->key, type_key) == 0;
}

static bool
draft_unset_key(struct node_draft *draft, int key, struct err *err)
{
    if (key != KEY_TYPE) {
        draft->keys_set &= ~(1u << key);
        return true;
    }
    if (strcmp(draft->path, "/") == 0) {
        return err_set(err, ERR_EDIT_INVALID,
                       "/: type: the root can't be removed");
    }
    draft->removed = true;
    return true;
}

static bool
draft_apply_change(const struct tree *tree, GHashTable *drafts,
                   const struct edit_change *change, struct err *err)
{
    int key = schema_find_key(change->key);
    struct node_draft *draft;
    int64_t value;

    if (!path_valid(change->node, err)) {
        return false;
    }
    if (key < 0) {
        return err_set(err, ERR_EDIT_INVALID,
                       "%.100s: %s: the schema has no such key", change->node,
                       change->key);
    }
    draft = draft_get(drafts, tree, change->node);
    if (is_unset(change)) {
        return draft_unset_key(draft, key, err);
    }
    if (!schema_parse_value(change->node, key, change->value, &value, err)) {
        return false;
    }
    draft->keys_set |= 1u << key;
    draft->keys_changed |= 1u << key;
    draft->values[key] = value;
    return true;
}

/* Rejects two changes of one key, as the changes of an edit have no order. */
static bool
check_duplicates(const struct edit *edit, struct err *err)
{
    GHashTable *seen =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    bool unique = true;

    for (int i = 0; i < edit->change_count && unique; i++) {
        const struct edit_change *change = &edit->changes[i];
        char *name = g_strconcat(change->node, " ", change->key, NULL);

        if (!g_hash_table_add(seen, name)) {
            unique = err_set(err, ERR_EDIT_INVALID,
                             "%.100s: %s: changed twice in one edit",
                             change->node, change->key);
        }
    }
    g_hash_table_unref(seen);
    return unique;
}

static bool
check_removals(GHashTable *drafts, struct err *err)
{
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, drafts);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct node_draft *draft = value;

        if (draft->removed && draft->keys_changed != 0) {
            return err_set(err, ERR_EDIT_INVALID,
                           "%.100s: type: the edit removes the node and also "
                           "sets a key of it",
                           draft->path);
        }
    }
    return true;
}

/**
 * tree_apply() - build the next tree from an edit, all or nothing
 * @tree: current tree
 * @edit: the edit
 * @revision: revision of the next tree
 * @err: filled in on failure
 *
 * The changes of an edit take effect together, so their order doesn't matter.
 *
 * Return: a new tree, or NULL with ERR_EDIT_INVALID whose text names the node,
 * the key and what is allowed.
 */
struct tree *
tree_apply(const struct tree *tree, const struct edit *edit, int64_t revision,
           struct err *err)
{
    GHashTable *drafts;
    struct tree *next = NULL;
    bool valid = true;

    if (edit->change_count < 1 || edit->change_count > EDIT_CHANGES_MAX) {
        err_set(err, ERR_EDIT_INVALID,
                "changes: %d changes; an edit has 1..%d", edit->change_count,
                EDIT_CHANGES_MAX);
        return NULL;
    }
    if (!check_duplicates(edit, err)) {
        return NULL;
    }
    drafts = drafts_new();
    for (int i = 0; i < edit->change_count && valid; i++) {
        valid = draft_apply_change(tree, drafts, &edit->changes[i], err);
    }
    if (valid && check_removals(drafts, err)) {
        next = tree_build(tree, drafts, revision, err);
    }
    g_hash_table_unref(drafts);
    return next;
}

static bool
changes_conflict(const struct edit_change *a, const struct edit_change *b)
{
    if (strcmp(a->node, b->node) != 0) {
        return false;
    }
    return strcmp(a->key, b->key) == 0 || is_node_removal(a) ||
           is_node_removal(b);
}

/**
 * edit_conflicts() - whether an edit conflicts with a newer accepted edit
 * @edit: the edit
 * @later: accepted edit that is newer than the base revision of @edit
 *
 * Two edits conflict when both change the same key of a node, and when one
 * removes a node that the other changes.
 */
bool
edit_conflicts(const struct edit *edit, const struct edit *later)
{
    for (int i = 0; i < edit->change_count; i++) {
        for (int j = 0; j < later->change_count; j++) {
            if (changes_conflict(&edit->changes[i], &later->changes[j])) {
                return true;
            }
        }
    }
    return false;
}

/* Parses one JSON object that only white space may follow. */
static struct json_object *
parse_json(const char *text, size_t bytes, struct err *err)
{
    struct json_tokener *tokener = json_tokener_new_ex(EDIT_JSON_DEPTH_MAX);
    struct json_object *json;
    size_t end;

    json_tokener_set_flags(tokener,
                           JSON_TOKENER_STRICT | JSON_TOKENER_VALIDATE_UTF8);
    json = json_tokener_parse_ex(tokener, text, (int)bytes);
    end = json_tokener_get_parse_end(tokener);
    if (json_tokener_get_error(tokener) == json_tokener_continue) {
        err_set(err, ERR_BAD_JSON, "the JSON text is not complete");
    }
    else if (json_tokener_get_error(tokener) != json_tokener_success) {
        err_set(err, ERR_BAD_JSON, "byte %zu: %s", end,
                json_tokener_error_desc(json_tokener_get_error(tokener)));
    }
    else if (end + strspn(text + end, " \t\r\n") < bytes) {
        err_set(err, ERR_BAD_JSON, "byte %zu: text after the JSON value", end);
    }
    else if (!json_object_is_type(json, json_type_object)) {
        err_set(err, ERR_BAD_JSON, "the JSON value is not an object");
    }
    else {
        json_tokener_free(tokener);
        return json;
    }
    json_tokener_free(tokener);
    json_object_put(json);
    return NULL;
}

/* Copies a string member; error texts name it as @where. */
static bool
copy_text(struct json_object *value, const char *where, char *out,
          size_t bytes, struct err *err)
{
    const char *text = json_object_get_string(value);
    size_t length;

    if (!json_object_is_type(value, json_type_string)) {
        return err_set(err, ERR_EDIT_INVALID, "%s: must be a string", where);
    }
    length = (size_t)json_object_get_string_len(value);
    if (length == 0 || length >= bytes) {
        return err_set(err, ERR_EDIT_INVALID, "%s: use 1..%zu bytes", where,
                       bytes - 1);
    }
    for (size_t i = 0; i < length; i++) {
        if ((unsigned char)text[i] < ' ' || text[i] == 0x7f) {
            return err_set(err, ERR_EDIT_INVALID,
                           "%s: control characters are not allowed", where);
        }
    }
    memcpy(out, text, length + 1);
    return true;
}

static bool
copy_value(struct json_object *value, struct edit_change *change,
           struct err *err)
{
    const char *text =
        json_object_to_json_string_ext(value, JSON_C_TO_STRING_PLAIN);

    if (strlen(text) >= sizeof(change->value)) {
        return err_set(err, ERR_EDIT_INVALID,
                       "%.100s: %s: the value is longer than %zu bytes",
                       change->node, change->key, sizeof(change->value) - 1);
    }
    g_strlcpy(change->value, text, sizeof(change->value));
    return true;
}

static bool
parse_change(struct json_object *json, struct edit_change *change,
             struct err *err)
{
    struct json_object *value = NULL;
    bool has_value = false;
    bool unset = false;

    if (!json_object_is_type(json, json_type_object)) {
        return err_set(err, ERR_EDIT_INVALID,
                       "changes: each must be an object");
    }
    json_object_object_foreach(json, name, member)
    {
        if (strcmp(name, "node") == 0) {
            if (!copy_text(member, "node", change->node, sizeof(change->node),
                           err)) {
                return false;
            }
        }
        else if (strcmp(name, "key") == 0) {
            if (!copy_text(member, "key", change->key, sizeof(change->key),
                           err)) {
                return false;
            }
        }
        else if (strcmp(name, "value") == 0) {
            has_value = true;
            value = member;
        }
        else if (strcmp(name, "unset") == 0 &&
                 json_object_is_type(member, json_type_boolean)) {
            unset = json_object_get_boolean(member);
        }
        else {
            return err_set(err, ERR_EDIT_INVALID,
                           "changes: %.60s: not a member of a change", name);
        }
    }
    if (change->node[0] == '\0' || change->key[0] == '\0') {
        return err_set(err, ERR_EDIT_INVALID,
                       "changes: each needs a node and a key");
    }
    if (has_value == unset) {
        return err_set(err, ERR_EDIT_INVALID,
                       "%.100s: %s: give either a value or unset: true",
                       change->node, change->key);
    }
    return unset || copy_value(value, change, err);
}

static bool
parse_changes(struct json_object *json, struct edit *edit, struct err *err)
{
    size_t count;

    if (!json_object_is_type(json, json_type_array)) {
        return err_set(err, ERR_EDIT_INVALID, "changes: must be an array");
    }
    count = json_object_array_length(json);
    if (count < 1 || count > EDIT_CHANGES_MAX) {
        return err_set(err, ERR_EDIT_INVALID,
                       "changes: %zu changes; an edit has 1..%d", count,
                       EDIT_CHANGES_MAX);
    }
    free(edit->changes);
    edit->changes = calloc(count, sizeof(*edit->changes));
    if (edit->changes == NULL) {
        return err_set(err, ERR_NO_MEMORY, "edit of %zu changes", count);
    }
    edit->change_count = (int)count;
    for (size_t i = 0; i < count; i++) {
        if (!parse_change(json_object_array_get_idx(json, i),
                          &edit->changes[i], err)) {
            return false;
        }
    }
    return true;
}

static bool
parse_member(const char *name, struct json_object *value, struct edit *edit,
             struct err *err)
{
    if (strcmp(name, "id") == 0) {
        return copy_text(value, "id", edit->id, sizeof(edit->id), err);
    }
    if (strcmp(name, "author") == 0) {
        return copy_text(value, "author", edit->author, sizeof(edit->author),
                         err);
    }
    if (strcmp(name, "changes") == 0) {
        return parse_changes(value, edit, err);
    }
    if (strcmp(name, "base_revision") != 0) {
        return err_set(err, ERR_EDIT_INVALID, "%.60s: not a member of an edit",
                       name);
    }
    if (!json_object_is_type(value, json_type_int) ||
        json_object_get_int64(value) < 0) {
        return err_set(err, ERR_EDIT_INVALID,
                       "base_revision: must be an integer of 0 or more");
    }
    edit->base_revision = json_object_get_int64(value);
    return true;
}

/**
 * edit_parse() - decode an edit from JSON
 * @text: JSON text, followed by a NUL byte
 * @bytes: length of @text
 * @edit: filled in; the caller releases it with edit_free() also after a
 *        failure
 * @err: filled in on failure
 *
 * Unknown members are rejected: if an older version ignored a member that a
 * newer version applies, instances would have different trees with the same
 * revision.
 *
 * Return: false with ERR_BAD_JSON or ERR_EDIT_INVALID.
 */
bool
edit_parse(const char *text, size_t bytes, struct edit *edit, struct err *err)
{
    struct json_object *json;
    bool valid = true;

    memset(edit, 0, sizeof(*edit));
    edit->base_revision = -1;
    json = parse_json(text, bytes, err);
    if (json == NULL) {
        return false;
    }
    json_object_object_foreach(json, name, value)
    {
        valid = valid && parse_member(name, value, edit, err);
    }
    json_object_put(json);
    if (valid && (edit->id[0] == '\0' || edit->author[0] == '\0' ||
                  edit->base_revision < 0 || edit->changes == NULL)) {
        valid = err_set(err, ERR_EDIT_INVALID,
                        "an edit needs id, author, base_revision and changes");
    }
    return valid;
}

static struct json_object *
format_change(const struct edit_change *change)
{
    struct json_object *json = json_object_new_object();

    json_object_object_add(json, "node", json_object_new_string(change->node));
    json_object_object_add(json, "key", json_object_new_string(change->key));
    if (is_unset(change)) {
        json_object_object_add(json, "unset", json_object_new_boolean(1));
    }
    else {
        json_object_object_add(json, "value",
                               json_tokener_parse(change->value));
    }
    return json;
}

/**
 * edit_format() - encode an edit as JSON
 * @edit: the edit
 *
 * Return: the text, which the caller frees with free().
 */
char *
edit_format(const struct edit *edit)
{
    struct json_object *json = json_object_new_object();
    struct json_object *changes = json_object_new_array();
    char *text;

    for (int i = 0; i < edit->change_count; i++) {
        json_object_array_add(changes, format_change(&edit->changes[i]));
    }
    json_object_object_add(json, "id", json_object_new_string(edit->id));
    json_object_object_add(json, "author",
                           json_object_new_string(edit->author));
    json_object_object_add(json, "base_revision",
                           json_object_new_int64(edit->base_revision));
    json_object_object_add(json, "changes", changes);
    text = strdup(json_object_to_json_string_ext(
        json, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
    json_object_put(json);
    return text;
}

/**
 * edit_free() - release the changes of an edit
 * @edit: the edit
 */
void
edit_free(struct edit *edit)
{
    free(edit->changes);
    edit->changes = NULL;
    edit->change_count = 0;
}
