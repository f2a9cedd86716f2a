/**
 * DOC: Token bucket of a team over all instances.
 *
 * Holds the bound on what a team spends in any window, whichever instances
 * spend it: what can be granted and what is granted but not known to be spent
 * are together at most the capacity, so that a window of W seconds sees at
 * most the capacity and W x the rate.
 */
#include <glib.h>
#include <math.h>

#include "base/dat.h"
#include "gate/dat.h"
#include "gate/quota/dat.h"
#include "gate/quota/fns.h"

/* Grants in flight take room from the burst; this much of it, in seconds of
 * the rate, does not reduce what a caller may send at once. */
static const double IN_FLIGHT_S = 0.1;

/* Share of the rate at which returned units that have waited for long are
 * added. A window of 8 s grows by 16 hundredths of a second of the rate. */
static const double RETURN_SHARE = 0.02;

/* While fallback shares take most of the rate, callers are still told a time
 * at which these may have ended. */
static const double RATE_SHARE_MIN = 0.1;

enum { ROOM_MIN_MS = 20 };

static const double MS_PER_S = 1000.0;

/**
 * bucket_init() - initialize an empty bucket without a rate
 * @bucket: the bucket
 * @now_ms: current time
 */
void
bucket_init(struct bucket *bucket, int64_t now_ms)
{
    *bucket = (struct bucket){.at_ms = now_ms};
}

/**
 * bucket_empty() - forget what was added, and what is to be put back
 * @bucket: the bucket; keeps its rate and burst
 * @now_ms: current time
 */
void
bucket_empty(struct bucket *bucket, int64_t now_ms)
{
    *bucket = (struct bucket){.rate_per_s = bucket->rate_per_s,
                              .burst = bucket->burst,
                              .at_ms = now_ms};
}

/**
 * bucket_capacity() - units that may be granted or held at a time
 * @bucket: the bucket
 */
double
bucket_capacity(const struct bucket *bucket)
{
    return bucket->burst + bucket->rate_per_s * IN_FLIGHT_S;
}

/**
 * bucket_set() - apply a changed quota
 * @bucket: the bucket, advanced to the present time
 * @rate_per_s: units per second
 * @burst: units that may be spent at once
 *
 * A lowered quota cuts what can be granted at once.
 */
void
bucket_set(struct bucket *bucket, double rate_per_s, double burst)
{
    bucket->rate_per_s = rate_per_s;
    bucket->burst = burst;
    bucket->level = MIN(bucket->level, bucket_capacity(bucket));
}

static void
add(struct bucket *bucket, double units, double held)
{
    double room = bucket_capacity(bucket) - held - bucket->level;

    bucket->level += CLAMP(units, 0.0, MAX(room, 0.0));
}

/**
 * bucket_advance() - add the units of the time that has passed
 * @bucket: the bucket
 * @reserved_per_s: part of the rate that others may spend unseen
 * @held: units granted and not known to be spent
 * @now_ms: current time
 */
void
bucket_advance(struct bucket *bucket, double reserved_per_s, double held,
               int64_t now_ms)
{
    double seconds = (double)(now_ms - bucket->at_ms) / MS_PER_S;
    double free_per_s = MAX(bucket->rate_per_s - reserved_per_s, 0.0);
    double returned =
        MIN(bucket->returned, bucket->rate_per_s * RETURN_SHARE * seconds);

    if (seconds <= 0.0) {
        return;
    }
    bucket->at_ms = now_ms;
    bucket->returned -= returned;
    bucket->promised = MAX(bucket->promised - free_per_s * seconds, 0.0);
    add(bucket, free_per_s * seconds + returned, held);
}

/**
 * bucket_needed() - level from which a request is granted
 * @bucket: the bucket
 * @units: of the request
 *
 * A request that is larger than the burst is granted when the bucket is full,
 * and leaves it below zero, so that it is the only one for a while instead of
 * being refused for ever.
 */
double
bucket_needed(const struct bucket *bucket, int64_t units)
{
    double full =
        bucket->burst > 0.0 ? bucket->burst : bucket_capacity(bucket);

    return MIN((double)units, full);
}

/**
 * bucket_take() - take units out, which may leave the bucket below zero
 * @bucket: the bucket
 * @units: how many
 */
void
bucket_take(struct bucket *bucket, double units)
{
    bucket->level -= units;
}

/**
 * bucket_put_back() - put units back that were taken and not spent
 * @bucket: the bucket
 * @units: how many
 * @held: units granted and not known to be spent, without these
 */
void
bucket_put_back(struct bucket *bucket, double units, double held)
{
    add(bucket, units, held);
}

/**
 * bucket_room_ms() - time until there is room for units, behind those that
 * callers were told to return for
 * @bucket: the bucket
 * @reserved_per_s: part of the rate that others may spend unseen
 * @units: how many
 *
 * Return: from ROOM_MIN_MS to QUOTA_ROOM_MAX_MS.
 */
int64_t
bucket_room_ms(const struct bucket *bucket, double reserved_per_s,
               double units)
{
    double per_s = MAX(bucket->rate_per_s - reserved_per_s,
                       bucket->rate_per_s * RATE_SHARE_MIN);
    double missing = bucket->promised + units - bucket->level;
    double room_ms = per_s > 0.0 ? ceil(missing / per_s * MS_PER_S)
                                 : (double)QUOTA_ROOM_MAX_MS;

    return (int64_t)CLAMP(room_ms, (double)ROOM_MIN_MS,
                          (double)QUOTA_ROOM_MAX_MS);
}

/**
 * bucket_promise() - note units that callers were told to return for
 * @bucket: the bucket
 * @units: how many
 */
void
bucket_promise(struct bucket *bucket, double units)
{
    double most = bucket->rate_per_s * QUOTA_ROOM_MAX_MS / MS_PER_S;

    bucket->promised = MIN(bucket->promised + units, most);
}
