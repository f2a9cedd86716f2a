/**
 * DOC: Snapshots of the tree in the key-value service.
 *
 * A snapshot is written in parts, then the pointer to it, and only then the
 * entries and parts older than the snapshot before are removed. So there is
 * always a complete snapshot with all entries after it.
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
part_key(char key[KV_KEY_MAX_BYTES], int64_t revision, int part)
{
    snprintf(key, KV_KEY_MAX_BYTES, CONFIG_SNAPSHOT "/%012" PRId64 "/%04d",
             revision, part);
}

/**
 * base_read() - read the pointer to the last snapshot
 * @kv: the service
 * @base: filled in; revision 0 when there is no snapshot
 * @err: filled in on failure
 */
bool
base_read(struct kv *kv, struct base *base, struct err *err)
{
    struct kv_entry entry = {0};
    struct json_object *json;

    memset(base, 0, sizeof(*base));
    if (!kv_get(kv, CONFIG_BASE, &entry, err)) {
        return false;
    }
    if (entry.revision == 0) {
        return true;
    }
    json = json_tokener_parse(entry.value);
    base->kv_revision = entry.revision;
    base->revision =
        json_object_get_int64(json_object_object_get(json, "revision"));
    base->parts = json_object_get_int(json_object_object_get(json, "parts"));
    json_object_put(json);
    kv_entry_free(&entry);
    if (base->revision < 1 || base->parts < 1 ||
        base->parts > SNAPSHOT_PARTS_MAX) {
        return err_set(err, ERR_BAD_JSON, CONFIG_BASE " is not a pointer");
    }
    return true;
}

static bool
append_part(struct kv *kv, int64_t revision, int part, GString *text,
            struct err *err)
{
    char key[KV_KEY_MAX_BYTES];
    struct kv_entry entry = {0};

    part_key(key, revision, part);
    if (!kv_get(kv, key, &entry, err)) {
        return false;
    }
    if (entry.revision == 0) {
        return err_set(err, ERR_NOT_FOUND, "%s is missing", key);
    }
    g_string_append_len(text, entry.value, (gssize)entry.value_bytes);
    kv_entry_free(&entry);
    return true;
}

/**
 * base_load() - load a snapshot of the service
 * @config: the duty
 * @base: pointer to the snapshot
 * @err: filled in on failure
 */
bool
base_load(struct config *config, const struct base *base, struct err *err)
{
    GString *text = g_string_new(NULL);
    bool done = true;

    for (int i = 0; i < base->parts && done; i++) {
        done = append_part(config->kv, base->revision, i, text, err);
    }
    done = done &&
           config_adopt_tree(config, text->str, text->len, TIME_NEVER, err);
    g_string_free(text, TRUE);
    return done;
}

/* The parts of a revision are the same whoever writes them. */
static bool
write_part(struct kv *kv, int64_t revision, int part, const char *data,
           size_t bytes, struct err *err)
{
    char key[KV_KEY_MAX_BYTES];

    part_key(key, revision, part);
    return kv_cas(kv, key, 0, data, bytes, NULL, err) ||
           err->kind == ERR_KV_CONFLICT;
}

/* Returns the number of parts, or 0 on failure. */
static int
write_parts(struct kv *kv, const struct tree *tree, struct err *err)
{
    char *text = tree_format(tree);
    size_t bytes = strlen(text);
    size_t offset = 0;
    int parts = 0;
    bool done = true;

    while (offset < bytes && done) {
        size_t part_bytes = MIN(bytes - offset, SNAPSHOT_PART_MAX_BYTES);

        done = parts < SNAPSHOT_PARTS_MAX &&
               write_part(kv, tree_revision(tree), parts, text + offset,
                          part_bytes, err);
        offset += part_bytes;
        parts++;
    }
    free(text);
    return done ? parts : 0;
}

static bool
write_pointer(struct kv *kv, const struct base *old, int64_t revision,
              int parts, struct err *err)
{
    char value[NAME_MAX_BYTES];
    int length =
        snprintf(value, sizeof(value),
                 "{\"revision\":%" PRId64 ",\"parts\":%d}", revision, parts);

    return kv_cas(kv, CONFIG_BASE, old->kv_revision, value, (size_t)length,
                  NULL, err);
}

/* Failures leave garbage that the next snapshot's removal takes along. */
static void
remove_older(struct kv *kv, int64_t revision)
{
    char end[KV_KEY_MAX_BYTES];

    snprintf(end, sizeof(end), CONFIG_LOG "/%012" PRId64, revision);
    kv_remove(kv, CONFIG_LOG "/", end, NULL);
    snprintf(end, sizeof(end), CONFIG_SNAPSHOT "/%012" PRId64, revision);
    kv_remove(kv, CONFIG_SNAPSHOT "/", end, NULL);
}

/**
 * config_archive() - write a snapshot when enough entries were added
 * @config: the duty
 *
 * A snapshot that fails is made up for after the next edit.
 */
void
config_archive(struct config *config)
{
    struct tree *tree = config_pin(config);
    struct base base;
    struct err err = {0};
    int parts;

    if (tree == NULL) {
        return;
    }
    if (base_read(config->kv, &base, &err) &&
        tree_revision(tree) - base.revision >= SNAPSHOT_INTERVAL) {
        parts = write_parts(config->kv, tree, &err);
        if (parts > 0 && write_pointer(config->kv, &base, tree_revision(tree),
                                       parts, &err)) {
            remove_older(config->kv, base.revision);
        }
    }
    if (err.kind != ERR_NONE && err.kind != ERR_KV_CONFLICT) {
        log_line(LOG_PRI_WARNING, "config",
                 "event=snapshot_failed error=%s detail=\"%s\"",
                 err_info(err.kind)->name, err.text);
    }
    tree_unref(tree);
}
