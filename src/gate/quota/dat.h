#ifndef QUOTA_DAT_H
#define QUOTA_DAT_H

enum {
    /* A grant may be spent for this long after its ask was sent. */
    QUOTA_GRANT_MS = 600,
    /* Without answers, the fallback share may be spent until this long after
     * the last ask that was answered was sent. */
    QUOTA_FALLBACK_MS = 5000,
    /* Asks of an instance that spends. */
    QUOTA_ASK_PERIOD_MS = 250,
    QUOTA_ASK_MIN_INTERVAL_MS = 20,
    /* How long a request waits for a grant, and how long an ask may be
     * unanswered before the holder counts as unreachable. */
    QUOTA_WAIT_MS = 250,
    /* How long a request waits for room that the holder expects. Callers'
     * goals are from 300 ms on, so a longer wait would serve them late. */
    QUOTA_ROOM_WAIT_MS = 100,
    /* Older returns are held back: a bucket that was full in the meantime
     * would have lost them. */
    QUOTA_RETURN_MS = 250,
    /* Longest time after which a caller is asked to return. */
    QUOTA_ROOM_MAX_MS = 8000,
};

/**
 * struct quota_use - what an instance has spent of a team's quota, and wants
 * @team: hash of the team's name
 * @spent: units spent since the start of the process
 * @wanted: units of the requests that wait for a grant
 * @first: of these, units of the request that waits longest
 * @per_s: units that were asked for in the last second; 0 when the requests
 * are so few that grants ahead of them would lie idle
 * @returned: units, since the start of the process, of requests that were
 * counted, waited longer than QUOTA_RETURN_MS and have not run
 */
struct quota_use {
    uint64_t team;
    int64_t spent;
    int64_t wanted;
    int64_t first;
    int64_t per_s;
    int64_t returned;
};

/**
 * struct quota_ask - what an instance tells the holder, and asks for
 * @sent_ms: when it was sent, by the sender's clock_boot_ms()
 * @start: tells the processes of an instance apart
 * @config_version: configuration of the sender
 * @fallback_instances: the sender spends its fallback share, one of so many;
 * 0 while it has grants
 * @uses: struct quota_use of the teams in use; owned
 */
struct quota_ask {
    int64_t sent_ms;
    int64_t start;
    int64_t config_version;
    int fallback_instances;
    struct _GArray *uses;
};

/**
 * struct quota_answer - grant for a team
 * @team: hash of the team's name
 * @limit: up to which the instance may spend, counted like quota_use.spent
 * @room_ms: time until there is room for what was wanted and is not granted;
 * 0 when all is granted
 */
struct quota_answer {
    uint64_t team;
    int64_t limit;
    int64_t room_ms;
};

/**
 * struct quota_grant - answer of the holder to an ask
 * @sent_ms: of the ask
 * @start: of the ask; limits count from it
 * @fence: of the holder's term
 * @instances: instances that fallback shares are divided among
 * @config_version: configuration of the holder
 * @answers: struct quota_answer; owned
 */
struct quota_grant {
    int64_t sent_ms;
    int64_t start;
    int64_t fence;
    int instances;
    int64_t config_version;
    struct _GArray *answers;
};

/**
 * struct bucket - token bucket of a team over all instances
 * @rate_per_s: units that are added per second
 * @burst: units that may be spent at once
 * @level: units that can be granted; below 0 after more was spent
 * @returned: units of requests that have not run, which are added slowly
 * @promised: units that callers were told to return for
 * @at_ms: time for which the other members hold
 */
struct bucket {
    double rate_per_s;
    double burst;
    double level;
    double returned;
    double promised;
    int64_t at_ms;
};

/**
 * struct granter_team - a team with a quota, as the holder sees it
 * @limited: the configuration limits it
 * @bucket: what can be granted
 * @reserved_per_s: fallback shares that instances without contact may spend
 * @held: units that are granted and not known to be spent
 * @waiting: units of requests that wait until they are added
 */
struct granter_team {
    uint64_t id;
    bool limited;
    struct bucket bucket;
    double reserved_per_s;
    double held;
    double waiting;
};

/**
 * struct granter_limit - a limit that an instance may have got
 * @limit: cumulative units; valid if @ask_ms is not negative
 * @ask_ms: when the ask was sent that it answered, by the instance's clock
 */
struct granter_limit {
    int64_t limit;
    int64_t ask_ms;
};

/**
 * struct granter_pair - a team at an instance
 * @spent: units that the instance has reported as spent
 * @charged: units, counted like @spent, that were taken from the bucket
 * @returned: as last reported
 * @now: limit of the last answer
 * @before: a higher limit of an earlier answer, which the instance still has
 * if it has not got the last one
 * @reserved: units kept back for its fallback share while it is silent
 * @waiting: units of its requests that wait for room
 * @settled: its grants are over, unseen; what was not spent of them is lost
 * @seen: it is in the ask that is being answered
 */
struct granter_pair {
    uint64_t team;
    int64_t spent;
    int64_t charged;
    int64_t returned;
    struct granter_limit now;
    struct granter_limit before;
    double reserved;
    int64_t waiting;
    bool settled;
    bool seen;
};

/**
 * struct granter_instance - an instance that may spend
 * @listed: it is in the member list
 * @unlisted_ms: when it left the list
 * @heard_ms: when its last ask arrived in this term; 0 for never
 * @answered_ms: when that was last answered; 0 for never
 * @instances: number of instances in that answer
 * @start: process that sent the last ask
 * @asked_ms: when that was sent, by its own clock
 * @behind_ms: since when its configuration is older than the holder's; 0 while
 * it isn't
 * @reserving: its fallback shares are kept back
 * @pairs: struct granter_pair
 */
