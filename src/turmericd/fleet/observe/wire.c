/**
 * DOC: Converts reports to and from protobuf messages between instances.
 */
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "tree/dat.h"
#include "turmericd/fleet/member/dat.h"
#include "turmericd/fleet/observe/dat.h"
#include "turmericd/fleet/observe/fns.h"

/**
 * report_pack() - fill in the message for a report
 * @report: the report; must outlive @packed
 * @load_only: set only the id, the state and the load
 * @packed: receives the message, which points into @report
 */
void
report_pack(const struct target_report *report, bool load_only,
            Turmeric__TargetReport *packed)
{
    turmeric__target_report__init(packed);
    packed->id = report->id;
    packed->state = report->state;
    packed->running = report->running;
    packed->waiting = report->waiting;
    packed->load_only = load_only;
    if (load_only) {
        return;
    }
    packed->name = (char *)report->name;
    packed->service = (char *)report->service;
    packed->data_centre = (char *)report->data_centre;
    packed->address = (char *)report->address;
    packed->kind = report->kind;
    packed->incarnation = report->incarnation;
    packed->memory_mb = report->memory_mb;
    packed->used_mb = report->used_mb;
    packed->n_loaded = report->loaded_count;
    packed->loaded = (uint64_t *)report->loaded;
    packed->n_cached_memory = report->cached_memory_count;
    packed->cached_memory = (uint64_t *)report->cached_memory;
    packed->n_cached_disk = report->cached_disk_count;
    packed->cached_disk = (uint64_t *)report->cached_disk;
}

static bool
copy_checked_text(const char *text, char *out, size_t bytes, const char *field,
                  struct err *err)
{
    size_t length = strlen(text);

    if (length == 0 || length >= bytes) {
        return err_set(err, ERR_BAD_FRAME, "%s has invalid length %zu", field,
                       length);
    }
    memcpy(out, text, length + 1);
    return true;
}

static bool
copy_leaf_ids(const uint64_t *ids, size_t count, uint64_t *out,
              uint16_t *out_count, size_t max, struct err *err)
{
    if (count > max) {
        return err_set(err, ERR_BAD_FRAME, "%zu leaves are too many", count);
    }
    if (count > 0) {
        memcpy(out, ids, count * sizeof(*ids));
    }
    *out_count = (uint16_t)count;
    return true;
}

static bool
decode_identity(const Turmeric__TargetReport *packed,
                struct target_report *report, struct err *err)
{
    if (!copy_checked_text(packed->name, report->name, sizeof(report->name),
                           "name", err) ||
        !copy_checked_text(packed->service, report->service,
                           sizeof(report->service), "service", err) ||
        !copy_checked_text(packed->data_centre, report->data_centre,
                           sizeof(report->data_centre), "data_centre", err) ||
        !copy_checked_text(packed->address, report->address,
                           sizeof(report->address), "address", err)) {
        return false;
    }
    if (packed->kind > TARGET_PLAIN || packed->id != hash_text(report->name)) {
        return err_set(err, ERR_BAD_FRAME,
                       "invalid kind %u or wrong id of target %s",
                       packed->kind, report->name);
    }
    report->kind = (enum target_kind)packed->kind;
    return true;
}

static bool
decode_content(const Turmeric__TargetReport *packed,
               struct target_report *report, struct err *err)
{
    report->incarnation = packed->incarnation;
    report->memory_mb = packed->memory_mb;
    report->used_mb = packed->used_mb;
    return copy_leaf_ids(packed->loaded, packed->n_loaded, report->loaded,
                         &report->loaded_count, REPORT_LOADED_MAX, err) &&
           copy_leaf_ids(packed->cached_memory, packed->n_cached_memory,
                         report->cached_memory, &report->cached_memory_count,
                         REPORT_CACHED_MAX, err) &&
           copy_leaf_ids(packed->cached_disk, packed->n_cached_disk,
                         report->cached_disk, &report->cached_disk_count,
                         REPORT_CACHED_MAX, err);
}

/**
 * report_unpack() - validate and copy a received report
 * @packed: the message
 * @report: receives the report; with load_only all but id, state and load
 *          are empty
 * @err: filled in on failure
 *
 * TARGET_GONE is rejected: each member derives it from the list it reads.
 *
 * Return: false with ERR_BAD_FRAME.
 */
bool
report_unpack(const Turmeric__TargetReport *packed,
              struct target_report *report, struct err *err)
{
    memset(report, 0, sizeof(*report));
    if (packed->state >= TARGET_GONE) {
        return err_set(err, ERR_BAD_FRAME, "invalid target state %u",
                       packed->state);
    }
    report->id = packed->id;
    report->state = (enum target_state)packed->state;
    report->running = packed->running;
    report->waiting = packed->waiting;
    return packed->load_only || (decode_identity(packed, report, err) &&
                                 decode_content(packed, report, err));
}
