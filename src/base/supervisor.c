/**
 * DOC: Supervisors start children in order and stop them in reverse order.
 *
 * A supervisor is itself a duty, so supervisors form a tree. A failed child is
 * restarted after a delay that doubles with each restart. A child that exceeds
 * its restart limit makes its supervisor fail, and so on up to the root, whose
 * failure ends the process.
 */
#include <errno.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"

enum {
    RESTARTS_MAX = 5,
    RESTART_WINDOW_MS = 60000,
    RESTART_DELAY_MIN_MS = 100,
    RESTART_DELAY_MAX_MS = 5000,
};

static bool
supervisor_duty_run(struct duty *duty, struct err *err)
{
    return supervisor_run((struct supervisor *)duty, err);
}

static void
supervisor_duty_stop(struct duty *duty)
{
    supervisor_stop((struct supervisor *)duty);
}

static const struct duty_ops supervisor_ops = {supervisor_duty_run,
                                               supervisor_duty_stop};

/**
 * supervisor_init() - initialize a supervisor without children
 * @supervisor: the supervisor
 * @name: name in log lines; kept by reference
 */
void
supervisor_init(struct supervisor *supervisor, const char *name)
{
    memset(supervisor, 0, sizeof(*supervisor));
    supervisor->duty.ops = &supervisor_ops;
    supervisor->duty.name = name;
    pthread_mutex_init(&supervisor->lock, NULL);
    cond_init_monotonic(&supervisor->changed);
}

/**
 * supervisor_add() - add a child; children start in the order they are added
 * @supervisor: the supervisor
 * @duty: the child; kept by reference
 */
void
supervisor_add(struct supervisor *supervisor, struct duty *duty)
{
    struct child *child;

    if (supervisor->child_count == SUPERVISOR_CHILDREN_MAX) {
        log_line(LOG_PRI_ERR, supervisor->duty.name,
                 "event=too_many_children dropped=%s", duty->name);
        return;
    }
    child = &supervisor->children[supervisor->child_count++];
    child->duty = duty;
    child->supervisor = supervisor;
}

static int64_t
restart_delay_ms(int restarts)
{
    int64_t delay_ms = RESTART_DELAY_MIN_MS;

    for (int i = 1; i < restarts && delay_ms < RESTART_DELAY_MAX_MS; i++) {
        delay_ms *= 2;
    }
    return delay_ms < RESTART_DELAY_MAX_MS ? delay_ms : RESTART_DELAY_MAX_MS;
}

/* Returns false when the child exceeds its restart limit in the window. */
static bool
count_restart(struct child *child, int64_t now_ms)
{
    if (child->restarts == 0 ||
        now_ms - child->window_start_ms > RESTART_WINDOW_MS) {
        child->window_start_ms = now_ms;
        child->restarts = 0;
    }
    child->restarts++;
    return child->restarts <= RESTARTS_MAX;
}

static void
wait_before_restart(struct supervisor *supervisor, const struct child *child,
                    int64_t delay_ms)
{
    struct timespec deadline = clock_deadline(delay_ms);
    int result = 0;

    while (!child->stopping && !supervisor->stopping && result != ETIMEDOUT) {
        result = pthread_cond_timedwait(&supervisor->changed,
                                        &supervisor->lock, &deadline);
    }
}

/* Called with the lock held. Returns whether the child is to be restarted. */
static bool
handle_failure(struct child *child, const struct err *err)
{
    struct supervisor *supervisor = child->supervisor;

    if (child->stopping || supervisor->stopping) {
        return false;
    }
    if (!count_restart(child, clock_now_ms())) {
        supervisor->failed = true;
        supervisor->err = *err;
        pthread_cond_broadcast(&supervisor->changed);
        return false;
    }
    counter_add(CTR_DUTY_RESTARTS, 1);
    log_line(LOG_PRI_WARNING, supervisor->duty.name,
             "event=restart child=%s error=%s detail=\"%s\"",
             child->duty->name, err_info(err->kind)->name, err->text);
    wait_before_restart(supervisor, child, restart_delay_ms(child->restarts));
    return !child->stopping && !supervisor->stopping;
}

static void *
child_main(void *argument)
{
    struct child *child = argument;
    struct supervisor *supervisor = child->supervisor;
    bool restart = true;

    while (restart) {
        struct err err = {0};
        bool done = child->duty->ops->run(child->duty, &err);

        pthread_mutex_lock(&supervisor->lock);
        restart = !done && handle_failure(child, &err);
        pthread_mutex_unlock(&supervisor->lock);
    }
    return NULL;
}

static bool
start_children(struct supervisor *supervisor, struct err *err)
{
    for (int i = 0; i < supervisor->child_count; i++) {
        struct child *child = &supervisor->children[i];

        child->stopping = false;
        child->restarts = 0;
        if (pthread_create(&child->thread, NULL, child_main, child) != 0) {
            return err_set(err, ERR_NO_MEMORY, "cannot start thread of %s",
                           child->duty->name);
        }
        child->started = true;
    }
    return true;
}

static void
stop_children(struct supervisor *supervisor)
{
    for (int i = supervisor->child_count - 1; i >= 0; i--) {
        struct child *child = &supervisor->children[i];

        if (!child->started) {
            continue;
        }
        pthread_mutex_lock(&supervisor->lock);
        child->stopping = true;
        pthread_cond_broadcast(&supervisor->changed);
        pthread_mutex_unlock(&supervisor->lock);
        child->duty->ops->stop(child->duty);
        pthread_join(child->thread, NULL);
        child->started = false;
    }
}

/**
 * supervisor_run() - run the children until stopped or failed
 * @supervisor: the supervisor
 * @err: filled in on failure
 *
 * Children are stopped in reverse start order; each thread is joined before
 * the next child is stopped.
 *
 * Return: true after supervisor_stop(); false when a child exceeded its
 * restart limit or a thread can't be started.
 */
bool
supervisor_run(struct supervisor *supervisor, struct err *err)
{
    bool failed;

    pthread_mutex_lock(&supervisor->lock);
    supervisor->failed = false;
    pthread_mutex_unlock(&supervisor->lock);
    failed = !start_children(supervisor, err);
    pthread_mutex_lock(&supervisor->lock);
    while (!failed && !supervisor->stopping && !supervisor->failed) {
        pthread_cond_wait(&supervisor->changed, &supervisor->lock);
    }
    if (supervisor->failed) {
        failed = true;
        *err = supervisor->err;
    }
    pthread_mutex_unlock(&supervisor->lock);
    stop_children(supervisor);
    return !failed;
}

/**
 * supervisor_stop() - make supervisor_run() stop the children and return
 * @supervisor: the supervisor
 */
void
supervisor_stop(struct supervisor *supervisor)
{
    pthread_mutex_lock(&supervisor->lock);
    supervisor->stopping = true;
    pthread_cond_broadcast(&supervisor->changed);
    pthread_mutex_unlock(&supervisor->lock);
}

/**
 * supervisor_free() - free the resources of a stopped supervisor
 * @supervisor: the supervisor
 */
void
supervisor_free(struct supervisor *supervisor)
{
    pthread_cond_destroy(&supervisor->changed);
    pthread_mutex_destroy(&supervisor->lock);
}
