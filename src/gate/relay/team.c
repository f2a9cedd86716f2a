/**
 * DOC: Teams of callers: their keys and priority.
 */
#include <glib.h>
#include <http_parser.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/view/fns.h"
#include "gate/choose/dat.h"
#include "gate/relay/dat.h"
#include "gate/team/dat.h"
#include "gate/team/fns.h"
#include "gate/relay/internal.h"

/* A caller that is refused for want of a lease may return to another instance
 * at once; spread, so that these aren't overrun. */
enum { UNPROVEN_RETRY_MIN_MS = 50, UNPROVEN_RETRY_SPREAD_MS = 250 };

/**
 * team_accepts_keys() - whether the keys of the configuration are accepted now
 * @relay: the relay
 * @now_ms: current time
 *
 * Return: also true where no keys are needed.
 */
bool
team_accepts_keys(const struct relay *relay, int64_t now_ms)
{
    return relay->config == NULL || !relay->config->has_teams ||
           key_lease_is_valid(&relay->key_lease, relay_boot_ms(relay, now_ms));
}

/**
 * team_retry_ms() - when a caller that was refused without a valid lease may
 * return
 * @relay: the relay
 */
int64_t
team_retry_ms(struct relay *relay)
{
    return UNPROVEN_RETRY_MIN_MS +
           (int64_t)(relay_random(relay) % UNPROVEN_RETRY_SPREAD_MS);
}

static void
set_team(struct exchange *exchange, int team)
{
    exchange->priority = exchange->route->priority;
    if (team >= 0 && !exchange->config->teams[team].unusable) {
        exchange->team = &exchange->config->teams[team];
        if (exchange->team->priority >= 0) {
            exchange->priority = exchange->team->priority;
        }
    }
}

/**
 * team_by_key() - find the team of a request's key
 * @config: the configuration
 * @meta: of the request
 *
 * Return: its index; -1 for no team, also when it is unclear which one.
 */
int
team_by_key(const struct gate_config *config, const struct request_meta *meta)
{
    return meta->has_key && !meta->key_repeated ? team_find(config, &meta->key)
                                                : -1;
}

/**
 * team_by_name() - find a team by its name
 * @config: the configuration
 * @name: the name
 *
 * Return: its index; -1 for no team.
 */
int
team_by_name(const struct gate_config *config, const char *name)
{
    for (int i = 0; i < config->team_count; i++) {
        if (strcmp(config->teams[i].name, name) == 0) {
            return i;
        }
    }
    return -1;
}

/**
 * team_admit() - set a request's team, and whether it may be served
 * @relay: the relay
 * @exchange: a request with its route; its team and priority are set
 * @team: index of its team; -1 for none
 * @now_ms: current time
 *
 * Return: ERR_NONE, or why it is refused.
 */
enum err_kind
team_admit(struct relay *relay, struct exchange *exchange, int team,
           int64_t now_ms)
{
    struct team_facts facts = {
        .has_teams = exchange->config->has_teams,
        .public = exchange->route->public,
        .has_key = exchange->meta.has_key,
        .team = team,
        .unusable = team >= 0 && exchange->config->teams[team].unusable,
        .lease_valid = team_accepts_keys(relay, now_ms),
    };

    set_team(exchange, team);
    switch (team_decide(&facts)) {
    case TEAM_NOT_NEEDED:
    case TEAM_KNOWN:
        return ERR_NONE;
    case TEAM_UNPROVEN:
        return ERR_KEYS_UNPROVEN;
    case TEAM_UNUSABLE:
        return ERR_TEAM_UNUSABLE;
    case TEAM_KEY_UNKNOWN:
        break;
    }
    return ERR_KEY_UNKNOWN;
}

/* Whether the present configuration no longer has the key of a request. */
static bool
key_was_removed(const struct relay *relay, const struct exchange *exchange)
{
    return exchange->team != NULL && relay->config != exchange->config &&
           relay->config->has_teams && !exchange->route->public &&
           team_by_key(relay->config, &exchange->meta) < 0;
}

/**
 * team_refuses() - refuse a request whose key was removed since it arrived
 * @relay: the relay
 * @exchange: a request that is at no target; invalid afterwards if refused
 * @now_ms: current time
 *
 * A caller that has a part of the answer gets the rest.
 *
 * Return: whether it was refused.
 */
bool
team_refuses(struct relay *relay, struct exchange *exchange, int64_t now_ms)
{
    if (exchange->answer.head_sent || !key_was_removed(relay, exchange)) {
        return false;
    }
    refuse(relay, exchange, ERR_KEY_UNKNOWN, 0, now_ms);
    return true;
}

/**
 * team_apply_config() - end the waiting requests whose keys were removed
 * @relay: the relay, with its new configuration
 * @now_ms: current time
 */
void
team_apply_config(struct relay *relay, int64_t now_ms)
{
    struct exchange *exchange;
    uint32_t cursor = 0;

    while ((exchange = table_next(&relay->exchanges, &cursor, NULL)) != NULL) {
        if (exchange->stage == STAGE_WAITING && exchange->route != NULL) {
            team_refuses(relay, exchange, now_ms);
        }
    }
}

/**
 * team_confirm() - extend the right to accept keys
 * @relay: the relay
 * @confirmation: the configuration that was the newest, and when
 * @now_ms: current time
 */
void
team_confirm(struct relay *relay, const struct confirmation *confirmation,
             int64_t now_ms)
{
    if (relay->config != NULL &&
        relay->config->version == confirmation->version) {
        key_lease_confirm(&relay->key_lease, confirmation->boot_ms);
    }
    team_update(relay, now_ms);
}

/**
 * team_update() - log and report when the right to accept keys begins or ends
 * @relay: the relay
 * @now_ms: current time
 */
void
team_update(struct relay *relay, int64_t now_ms)
{
    bool accepts = team_accepts_keys(relay, now_ms);

    if (relay->accepts_keys == accepts || relay->config == NULL) {
        return;
    }
    relay->accepts_keys = accepts;
    relay->report_soon = true;
    if (!relay->config->has_teams) {
        return;
    }
    counter_add(accepts ? CTR_KEY_LEASES : CTR_KEY_LEASES_ENDED, 1);
    log_line(accepts ? LOG_PRI_INFO : LOG_PRI_WARNING, "relay",
             "event=%s version=%" G_GINT64_FORMAT
             " confirmed_ago_ms=%" G_GINT64_FORMAT,
             accepts ? "keys_accepted" : "keys_unproven",
             (gint64)relay->config->version,
             relay->key_lease.confirmed_ms >= 0
                 ? (gint64)(relay_boot_ms(relay, now_ms) -
                            relay->key_lease.confirmed_ms)
                 : (gint64)-1);
}

/**
 * team_due_ms() - when the right to accept keys ends
 * @relay: the relay
 * @now_ms: current time
 *
 * Return: a time; INT64_MAX when it doesn't end, or has ended.
 */
int64_t
team_due_ms(const struct relay *relay, int64_t now_ms)
{
    if (relay->config == NULL || !relay->config->has_teams ||
        relay->key_lease.length_ms == 0 || !team_accepts_keys(relay, now_ms)) {
        return INT64_MAX;
    }
    return key_lease_end_ms(&relay->key_lease) - relay->boot_offset_ms;
}
