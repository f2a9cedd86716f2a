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

#endif
