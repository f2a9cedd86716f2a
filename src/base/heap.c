/**
 * DOC: Binary min-heap of timers, ordered by expiry.
 */
#include <glib.h>

#include "base/dat.h"
#include "base/fns.h"

/**
 * heap_init() - initialize an empty heap
 * @heap: the heap
 */
void
heap_init(struct heap *heap)
{
    heap->timers = g_ptr_array_new();
}

/**
 * heap_clear() - free a heap; the timers remain with their owners
 * @heap: the heap
 */
void
heap_clear(struct heap *heap)
{
    g_ptr_array_free(heap->timers, TRUE);
}

/* Positions count from 1, so the parent of position n is n / 2. */
static struct timer *
timer_at(const struct heap *heap, uint32_t position)
{
    return heap->timers->pdata[position - 1];
}

static void
set_timer_at(struct heap *heap, struct timer *timer, uint32_t position)
{
    heap->timers->pdata[position - 1] = timer;
    timer->heap_position = position;
}

static void
sift_up(struct heap *heap, struct timer *timer)
{
    uint32_t position = timer->heap_position;

    while (position > 1 &&
           timer_at(heap, position / 2)->due_ms > timer->due_ms) {
        set_timer_at(heap, timer_at(heap, position / 2), position);
        position /= 2;
    }
    set_timer_at(heap, timer, position);
}

static void
sift_down(struct heap *heap, struct timer *timer)
{
    uint32_t position = timer->heap_position;
    uint32_t child;

    while ((child = position * 2) <= heap->timers->len) {
        if (child < heap->timers->len && timer_at(heap, child + 1)->due_ms <
                                             timer_at(heap, child)->due_ms) {
            child++;
        }
        if (timer_at(heap, child)->due_ms >= timer->due_ms) {
            break;
        }
        set_timer_at(heap, timer_at(heap, child), position);
        position = child;
    }
    set_timer_at(heap, timer, position);
}

/**
 * heap_set() - add a timer, or reschedule one that is in the heap
 * @heap: the heap
 * @timer: the timer
 * @due_ms: expiry, monotonic time
 */
void
heap_set(struct heap *heap, struct timer *timer, int64_t due_ms)
{
    timer->due_ms = due_ms;
    if (timer->heap_position == 0) {
        g_ptr_array_add(heap->timers, timer);
        timer->heap_position = heap->timers->len;
    }
    sift_up(heap, timer);
    sift_down(heap, timer);
}

/**
 * heap_remove() - remove a timer; no-op when it isn't in the heap
 * @heap: the heap
 * @timer: the timer
 */
void
heap_remove(struct heap *heap, struct timer *timer)
{
    uint32_t position = timer->heap_position;
    struct timer *last;

    if (position == 0) {
        return;
    }
    last = timer_at(heap, heap->timers->len);
    g_ptr_array_set_size(heap->timers, (gint)heap->timers->len - 1);
    timer->heap_position = 0;
    if (last != timer) {
        set_timer_at(heap, last, position);
        sift_up(heap, last);
        sift_down(heap, last);
    }
}

/**
 * heap_first() - timer with the earliest expiry, or NULL
 * @heap: the heap
 */
struct timer *
heap_first(const struct heap *heap)
{
    return heap->timers->len > 0 ? timer_at(heap, 1) : NULL;
}
