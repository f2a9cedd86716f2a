/**
 * DOC: Log lines on standard output.
 *
 * A line holds a syslog priority, a component and key=value fields. A line
 * about a request or a state change gives the inputs and the outcome, so that
 * a failure can be diagnosed from the log. Writing never blocks: a line is
 * dropped and counted when the pipe is full or the rate limit is exceeded.
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
    /* Four lines per request at 300 requests per second. Warnings and errors
     * get twice this limit, so that they are dropped last. */
    LINES_PER_S_MAX = 1200,
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int64_t window_wall_s;
static int lines_in_window;
static int dropped_lines;

/* Called with the lock held. */
static bool
within_rate_limit(enum log_priority priority, int64_t now_ms)
{
    int limit =
        priority <= LOG_PRI_WARNING ? 2 * LINES_PER_S_MAX : LINES_PER_S_MAX;

    if (now_ms / 1000 != window_wall_s) {
        window_wall_s = now_ms / 1000;
        lines_in_window = 0;
    }
    return ++lines_in_window <= limit;
}

/* Called with the lock held. A pipe that polls as writable takes a whole line
 * without blocking, because a line is shorter than PIPE_BUF. */
static bool
write_line(const char *line, size_t bytes)
{
    struct pollfd descriptor = {.fd = STDOUT_FILENO, .events = POLLOUT};

    return poll(&descriptor, 1, 0) == 1 && (descriptor.revents & POLLOUT) &&
           write(STDOUT_FILENO, line, bytes) == (ssize_t)bytes;
}

/* Names of other processes are logged, and may hold any bytes. */
static void
replace_control_characters(char *line, size_t bytes)
{
    for (size_t i = 0; i < bytes; i++) {
        if ((unsigned char)line[i] < ' ' || line[i] == '\x7f') {
            line[i] = '?';
        }
    }
}

static size_t
format_line(char *line, int64_t wall_ms, enum log_priority priority,
            const char *component, const char *format, va_list arguments)
{
    int used = snprintf(line, LINE_MAX_BYTES, "<%d>%s: ms=%lld ",
                        (int)priority, component, (long long)wall_ms);
    int added = vsnprintf(line + used, (size_t)(LINE_MAX_BYTES - used - 1),
                          format, arguments);
    size_t bytes = (size_t)(used + (added > 0 ? added : 0));

    if (bytes > LINE_MAX_BYTES - 2) {
        bytes = LINE_MAX_BYTES - 2;
    }
    replace_control_characters(line, bytes);
    line[bytes] = '\n';
    return bytes + 1;
}

/* Called with the lock held. */
static void
report_dropped_lines(int64_t wall_ms)
{
    char line[128];
    int bytes = snprintf(
        line, sizeof(line), "<%d>log: ms=%lld event=lines_dropped count=%d\n",
        (int)LOG_PRI_WARNING, (long long)wall_ms, dropped_lines);

    if (write_line(line, (size_t)bytes)) {
        dropped_lines = 0;
    }
}

/**
 * log_line() - write a log line, or drop it rather than block
 * @priority: syslog priority
 * @component: name of the component that logs
 * @format: printf format of the key=value fields
 */
void
log_line(enum log_priority priority, const char *component, const char *format,
         ...)
{
    char line[LINE_MAX_BYTES];
    int64_t wall_ms = clock_wall_ms();
    va_list arguments;
    size_t bytes;

    va_start(arguments, format);
    bytes = format_line(line, wall_ms, priority, component, format, arguments);
    va_end(arguments);
    pthread_mutex_lock(&lock);
    if (within_rate_limit(priority, wall_ms)) {
        if (dropped_lines > 0) {
            report_dropped_lines(wall_ms);
        }
        if (!write_line(line, bytes)) {
            dropped_lines++;
            counter_add(CTR_LOG_DROPPED, 1);
        }
    }
    else {
        dropped_lines++;
        counter_add(CTR_LOG_DROPPED, 1);
    }
    pthread_mutex_unlock(&lock);
}
