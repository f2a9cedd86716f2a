/**
 * DOC: Process-wide counters.
 *
 * There is one atomic value per counter and one per refusal reason, so that
 * any thread can add without a lock.
 */
#include <inttypes.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdio.h>

#include "base/dat.h"
#include "base/fns.h"

static atomic_uint_fast64_t counters[COUNTER_COUNT];
static atomic_uint_fast64_t refusals[ERR_KIND_COUNT];

static const char *const counter_names[COUNTER_COUNT] = {
#define X(id, name) [id] = name,
    COUNTERS(X)
#undef X
};

/**
 * counter_add() - increase a counter
 * @counter: the counter
 * @amount: amount to add
 */
void
counter_add(enum counter counter, uint64_t amount)
{
    atomic_fetch_add_explicit(&counters[counter], amount,
                              memory_order_relaxed);
}

/**
 * refusal_add() - count a refusal
 * @kind: reason
 */
void
refusal_add(enum err_kind kind)
{
    atomic_fetch_add_explicit(&refusals[kind], 1, memory_order_relaxed);
}

/**
 * counter_read() - current value of a counter
 * @counter: the counter
 */
uint64_t
counter_read(enum counter counter)
{
    return atomic_load_explicit(&counters[counter], memory_order_relaxed);
}

/**
 * refusal_read() - number of refusals for a reason
 * @kind: reason
 */
uint64_t
refusal_read(enum err_kind kind)
{
    return atomic_load_explicit(&refusals[kind], memory_order_relaxed);
}

/**
 * counter_name() - name of a counter in metrics output
 * @counter: the counter
 */
const char *
counter_name(enum counter counter)
{
    return counter_names[counter];
}

static size_t append_format(char *buffer, size_t bytes, size_t used,
                            const char *format, ...)
    __attribute__((format(printf, 4, 5)));

static size_t
append_format(char *buffer, size_t bytes, size_t used, const char *format, ...)
{
    va_list arguments;
    size_t available = used < bytes ? bytes - used : 0;

    va_start(arguments, format);
    used += (size_t)vsnprintf(available > 0 ? buffer + used : NULL, available,
                              format, arguments);
    va_end(arguments);
    return used;
}

/**
 * counters_format() - format all counters as lines of "name value"
 * @buffer: output buffer
 * @bytes: size of @buffer
 *
 * Refusals are written as refused_total{reason="..."}.
 *
 * Return: length of the complete text, which may exceed @bytes.
 */
size_t
counters_format(char *buffer, size_t bytes)
{
    size_t used = 0;

    for (int i = 0; i < COUNTER_COUNT; i++) {
        used = append_format(buffer, bytes, used, "%s %" PRIu64 "\n",
                             counter_names[i], counter_read((enum counter)i));
    }
    for (int i = ERR_NONE + 1; i < ERR_KIND_COUNT; i++) {
        used = append_format(
            buffer, bytes, used, "refused_total{reason=\"%s\"} %" PRIu64 "\n",
            err_info((enum err_kind)i)->name, refusal_read((enum err_kind)i));
    }
    return used;
}