struct granter_instance {
    uint64_t id;
    bool listed;
    int64_t unlisted_ms;
    int64_t heard_ms;
    int64_t answered_ms;
    int instances;
    int64_t start;
    int64_t asked_ms;
    int64_t behind_ms;
    bool reserving;
    struct _GArray *pairs;
};

/**
 * struct granter - the holder's side of the quotas
 * @fence: of its term; 0 while this instance is not the holder
 * @term_ms: when the term began
 * @swept_ms: when silent instances were last looked at
 * @members: instances in the member list
 * @limits: some team is limited
 * @teams: id -> struct granter_team
 * @instances: id -> struct granter_instance
 */
struct granter {
    int64_t fence;
    int64_t term_ms;
    int64_t swept_ms;
    int64_t config_version;
    int members;
    bool limits;
    struct _GHashTable *teams;
    struct _GHashTable *instances;
};

/**
 * enum spend_verdict - whether a request may be sent on
 * @SPEND_FREE: its team has no limit
 * @SPEND_CHARGED: its units are spent
 * @SPEND_WAIT: it waits for the answer to an ask
 * @SPEND_NO_ROOM: the team's quota is used up
 * @SPEND_UNKNOWN: the holder can't be reached, and the fallback share is used
 * up
 */
enum spend_verdict {
    SPEND_FREE,
    SPEND_CHARGED,
    SPEND_WAIT,
    SPEND_NO_ROOM,
    SPEND_UNKNOWN,
};

/**
 * struct spend_meter - units asked for, in this and the previous second
 */
struct spend_meter {
    int64_t second;
    int64_t units[2];
    int count[2];
};

/**
 * struct spend_team - a team's quota at an instance
 * @limited: the configuration limits it
 * @spent: units spent since the start of the process
 * @returned: as in struct quota_use
 * @limit: up to which it may spend
 * @granted_ms: when the ask was sent that got @limit; -1 for none
 * @closed_ms: when it was left out of an ask; grants of earlier asks are void
 * @fallback_ms: contact to the holder after which its fallback began; -1 for
 * none
 * @fallback_spent: units spent as its fallback since then
 * @credit: units that its fallback begins with
 * @credit_ms: when it last had some; -1 for never
 * @room_at_ms: when the holder expects room; 0 for none expected
 * @ask_at_ms: no ask is sent for its requests before
 * @turned_away: units refused since the last answer
 * @used_ms: when a request last came
 * @waiting: requests that wait for a grant
 * @wanted: their units, at the time of an ask
 * @first: units of the one that waits longest
 */
struct spend_team {
    uint64_t id;
    bool limited;
    double rate_per_s;
    int64_t spent;
    int64_t returned;
    int64_t limit;
    int64_t granted_ms;
    int64_t closed_ms;
    double burst;
    int64_t fallback_ms;
    double fallback_spent;
    double credit;
    int64_t credit_ms;
    int64_t room_at_ms;
    int64_t ask_at_ms;
    int64_t turned_away;
    int64_t used_ms;
    int waiting;
    int64_t wanted;
    int64_t first;
    struct spend_meter meter;
};

/**
 * struct spend - the instance's side of the quotas
 * @start: of the process
 * @instances: in the last answer, or in the member list if these are more
 * @contact_ms: when the last ask was sent whose answer came in time; before
 * the first one, when all instances were listed; -1 for never
 * @begun_ms: when the member list was first known; -1 for never
 * @slack: units by which a quota may be exceeded in the window
 * @over: share of it by which it may be exceeded besides
 * @window_ms: the window
 * @fence: in the last answer
 * @asked_ms: when the last ask was sent; -1 for never
 * @answered_ms: when the last ask was sent that was answered; -1 for none
 * @unanswered_ms: when the first ask was sent that is not answered, nor any
 * later one; -1 for none
 * @hello: the holder has changed and knows nothing of this instance
 * @open: the last ask named teams
 * @ask_soon: a request waits that no ask has named
 * @waiting: requests that wait for a grant
 * @fallback: grants are known to be missing, as it was logged
 * @teams: id -> struct spend_team
 */
struct spend {
    int64_t start;
    int64_t config_version;
    int instances;
    int64_t contact_ms;
    int64_t begun_ms;
    double slack;
    double over;
    int64_t window_ms;
    int64_t fence;
    int64_t asked_ms;
    int64_t answered_ms;
    int64_t unanswered_ms;
    bool hello;
    bool open;
    bool ask_soon;
    int waiting;
    bool fallback;
    struct _GHashTable *teams;
};

struct quota_port;

/**
 * struct quota_port_ops - callbacks of the duty that grants
 * @grant: sends an answer to an instance; @grant is valid during the call;
 * must not block
 */
struct quota_port_ops {
    void (*grant)(struct quota_port *port, uint64_t member,
                  const struct quota_grant *grant);
};

struct quota_port {
    const struct quota_port_ops *ops;
};

enum quota_message_kind { QUOTA_CONFIG, QUOTA_MEMBERS, QUOTA_ASK };

/* The receiver owns @data. */
struct quota_message {
    enum quota_message_kind kind;
    uint64_t member;
    void *data;
};

/**
 * struct quota_duty - duty that answers asks while this instance is the holder
 * @granter: used by this duty only
 * @term: of this instance, kept by reference
 * @ring: struct quota_message
 */
struct quota_duty {
    struct duty duty;
    struct granter granter;
    struct term *term;
    struct quota_port *port;
    struct ring ring;
};

#endif
