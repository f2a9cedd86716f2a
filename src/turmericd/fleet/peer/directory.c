/**
 * DOC: Directory of the members that frames can be sent to.
 *
 * Senders reserve room in a member's queue here, in their own threads, so
 * that a slow member refuses its own messages and no others.
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
    /* Room for the largest frame and as much again. Ordinary traffic is
     * 14 KB/s in total, so only a member that has stopped reading fills it. */
    QUEUE_MAX_BYTES = 2 * PEER_FRAME_MAX_BYTES,
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
    if (!table_init(&directory->entries, PEER_MAX, sizeof(struct peer_entry),
                    err)) {
        return false;
    }
    pthread_mutex_init(&directory->lock, NULL);
    return true;
}

/**
 * directory_free() - release a directory that no thread uses any more
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
        entry->version++;
        directory->changed = true;
    }
    return true;
}

/**
 * directory_set() - set the address of a member
 * @directory: the directory
 * @member: its id
 * @address: IP address and port
 * @err: filled in on failure
 *
 * Return: false with ERR_SETTINGS for an unusable address or ERR_TABLE_FULL.
 */
bool
directory_set(struct peer_directory *directory, uint64_t member,
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
 * directory_forget() - remove a member
 * @directory: the directory
 * @member: its id
 */
void
directory_forget(struct peer_directory *directory, uint64_t member)
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
    if (entry->queued_bytes + bytes > QUEUE_MAX_BYTES) {
        return err_set(err, ERR_QUEUE_FULL, "%zu bytes wait for peer %s",
                       entry->queued_bytes, entry->address);
    }
    entry->queued_bytes += bytes;
    return true;
}

/**
 * directory_reserve() - take room for a frame in a member's queue
 * @directory: the directory
 * @member: its id
 * @bytes: length of the frame
 * @entry: receives the member's entry
 * @err: filled in on failure
 *
 * Return: false with ERR_NO_TARGET without an address, or ERR_QUEUE_FULL.
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
        reserved = err_set(err, ERR_NO_TARGET, "no address of peer %016llx",
                           (unsigned long long)member);
    }
    else {
        reserved = entry_reserve(found, bytes, err);
    }
    pthread_mutex_unlock(&directory->lock);
    return reserved;
}

/**
 * directory_release() - give back room in a member's queue
 * @directory: the directory
 * @entry: the member's entry; may be stale
 * @bytes: length of what left the queue
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
 * directory_read() - copy an entry
 * @directory: the directory
 * @handle: which one
 * @entry: receives the copy
 *
 * Return: false when the member has been forgotten.
 */
bool
directory_read(struct peer_directory *directory, struct handle handle,
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
 * directory_take_changed() - tell whether entries changed since the last call
 * @directory: the directory
 */
bool
directory_take_changed(struct peer_directory *directory)
{
    bool changed;

    pthread_mutex_lock(&directory->lock);
    changed = directory->changed;
    directory->changed = false;
    pthread_mutex_unlock(&directory->lock);
    return changed;
}
