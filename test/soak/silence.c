/* Sound engines that fall silent and go on, and bodies that are sent in parts,
 * so that a silence or a stop finds them begun. */
#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>
#include <ulfius.h>

#include "base/dat.h"
#include "base/fns.h"
#include "test/soak/dat.h"
#include "test/soak/fns.h"

/* More than a gate holds back before it begins an answer. */
enum { FIRST_PART_BYTES = 280000, PART_MAX_BYTES = 16384 };

/* The engine writes nothing before @until_ms. */
void
soak_silence_begin(struct soak_engine *engine, int64_t until_ms)
{
    pthread_mutex_lock(&engine->soak->lock);
    engine->silent_until_ms = until_ms;
    pthread_mutex_unlock(&engine->soak->lock);
}

static int64_t
silence_left_ms(struct soak_engine *engine)
{
    int64_t until_ms;

    pthread_mutex_lock(&engine->soak->lock);
    until_ms = engine->down ? 0 : engine->silent_until_ms;
    pthread_mutex_unlock(&engine->soak->lock);
    return until_ms - clock_now_ms();
}

/* Called before the engine writes. Must be called without the lock. */
void
soak_silence_wait(struct soak_engine *engine)
{
    int64_t left_ms;

    while ((left_ms = silence_left_ms(engine)) > 0) {
        soak_delay((int)left_ms);
    }
}

/* A response body; all after its first part comes in @part_bytes at a time. */
struct slow_body {
    struct soak_engine *engine;
    char attempt_id[NAME_MAX_BYTES];
    char *text;
    size_t count;
    size_t part_bytes;
};

static ssize_t
next_part(void *user_data, uint64_t offset, char *out, size_t max)
{
    struct slow_body *body = user_data;
    size_t count = MIN(max, body->count - offset);

    if (offset >= FIRST_PART_BYTES) {
        soak_delay(EVENT_INTERVAL_MS);
        count = MIN(count, body->part_bytes);
    }
    soak_silence_wait(body->engine);
    memcpy(out, body->text + offset, count);
    if (offset + count == body->count) {
        soak_work_end(body->engine, body->attempt_id, true);
    }
    return (ssize_t)count;
}

static void
slow_body_free(void *user_data)
{
    struct slow_body *body = user_data;

    g_free(body->text);
    g_free(body);
}

void
soak_respond_slowly(struct soak_engine *engine, const char *attempt, int parts,
                    struct _u_response *response)
{
    struct slow_body *body = g_new0(struct slow_body, 1);

    body->engine = engine;
    g_strlcpy(body->attempt_id, attempt, sizeof(body->attempt_id));
    body->text = soak_body(attempt, engine->service, parts);
    body->count = strlen(body->text);
    body->part_bytes = (body->count - FIRST_PART_BYTES) / (size_t)parts + 1;
    ulfius_set_stream_response(response, 200, next_part, slow_body_free,
                               body->count, PART_MAX_BYTES, body);
}
