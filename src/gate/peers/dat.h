#ifndef NEWS_DAT_H
#define NEWS_DAT_H

/**
 * struct news_peer - an instance that gets news
 * @gone_ms: since when it is not listed; 0 while it is
 */
struct news_peer {
    uint64_t id;
    int64_t gone_ms;
};

/**
 * struct circle - who sums up the notes
 * @from: who told the last sum
 * @fence: of its term; 0 for none
 * @heard_ms: when
 */
struct circle {
    uint64_t from;
    int64_t fence;
    int64_t heard_ms;
};

#endif
