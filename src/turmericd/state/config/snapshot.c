/**
 * DOC: Snapshots of the tree in the key-value store.
 *
 * A snapshot is written in parts, followed by the pointer to it. Only then are
 * the entries and parts that are older than the previous snapshot removed. So
 * the store always has a complete snapshot with all entries after it.
 */
#include <glib.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "kv/dat.h"
#include "kv/fns.h"
#include "proto/peer.pb-c.h"
#include "tree/dat.h"
#include "tree/fns.h"
#include "turmericd/state/config/dat.h"
#include "turmericd/state/config/fns.h"
#include "turmericd/state/config/internal.h"

static void
snapshot_part_key(char key[KV_KEY_MAX_BYTES], int64_t revision, int part)
{
    snprintf(key, KV_KEY_MAX_BYTES,
             CONFIG_SNAPSHOT_PREFIX "/%012" PRId64 "/%04d", revision, part);
}

/**
 * snapshot_pointer_read() - read the pointer to the last snapshot
 * @kv: key-value store
 * @pointer: filled in; revision 0 when there is no snapshot
 * @err: filled in on failure
 *
 * Return: false with ERR_BAD_JSON for an invalid pointer, or with the error of
 * kv_get().
 */
bool
snapshot_pointer_read(struct kv *kv, struct snapshot_pointer *pointer,
                      struct err *err)
{
    struct kv_entry entry = {0};
    struct json_object *json;

    memset(pointer, 0, sizeof(*pointer));
    if (!kv_get(kv, CONFIG_SNAPSHOT_POINTER_KEY, &entry, err)) {
        return false;
    }
    if (entry.revision == 0) {
        return true;
    }
    json = json_tokener_parse(entry.value);
    pointer->kv_revision = entry.revision;
    pointer->revision =
        json_object_get_int64(json_object_object_get(json, "revision"));
    pointer->part_count =
        json_object_get_int(json_object_object_get(json, "parts"));
    json_object_put(json);
    kv_entry_free(&entry);
    if (pointer->revision < 1 || pointer->part_count < 1 ||
        pointer->part_count > SNAPSHOT_PARTS_MAX) {
        return err_set(err, ERR_BAD_JSON,
                       CONFIG_SNAPSHOT_POINTER_KEY
                       " is not a valid snapshot pointer");
    }
    return true;
}

static bool
read_part(struct kv *kv, int64_t revision, int part, GString *json,
          struct err *err)
{
    char key[KV_KEY_MAX_BYTES];
    struct kv_entry entry = {0};

    snapshot_part_key(key, revision, part);
    if (!kv_get(kv, key, &entry, err)) {
        return false;
    }
    if (entry.revision == 0) {
        return err_set(err, ERR_NOT_FOUND, "snapshot part %s is missing", key);
    }
    g_string_append_len(json, entry.value, (gssize)entry.value_bytes);
    kv_entry_free(&entry);
    return true;
}

/**
 * config_load_snapshot() - load a snapshot and install it if it is newer
 * @config: configuration duty
 * @pointer: pointer to the snapshot
 * @err: filled in on failure
 *
 * Return: false with ERR_NOT_FOUND when a part is missing, or with the error
 * of kv_get() or tree_parse().
 */
bool
config_load_snapshot(struct config *config,
                     const struct snapshot_pointer *pointer, struct err *err)
{
    GString *json = g_string_new(NULL);
    bool succeeded = true;

    for (int i = 0; i < pointer->part_count && succeeded; i++) {
        succeeded = read_part(config->kv, pointer->revision, i, json, err);
    }
    succeeded =
        succeeded &&
        config_install_snapshot(config, json->str, json->len, TIME_NEVER, err);
    g_string_free(json, TRUE);
    return succeeded;
}

/* A part that exists is left as it is: all instances write the same parts for
 * a revision. */
static bool
write_part(struct kv *kv, int64_t revision, int part, const char *data,
           size_t bytes, struct err *err)
{
    char key[KV_KEY_MAX_BYTES];

    snapshot_part_key(key, revision, part);
    return kv_cas(kv, key, 0, data, bytes, NULL, err) ||
           err->kind == ERR_KV_CONFLICT;
}

/* Returns the number of parts, or 0 on failure. */
static int
write_parts(struct kv *kv, const struct tree *tree, struct err *err)
{
    char *json = tree_format(tree);
    size_t json_bytes = strlen(json);
    size_t offset = 0;
    int part_count = 0;
    bool succeeded = true;

    while (offset < json_bytes && succeeded) {
        size_t part_bytes = MIN(json_bytes - offset, SNAPSHOT_PART_MAX_BYTES);

        succeeded = part_count < SNAPSHOT_PARTS_MAX &&
                    write_part(kv, tree_revision(tree), part_count,
                               json + offset, part_bytes, err);
        offset += part_bytes;
        part_count++;
    }
    free(json);
    return succeeded ? part_count : 0;
}

static bool
write_snapshot_pointer(struct kv *kv, const struct snapshot_pointer *previous,
                       int64_t revision, int part_count, struct err *err)
{
    char value[NAME_MAX_BYTES];
    int length = snprintf(value, sizeof(value),
                          "{\"revision\":%" PRId64 ",\"parts\":%d}", revision,
                          part_count);

    return kv_cas(kv, CONFIG_SNAPSHOT_POINTER_KEY, previous->kv_revision,
                  value, (size_t)length, NULL, err);
}

/* Ignores errors: what remains is removed together with the next snapshot's
 * old data. */
static void
remove_older_data(struct kv *kv, int64_t revision)
{
    char end[KV_KEY_MAX_BYTES];

    snprintf(end, sizeof(end), CONFIG_LOG_PREFIX "/%012" PRId64, revision);
    kv_remove(kv, CONFIG_LOG_PREFIX "/", end, NULL);
    snprintf(end, sizeof(end), CONFIG_SNAPSHOT_PREFIX "/%012" PRId64,
             revision);
    kv_remove(kv, CONFIG_SNAPSHOT_PREFIX "/", end, NULL);
}

/**
 * config_write_snapshot_if_due() - write a snapshot if enough entries were
 * added
 * @config: configuration duty
 *
 * A snapshot that could not be written is due again after the next edit.
 */
void
config_write_snapshot_if_due(struct config *config)
{
    struct tree *tree = config_tree_ref(config);
    struct snapshot_pointer pointer;
    struct err err = {0};
    int part_count;

    if (tree == NULL) {
        return;
    }
    if (snapshot_pointer_read(config->kv, &pointer, &err) &&
        tree_revision(tree) - pointer.revision >= SNAPSHOT_INTERVAL_ENTRIES) {
        part_count = write_parts(config->kv, tree, &err);
        if (part_count > 0 &&
            write_snapshot_pointer(config->kv, &pointer, tree_revision(tree),
                                   part_count, &err)) {
            remove_older_data(config->kv, pointer.revision);
        }
    }
    if (err.kind != ERR_NONE && err.kind != ERR_KV_CONFLICT) {
        log_line(LOG_PRI_WARNING, "config",
                 "event=snapshot_failed error=%s detail=\"%s\"",
                 err_info(err.kind)->name, err.text);
    }
    tree_unref(tree);
}
