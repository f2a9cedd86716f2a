/**
 * DOC: Typed errors.
 *
 * One table maps each kind to its public name, HTTP status, outcome and
 * remedy, so that HTTP responses, turmericctl and the log describe a refusal
 * in the same words.
 */
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"

static const struct err_info infos[ERR_KIND_COUNT] = {
#define X(kind, name, status, outcome, remedy)                                \
    [kind] = {name, status, outcome, remedy},
    ERR_KINDS(X)
#undef X
};

/**
 * err_info() - properties of an error kind
 * @kind: the kind; out of range counts as ERR_INTERNAL
 *
 * Return: static data.
 */
const struct err_info *
err_info(enum err_kind kind)
{
    if ((unsigned)kind >= ERR_KIND_COUNT) {
        kind = ERR_INTERNAL;
    }
    return &infos[kind];
}

/**
 * err_kind_by_name() - look up an error kind by its public name
 * @name: public name
 *
 * Return: the kind, or ERR_INTERNAL for an unknown name.
 */
enum err_kind
err_kind_by_name(const char *name)
{
    for (int i = 0; i < ERR_KIND_COUNT; i++) {
        if (strcmp(infos[i].name, name) == 0) {
            return (enum err_kind)i;
        }
    }
    return ERR_INTERNAL;
}

/**
 * outcome_name() - name of an outcome in error responses
 * @outcome: the outcome
 *
 * Return: static string.
 */
const char *
outcome_name(enum outcome outcome)
{
    static const char *const names[] = {"not_run", "ran", "unknown"};

    return names[outcome];
}

/**
 * err_set() - fill in an error
 * @err: error to fill in; may be NULL
 * @kind: error kind
 * @format: printf format of the text: what failed and why
 *
 * Return: always false, so that a caller can write return err_set(...).
 */
bool
err_set(struct err *err, enum err_kind kind, const char *format, ...)
{
    va_list arguments;

    if (err == NULL) {
        return false;
    }
    err->kind = kind;
    err->retry_after_s = 0;
    va_start(arguments, format);
    vsnprintf(err->text, sizeof(err->text), format, arguments);
    va_end(arguments);
    return false;
}

/**
 * err_clear() - reset an error to ERR_NONE
 * @err: the error
 */
void
err_clear(struct err *err)
{
    err->kind = ERR_NONE;
    err->retry_after_s = 0;
    err->text[0] = '\0';
}
