/**
 * DOC: Formats refusals as application/problem+json.
 */
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>
#include <sys/types.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "kv/dat.h"
#include "tree/dat.h"
#include "tree/fns.h"
#include "turmericd/state/claim/dat.h"
#include "turmericd/state/claim/fns.h"
#include "turmericd/fleet/member/dat.h"
#include "turmericd/serve/call/dat.h"
#include "turmericd/serve/call/fns.h"
#include "turmericd/serve/frontend/dat.h"
#include "turmericd/serve/frontend/fns.h"
#include "turmericd/serve/frontend/internal.h"

enum { RETRY_SHORT_S = 1, RETRY_LONG_S = 5 };

static void
add_string(struct json_object *object, const char *key, const char *text)
{
    json_object_object_add(object, key, json_object_new_string(text));
}

/**
 * problem_format() - format a refusal as a problem body and count it
 * @err: reason for the refusal
 * @outcome: whether the request ran, as far as is known
 *
 * Return: one line of JSON, freed with free().
 */
char *
problem_format(const struct err *err, enum outcome outcome)
{
    const struct err_info *info = err_info(err->kind);
    struct json_object *object = json_object_new_object();
    char text[ERR_TEXT_MAX];
    char *result;

    refusal_add(err->kind);
    snprintf(text, sizeof(text), "urn:turmericstall:refusal:%s", info->name);
    add_string(object, "type", text);
    add_string(object, "title", info->name);
    json_object_object_add(object, "status",
                           json_object_new_int(info->status));
    add_string(object, "detail", err->text);
    snprintf(text, sizeof(text), "refused_total{reason=\"%s\"}", info->name);
    add_string(object, "counter", text);
    add_string(object, "outcome", outcome_name(outcome));
    add_string(object, "remedy", info->remedy);
    result = strdup(json_object_to_json_string_ext(
        object, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
    json_object_put(object);
    return result;
}

/**
 * problem_retry_after_s() - delay before a caller should retry a refused call
 * @err: reason for the refusal
 *
 * Return: seconds for Retry-After; 0 when waiting doesn't help.
 */
int
problem_retry_after_s(const struct err *err)
{
    if (err->retry_after_s > 0) {
        return err->retry_after_s;
    }
    switch (err->kind) {
    case ERR_RING_FULL:
    case ERR_TABLE_FULL:
    case ERR_QUEUE_FULL:
    case ERR_RETRY_BUDGET:
    case ERR_NO_TARGET:
    case ERR_NO_MEMORY:
        return RETRY_SHORT_S;
    case ERR_NOT_READY:
    case ERR_CONFIG_STALE:
    case ERR_CLAIM_UNAVAILABLE:
    case ERR_KV_DOWN:
    case ERR_MEMORY_FULL:
    case ERR_REPLICAS_FULL:
    case ERR_LOAD_FAILED:
    case ERR_DEADLINE:
        return RETRY_LONG_S;
    default:
        return 0;
    }
}
