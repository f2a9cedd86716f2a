/**
 * DOC: Heap of timers, the earliest first.
 */
#include <glib.h>

#include "base/dat.h"
#include "base/fns.h"

/**
 * heap_init() - set up an empty heap
 * @heap: the heap
 */
void
heap_init(struct heap *heap)
{
    heap->timers = g_ptr_array_new();
}

/**
 * heap_clear() - release a heap; the timers stay their owners'
 * @heap: the heap
 */
void
heap_clear(struct heap *heap)
{
    g_ptr_array_free(heap->timers, TRUE);
}

/* Places count from 1, so the parent of place n is at n / 2. */
static struct timer *
at(const struct heap *heap, uint32_t place)
{
    return heap->timers->pdata[place - 1];
}

static void
put(struct heap *heap, struct timer *timer, uint32_t place)
{
    heap->timers->pdata[place - 1] = timer;
    timer->place = place;
}

static void
move_up(struct heap *heap, struct timer *timer)
{
    uint32_t place = timer->place;

    while (place > 1 && at(heap, place / 2)->due_ms > timer->due_ms) {
        put(heap, at(heap, place / 2), place);
        place /= 2;
    }
    put(heap, timer, place);
}

static void
move_down(struct heap *heap, struct timer *timer)
{
    uint32_t place = timer->place;
    uint32_t child;

    while ((child = place * 2) <= heap->timers->len) {
        if (child < heap->timers->len &&
            at(heap, child + 1)->due_ms < at(heap, child)->due_ms) {
            child++;
        }
        if (at(heap, child)->due_ms >= timer->due_ms) {
            break;
        }
        put(heap, at(heap, child), place);
        place = child;
    }
    put(heap, timer, place);
}

/**
 * heap_set() - add a timer, or move one that is in the heap
 * @heap: the heap
 * @timer: the timer
 * @due_ms: when it is due
 */
void
heap_set(struct heap *heap, struct timer *timer, int64_t due_ms)
{
    timer->due_ms = due_ms;
    if (timer->place == 0) {
        g_ptr_array_add(heap->timers, timer);
        timer->place = heap->timers->len;
    }
    move_up(heap, timer);
    move_down(heap, timer);
}

/**
 * heap_remove() - take a timer out; nothing happens when it isn't in
 * @heap: the heap
 * @timer: the timer
 */
void
heap_remove(struct heap *heap, struct timer *timer)
{
    uint32_t place = timer->place;
    struct timer *last;

    if (place == 0) {
        return;
    }
    last = at(heap, heap->timers->len);
    g_ptr_array_set_size(heap->timers, (gint)heap->timers->len - 1);
    timer->place = 0;
    if (last != timer) {
        put(heap, last, place);
        move_up(heap, last);
        move_down(heap, last);
    }
}

/**
 * heap_first() - the earliest timer, or NULL
 * @heap: the heap
 */
struct timer *
heap_first(const struct heap *heap)
{
    return heap->timers->len > 0 ? at(heap, 1) : NULL;
}
