/**
 * DOC: Log lines on standard error, in syslog style.
 *
 * A line is written only for a change of state; what happens often is a
 * counter.
 */
#include <stdarg.h>
#include <stdio.h>

#include "base/dat.h"
#include "base/fns.h"

enum { LINE_MAX_BYTES = 1024 };

/**
 * log_line() - write one line
 * @priority: syslog priority
 * @name: part of the program that speaks
 * @format: printf format of key=value fields
 *
 * The line is written by one call, so lines of threads don't mix.
 */
void
log_line(enum log_priority priority, const char *name, const char *format, ...)
{
    char line[LINE_MAX_BYTES];
    va_list arguments;

    va_start(arguments, format);
    vsnprintf(line, sizeof(line), format, arguments);
    va_end(arguments);
    fprintf(stderr, "<%d>%s: %s\n", (int)priority, name, line);
}
