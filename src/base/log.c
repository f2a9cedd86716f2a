/**
 * DOC: Log lines on standard output.
 *
 * A line is a priority, the part of the program, and key=value fields. Each
 * line that concerns a request or changes what the process believes bears the
 * inputs and the outcome, so that a failure can be explained afterwards.
 * Writing never blocks: a line that a slow reader has no room for, or that is
 * beyond the budget, is counted and left out.
 */
#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/dat.h"
#include "base/fns.h"

enum {
    LINE_MAX_BYTES = 1024,
    /* Four lines a request at 300 requests a second; warnings and errors may
     * use twice that, so that they are the last to be left out. */
    LINES_PER_S = 1200,
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int64_t window_s;
static int window_lines;
static int dropped;

/* Called with the lock held. */
static bool
within_budget(enum log_priority priority, int64_t now_ms)
{
    int limit = priority <= LOG_PRI_WARNING ? 2 * LINES_PER_S : LINES_PER_S;

    if (now_ms / 1000 != window_s) {
        window_s = now_ms / 1000;
        window_lines = 0;
    }
    return ++window_lines <= limit;
}

/* A pipe that can be written has room for a whole line, which is shorter than
 * PIPE_BUF. Called with the lock held. */
static bool
write_line(const char *line, size_t bytes)
{
    struct pollfd descriptor = {.fd = STDOUT_FILENO, .events = POLLOUT};

    return poll(&descriptor, 1, 0) == 1 && (descriptor.revents & POLLOUT) &&
           write(STDOUT_FILENO, line, bytes) == (ssize_t)bytes;
}

static size_t
format_line(char *line, int64_t wall_ms, enum log_priority priority,
            const char *name, const char *format, va_list arguments)
{
    int used = snprintf(line, LINE_MAX_BYTES, "<%d>%s: ms=%lld ",
                        (int)priority, name, (long long)wall_ms);
    int added = vsnprintf(line + used, (size_t)(LINE_MAX_BYTES - used - 1),
                          format, arguments);
    size_t bytes = (size_t)(used + (added > 0 ? added : 0));

    if (bytes > LINE_MAX_BYTES - 2) {
        bytes = LINE_MAX_BYTES - 2;
    }
    line[bytes] = '\n';
    return bytes + 1;
}

/* Called with the lock held. */
static void
tell_dropped(int64_t wall_ms)
{
    char line[128];
    int bytes = snprintf(line, sizeof(line),
                         "<%d>log: ms=%lld event=lines_dropped count=%d\n",
                         (int)LOG_PRI_WARNING, (long long)wall_ms, dropped);

    if (write_line(line, (size_t)bytes)) {
        dropped = 0;
    }
}

/**
 * log_line() - write one line
 * @priority: syslog priority
 * @name: part of the program that speaks
 * @format: printf format of key=value fields
 */
void
log_line(enum log_priority priority, const char *name, const char *format, ...)
{
    char line[LINE_MAX_BYTES];
    int64_t wall_ms = clock_wall_ms();
    va_list arguments;
    size_t bytes;

    va_start(arguments, format);
    bytes = format_line(line, wall_ms, priority, name, format, arguments);
    va_end(arguments);
    pthread_mutex_lock(&lock);
    if (within_budget(priority, wall_ms)) {
        if (dropped > 0) {
            tell_dropped(wall_ms);
        }
        if (!write_line(line, bytes)) {
            dropped++;
            counter_add(CTR_LOG_DROPPED, 1);
        }
    }
    else {
        dropped++;
        counter_add(CTR_LOG_DROPPED, 1);
    }
    pthread_mutex_unlock(&lock);
}
