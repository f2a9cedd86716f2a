/**
 * DOC: Reports between instances on crashes of targets.
 */
#include <glib.h>

#include "base/dat.h"
#include "gate/crash/dat.h"
#include "gate/crash/fns.h"

/**
 * crash_report_init() - create an empty report
 * @report: to be released with crash_report_clear()
 */
void
crash_report_init(struct crash_report *report)
{
    report->crashes = g_array_new(FALSE, TRUE, sizeof(struct crash));
    report->sound = g_array_new(FALSE, TRUE, sizeof(uint64_t));
    report->verdicts = g_array_new(FALSE, TRUE, sizeof(struct trait_verdict));
}

/**
 * crash_report_clear() - release the contents of a report
 * @report: the report
 */
void
crash_report_clear(struct crash_report *report)
{
    for (guint i = 0; i < report->crashes->len; i++) {
        crash_clear(&g_array_index(report->crashes, struct crash, i));
    }
    g_array_free(report->crashes, TRUE);
    g_array_free(report->sound, TRUE);
    g_array_free(report->verdicts, TRUE);
}

/**
 * crash_report_new() - allocate an empty report
 *
 * Return: to be released with crash_report_free().
 */
struct crash_report *
crash_report_new(void)
{
    struct crash_report *report = g_new0(struct crash_report, 1);

    crash_report_init(report);
    return report;
}

/**
 * crash_report_free() - release an allocated report
 * @report: the report
 */
void
crash_report_free(struct crash_report *report)
{
    crash_report_clear(report);
    g_free(report);
}

/**
 * crash_report_is_empty() - whether a report says nothing
 * @report: the report
 */
bool
crash_report_is_empty(const struct crash_report *report)
{
    return report->crashes->len + report->sound->len + report->verdicts->len ==
           0;
}

/**
 * crash_report_add_crash() - add a crash to a report
 * @report: the report
 * @crash: copied; its suspects are added to those that the report has
 */
void
crash_report_add_crash(struct crash_report *report, const struct crash *crash)
{
    struct crash *copy = NULL;

    for (guint i = 0; i < report->crashes->len; i++) {
        struct crash *known = &g_array_index(report->crashes, struct crash, i);

        if (crash_is_same(known, crash->target, crash->started_ms)) {
            copy = known;
        }
    }
    if (copy == NULL) {
        struct crash empty = {
            .target = crash->target,
            .started_ms = crash->started_ms,
            .at_ms = crash->at_ms,
        };

        g_array_append_val(report->crashes, empty);
        copy = &g_array_index(report->crashes, struct crash,
                              report->crashes->len - 1);
    }
    crash_add_suspects(copy, crash);
}
