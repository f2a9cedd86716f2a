#ifndef TEAM_DAT_H
#define TEAM_DAT_H

/**
 * enum team_verdict - whether a request may be served, by its key
 * @TEAM_NOT_NEEDED: it needs no key; its team is set if the key is known
 * @TEAM_KNOWN: its key belongs to a team
 * @TEAM_KEY_UNKNOWN: it needs a key that the configuration holds
 * @TEAM_UNPROVEN: the configuration may have changed since it was confirmed,
 * so that neither a known nor an unknown key proves anything
 * @TEAM_UNUSABLE: its key belongs to a team of which a part can't be used
 */
enum team_verdict {
    TEAM_NOT_NEEDED,
    TEAM_KNOWN,
    TEAM_KEY_UNKNOWN,
    TEAM_UNPROVEN,
    TEAM_UNUSABLE,
};

/**
 * struct team_facts - what decides whether a request may be served
 * @has_teams: the configuration has teams
 * @public: the route needs no key
 * @has_key: the request carries a key
 * @team: team of the key; -1 when no team has it
 * @unusable: a part of that team can't be used
 * @lease_valid: the configuration was confirmed lately
 */
struct team_facts {
    bool has_teams;
    bool public;
    bool has_key;
    int team;
    bool unusable;
    bool lease_valid;
};

/**
 * struct key_lease - the right to accept keys
 * @length_ms: how long a confirmation of the configuration holds; 0 when the
 * deployment sets no limit, which makes the lease valid always
 * @confirmed_ms: when the configuration was the newest, as far as is proven,
 * by clock_boot_ms(); -1 for never
 */
struct key_lease {
    int64_t length_ms;
    int64_t confirmed_ms;
};

#endif
