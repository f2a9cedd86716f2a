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
    /* Depth of the trait of a whole request, which no part has. */
    WHOLE_REQUEST = -1,
};

/**
 * struct trait - what a request has in common with others
 * @key: hash of a part of its prompt, or of the whole request
 * @depth: place of the part in the prompt, from 0; WHOLE_REQUEST
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
 * struct suspect - a request that had not begun when its target crashed
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
 * struct sound_memory - traits of requests that targets began to answer
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
 * struct trait_verdict - a trait whose requests are refused
 * @trait: the trait
 * @since_ms: when the evidence was complete
 * @probe_ms: from then on one request may run, to see whether it still crashes
 * its target
 * @probing_until_ms: that request is on its way; 0 for none
 * @seen_ms: when a request last had the trait
 * @level: number of probes that crashed a target
 */
struct trait_verdict {
    struct trait trait;
    int64_t since_ms;
    int64_t probe_ms;
    int64_t probing_until_ms;
    int64_t seen_ms;
    int level;
};

/**
 * struct quarantine - traits whose requests crash targets
 */
struct quarantine {
    struct trait_verdict verdicts[VERDICTS_MAX];
    int count;
};

/**
 * struct evidence - what counts against a trait
 * @trait: the trait
 * @crashes: crashes with a suspect that has the trait
 * @moments: of these, at different times
 * @requests: different requests with the trait among the suspects
 */
struct evidence {
    struct trait trait;
    int crashes;
    int moments;
    int requests;
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
 * struct abandoned_request - a request that was given up before it began, and
 * may begin all the same
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
