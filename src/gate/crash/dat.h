#ifndef CRASH_DAT_H
#define CRASH_DAT_H

enum {
    /* Parts of a prompt, and the whole request. */
    TRAITS_MAX = 33,
    CRASHES_MAX = 64,
    CRASH_SUSPECTS_MAX = 64,
    VERDICTS_MAX = 64,
    ABANDONED_MAX = 64,
    SOUND_GENERATION_MAX = 2048,
    /* Depths that no part has: of a whole request, and of the last part of a
     * prompt, which the requests of a session share. */
    WHOLE_REQUEST = -1,
    OWN_PART = -2,
    TRAIT_SET_MAX = 8,
    EXPLANATIONS_MAX = 8,
};

/**
 * struct trait - what a request has in common with others
 * @key: hash of a part of its prompt, or of the whole request
 * @depth: place of the part in the prompt, from 0; WHOLE_REQUEST or OWN_PART
 */
struct trait {
    uint64_t key;
    int depth;
};

/**
 * struct trait_list - traits of a request
 * @request: identifies the request, also when a caller repeats it
 */
struct trait_list {
    uint64_t request;
    struct trait traits[TRAITS_MAX];
    int count;
};

/**
 * struct trait_set - traits that crashes can't tell apart
 * @traits: the most specific first: a whole request, a last part, then parts
 * from the deepest on
 * @count: number of valid members of @traits
 */
struct trait_set {
    struct trait traits[TRAIT_SET_MAX];
    int count;
};

/**
 * struct suspect - a request whose run was new when its target crashed
 * @request: identifies the request, also when a caller repeats it
 * @traits: owned
 * @trait_count: number of @traits
 */
struct suspect {
    uint64_t request;
    struct trait *traits;
    int trait_count;
};

/**
 * struct crash - an unexpected end of a target
 * @target: hash of the target's id
 * @started_ms: wall time of the target's start
 * @at_ms: when the first connection of a request ended
 * @suspects: owned
 * @suspect_count: number of @suspects
 */
struct crash {
    uint64_t target;
    int64_t started_ms;
    int64_t at_ms;
    struct suspect *suspects;
    int suspect_count;
};

/**
 * struct crash_ledger - recent crashes, as seen by all instances
 * @crashes: in order of @at_ms
 * @count: number of valid members of @crashes
 */
struct crash_ledger {
    struct crash crashes[CRASHES_MAX];
    int count;
};

/**
 * struct sound_memory - traits of requests that targets have survived
 * @recent: trait key -> time
 * @older: what @recent held before it was full
 *
 * Bounded; the traits that come most rarely are forgotten first.
 */
struct sound_memory {
    struct _GHashTable *recent;
    struct _GHashTable *older;
};

/**
 * struct trait_verdict - traits that crash targets, alone or together
 * @traits: requests with all of them are refused
 * @since_ms: when the evidence was complete
 * @probe_ms: from then on one request may run, to see whether it still crashes
 * its target
 * @probing_until_ms: that request is on its way; 0 for none
 * @seen_ms: when a request was last refused
 * @level: number of probes that crashed a target; below 0 while the verdict is
 * doubtful, and probes are early
 * @learnt: it came from another instance, which may know of more answers
 */
struct trait_verdict {
    struct trait_set traits;
    int64_t since_ms;
    int64_t probe_ms;
    int64_t probing_until_ms;
    int64_t seen_ms;
    int level;
    bool learnt;
};

/**
 * struct quarantine - traits whose requests crash targets
 *
 * No verdict has all the traits of another one, which would refuse the same
 * requests.
 */
struct quarantine {
    struct trait_verdict verdicts[VERDICTS_MAX];
    int count;
};

/**
 * struct evidence - an explanation of crashes, and what speaks for it
 * @traits: what the suspects of these crashes have in common
 * @known_sound: one of @traits was sound before
 * @contrasted: targets have since survived another part of such a request
 * @mask: the crashes; a bit for each one of the ledger
 * @crashes: their number
 * @moments: of these, at different times
 * @requests: different requests with the traits among the suspects
 * @sightings: how often such requests were at these crashes
 */
struct evidence {
    struct trait_set traits;
    bool known_sound;
    bool contrasted;
    uint64_t mask;
    int crashes;
    int moments;
    int requests;
    int sightings;
};

/**
 * struct sighting - a request with a trait at a crash
 * @request: identifies the request
 * @crash: index in the ledger
 */
struct sighting {
    uint64_t request;
    int crash;
};

/**
 * struct tally - where a trait was seen that has not been acquitted since
 * @trait: the trait
 * @known_sound: it was sound before
 * @mask: the crashes; a bit for each one of the ledger
 * @sightings: struct sighting
 */
struct tally {
    struct trait trait;
    bool known_sound;
    uint64_t mask;
    struct _GArray *sightings;
};

/**
 * struct inquiry - the evidence of a ledger by trait
 * @ledger: the crashes; borrowed
 * @sound: what targets have survived; borrowed
 * @until_ms: later crashes don't count yet
 * @moments: number of the moment of each crash
 * @tallies: trait key -> struct tally
 */
struct inquiry {
    const struct crash_ledger *ledger;
    const struct sound_memory *sound;
    int64_t until_ms;
    int moments[CRASHES_MAX];
    struct _GHashTable *tallies;
};

/**
 * struct explanations - what explains the crashes of a ledger
 * @found: the best one first
 * @count: number of valid members of @found
 */
struct explanations {
    struct evidence found[EXPLANATIONS_MAX];
    int count;
};

/**
 * struct judgement - how the verdicts have changed
 * @begun: new verdicts
 * @withdrawn: number of verdicts that another explanation has replaced
 */
struct judgement {
    struct explanations begun;
    int withdrawn;
};

enum quarantine_action {
    QUARANTINE_PASS,
    QUARANTINE_PROBE,
    QUARANTINE_REFUSE
};

/**
 * struct crash_report - what an instance tells others of crashes
 * @crashes: struct crash, each with its suspects
 * @sound: uint64_t; keys of traits that a target has survived since
 * @verdicts: struct trait_verdict
 */
struct crash_report {
    struct _GArray *crashes;
    struct _GArray *sound;
    struct _GArray *verdicts;
};

/**
 * struct abandoned_request - a request that was given up while its run was
 * new, and may go on all the same
 * @target: hash of the target's id
 * @started_ms: wall time of the target's start
 * @at_ms: when it was given up; 0 for an empty entry
 * @traits: traits of the request
 */
struct abandoned_request {
    uint64_t target;
    int64_t started_ms;
    int64_t at_ms;
    struct trait_list traits;
};

/**
 * struct crash_watch - what an instance knows of requests that crash targets
 * @crashes: of all instances
 * @unconfirmed: targets that ended connections of this instance's requests
 * @abandoned: requests that this instance has given up last, as a ring
 * @abandoned_next: where the next one goes
 * @sound: traits that targets have survived
 * @quarantine: traits whose requests are refused
 * @news: not yet sent to the other instances
 * @repeat_ms: when the report to some of them is due
 * @judge_ms: when the evidence on the last crash is likely to be complete; 0
 * when it was judged
 */
struct crash_watch {
    struct crash_ledger crashes;
    struct crash_ledger unconfirmed;
    struct abandoned_request abandoned[ABANDONED_MAX];
    int abandoned_next;
    struct sound_memory sound;
    struct quarantine quarantine;
    struct crash_report news;
    int64_t repeat_ms;
    int64_t judge_ms;
};

#endif
