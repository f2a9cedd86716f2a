/**
 * DOC: The right to accept keys.
 *
 * The failure answered here is an instance that is cut off while an operator
 * removes a key: it can't hear of it. So its right to accept keys ends, unless
 * it learns again and again that its configuration is still the newest. Times
 * are those of this instance's own clock, which goes on during suspend, and
 * from before the question was sent.
 */
#include <math.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/dat.h"
#include "gate/dat.h"
#include "gate/team/dat.h"
#include "gate/team/fns.h"

/* The rest of the time allows for a watch that reports changes up to a second
 * late while the store drops its history. */
static const double LEASE_SHARE = 0.8;

/**
 * key_lease_init() - initialize a lease that isn't valid yet
 * @lease: the lease
 * @revocation_ms: time after which no instance may accept a removed key; 0 for
 * no limit
 */
void
key_lease_init(struct key_lease *lease, int64_t revocation_ms)
{
    lease->length_ms =
        (int64_t)ceil((double)revocation_ms * LEASE_SHARE); /* 0: no limit */
    lease->confirmed_ms = -1;
}

/**
 * key_lease_confirm() - take over that the configuration was the newest
 * @lease: the lease
 * @confirmed_ms: when it was, by clock_boot_ms(); an earlier time than the
 * last one is ignored
 *
 * Return: whether the lease ends later than before.
 */
bool
key_lease_confirm(struct key_lease *lease, int64_t confirmed_ms)
{
    if (confirmed_ms <= lease->confirmed_ms) {
        return false;
    }
    lease->confirmed_ms = confirmed_ms;
    return true;
}

/**
 * key_lease_is_valid() - whether keys are accepted
 * @lease: the lease
 * @boot_ms: current time by clock_boot_ms()
 */
bool
key_lease_is_valid(const struct key_lease *lease, int64_t boot_ms)
{
    return lease->length_ms == 0 || boot_ms < key_lease_end_ms(lease);
}

/**
 * key_lease_end_ms() - when the lease ends
 * @lease: the lease
 *
 * Return: a time by clock_boot_ms(); INT64_MIN when it was never confirmed.
 */
int64_t
key_lease_end_ms(const struct key_lease *lease)
{
    return lease->confirmed_ms >= 0 ? lease->confirmed_ms + lease->length_ms
                                    : INT64_MIN;
}
