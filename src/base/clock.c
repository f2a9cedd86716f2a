/**
 * DOC: Clocks.
 *
 * Only the run loops of duties read a clock. Functions that make decisions
 * take the current time as an argument.
 */
#include <time.h>

#include "base/dat.h"
#include "base/fns.h"

static int64_t
read_clock_ms(clockid_t clock)
{
    struct timespec now;

    clock_gettime(clock, &now);
    return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

/**
 * clock_now_ms() - monotonic time in milliseconds
 */
int64_t
clock_now_ms(void)
{
    return read_clock_ms(CLOCK_MONOTONIC);
}

/**
 * clock_boot_ms() - like clock_now_ms(), but includes time in suspend, so
 * that a lease which ended during suspend is seen as ended
 */
int64_t
clock_boot_ms(void)
{
    return read_clock_ms(CLOCK_BOOTTIME);
}

/**
 * clock_wall_ms() - Unix time in milliseconds, for the age of UUIDv7 keys
 */
int64_t
clock_wall_ms(void)
{
    return read_clock_ms(CLOCK_REALTIME);
}

/**
 * clock_deadline() - monotonic deadline for pthread_cond_timedwait()
 * @timeout_ms: time from now
 */
struct timespec
clock_deadline(int64_t timeout_ms)
{
    struct timespec deadline;

    clock_gettime(CLOCK_MONOTONIC, &deadline);
    deadline.tv_sec += timeout_ms / 1000;
    deadline.tv_nsec += timeout_ms % 1000 * 1000000;
    if (deadline.tv_nsec >= 1000000000) {
        deadline.tv_sec++;
        deadline.tv_nsec -= 1000000000;
    }
    return deadline;
}

/**
 * cond_init_monotonic() - initialize a condition variable that uses the
 * monotonic clock, as clock_deadline() does
 * @cond: the condition variable
 */
void
cond_init_monotonic(pthread_cond_t *cond)
{
    pthread_condattr_t attributes;

    pthread_condattr_init(&attributes);
    pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    pthread_cond_init(cond, &attributes);
    pthread_condattr_destroy(&attributes);
}
