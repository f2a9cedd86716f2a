/**
 * DOC: Directory of the members that frames can be sent to.
 *
 * Senders reserve space in the queue of one member here, in their own threads,
 * so that a slow member causes only messages to itself to be refused.
 */
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "turmericd/fleet/peer/dat.h"
#include "turmericd/fleet/peer/fns.h"

enum {
    /* Holds two frames of the largest size. Normal traffic is 14 KB/s in
     * total, so the queue fills only when the member stops reading. */
    MEMBER_QUEUE_MAX_BYTES = 2 * PEER_FRAME_MAX_BYTES,
};

/**
 * directory_init() - set up an empty directory
 * @directory: the directory
 * @err: filled in on failure
 */
bool
directory_init(struct peer_directory *directory, struct err *err)
{
    directory->changed = false;
    if (!table_init(&directory->entries, PEERS_MAX, sizeof(struct peer_entry),
                    err)) {
        return false;
    }
    pthread_mutex_init(&directory->lock, NULL);
    return true;
}

/**
 * directory_free() - free a directory that no thread uses any more
 * @directory: the directory
 */
void
directory_free(struct peer_directory *directory)
{
    pthread_mutex_destroy(&directory->lock);
    table_destroy(&directory->entries);
}

/* Called with the lock held. */
static struct peer_entry *
entry_find(struct peer_directory *directory, uint64_t member,
           struct handle *handle)
{
    uint32_t cursor = 0;
    struct peer_entry *entry;

    entry = table_next(&directory->entries, &cursor, handle);
    while (entry != NULL && entry->member != member) {
        entry = table_next(&directory->entries, &cursor, handle);
    }
    return entry;
}

/* Called with the lock held. */
static bool
entry_set(struct peer_directory *directory, uint64_t member,
          const char *address, struct err *err)
{
    struct handle handle;
    struct peer_entry *entry = entry_find(directory, member, &handle);

    if (entry == NULL) {
        entry = table_alloc(&directory->entries, &handle, err);
        if (entry == NULL) {
            return false;
        }
        memset(entry, 0, sizeof(*entry));
        entry->member = member;
    }
    if (strcmp(entry->address, address) != 0) {
        snprintf(entry->address, sizeof(entry->address), "%s", address);
        entry->address_version++;
        directory->changed = true;
    }
    return true;
}

/**
 * directory_set_address() - add a member or change its address
 * @directory: the directory
 * @member: id of the member
 * @address: IP address and port
 * @err: filled in on failure
 *
 * Return: false with ERR_SETTINGS for an invalid address or ERR_TABLE_FULL.
 */
bool
directory_set_address(struct peer_directory *directory, uint64_t member,
                      const char *address, struct err *err)
{
    struct sockaddr_storage parsed;
    socklen_t bytes;
    bool set;

    if (strlen(address) >= ADDRESS_MAX_BYTES) {
        return err_set(err, ERR_SETTINGS, "peer address is too long");
    }
    if (!socket_parse_address(address, &parsed, &bytes, err)) {
        return false;
    }
    pthread_mutex_lock(&directory->lock);
    set = entry_set(directory, member, address, err);
    pthread_mutex_unlock(&directory->lock);
    return set;
}

/**
 * directory_remove() - remove a member
 * @directory: the directory
 * @member: id of the member
 */
void
directory_remove(struct peer_directory *directory, uint64_t member)
{
    struct handle handle;

    pthread_mutex_lock(&directory->lock);
    if (entry_find(directory, member, &handle) != NULL) {
        table_free(&directory->entries, handle);
        directory->changed = true;
    }
    pthread_mutex_unlock(&directory->lock);
}

/* Called with the lock held. */
static bool
entry_reserve(struct peer_entry *entry, size_t bytes, struct err *err)
{
    if (entry->queued_bytes + bytes > MEMBER_QUEUE_MAX_BYTES) {
        return err_set(err, ERR_QUEUE_FULL, "%zu bytes already queued for %s",
                       entry->queued_bytes, entry->address);
    }
    entry->queued_bytes += bytes;
    return true;
}

/**
 * directory_reserve() - reserve space for a frame in a member's queue
 * @directory: the directory
 * @member: id of the member
 * @bytes: length of the frame
 * @entry: receives the handle of the member's entry
 * @err: filled in on failure
 *
 * Return: false with ERR_NO_TARGET when the member is not in the directory, or
 * ERR_QUEUE_FULL.
 */
bool
directory_reserve(struct peer_directory *directory, uint64_t member,
                  size_t bytes, struct handle *entry, struct err *err)
{
    struct peer_entry *found;
    bool reserved;

    pthread_mutex_lock(&directory->lock);
    found = entry_find(directory, member, entry);
    if (found == NULL) {
        reserved = err_set(err, ERR_NO_TARGET, "no address for member %016llx",
                           (unsigned long long)member);
    }
    else {
        reserved = entry_reserve(found, bytes, err);
    }
    pthread_mutex_unlock(&directory->lock);
    return reserved;
}

/**
 * directory_release() - release reserved space in a member's queue
 * @directory: the directory
 * @entry: handle of the member's entry; may be stale
 * @bytes: bytes written or dropped
 */
void
directory_release(struct peer_directory *directory, struct handle entry,
                  size_t bytes)
{
    struct peer_entry *found;

    pthread_mutex_lock(&directory->lock);
    found = table_get(&directory->entries, entry);
    if (found != NULL) {
        found->queued_bytes -= bytes;
    }
    pthread_mutex_unlock(&directory->lock);
}

/**
 * directory_get() - copy an entry
 * @directory: the directory
 * @handle: handle of the entry
 * @entry: receives the copy
 *
 * Return: false when the member has been removed.
 */
bool
directory_get(struct peer_directory *directory, struct handle handle,
              struct peer_entry *entry)
{
    const struct peer_entry *found;

    pthread_mutex_lock(&directory->lock);
    found = table_get(&directory->entries, handle);
    if (found != NULL) {
        *entry = *found;
    }
    pthread_mutex_unlock(&directory->lock);
    return found != NULL;
}

/**
 * directory_clear_changed() - whether entries changed since the last call
 * @directory: the directory
 */
bool
directory_clear_changed(struct peer_directory *directory)
{
    bool changed;

    pthread_mutex_lock(&directory->lock);
    changed = directory->changed;
    directory->changed = false;
    pthread_mutex_unlock(&directory->lock);
    return changed;
}
