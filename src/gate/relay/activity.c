/**
 * DOC: Activity reports and load forecasts: allocation.
 */
#include <glib.h>
#include <http_parser.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/view/fns.h"
#include "gate/choose/dat.h"
#include "gate/choose/fns.h"
#include "gate/relay/dat.h"
#include "gate/relay/fns.h"
#include "gate/team/dat.h"
#include "gate/relay/internal.h"

/**
 * activity_report_new() - allocate an empty report
 * @instance: id of the reporting instance
 *
 * Return: to be released with activity_report_free().
 */
struct activity_report *
activity_report_new(uint64_t instance)
{
    struct activity_report *report = g_new0(struct activity_report, 1);

    report->instance = instance;
    return report;
}

/**
 * activity_report_free() - release a report
 * @report: the report; may be NULL
 */
void
activity_report_free(struct activity_report *report)
{
    if (report != NULL) {
        g_free(report->items);
        g_free(report->targets);
        g_free(report->totals);
        g_free(report);
    }
}

/**
 * load_forecast_new() - allocate a forecast whose items are filled in later
 * @count: number of items
 *
 * Return: to be released with load_forecast_free().
 */
struct load_forecast *
load_forecast_new(int count)
{
    struct load_forecast *forecast = g_new0(struct load_forecast, 1);

    forecast->items = g_new0(struct item_forecast, count);
    forecast->count = count;
    return forecast;
}

/**
 * load_forecast_free() - release a forecast
 * @forecast: the forecast; may be NULL
 */
void
load_forecast_free(struct load_forecast *forecast)
{
    if (forecast != NULL) {
        g_free(forecast->items);
        g_free(forecast);
    }
}
