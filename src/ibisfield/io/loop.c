/// @file
/// Event loop of a process: h2o's evloop for sockets, an ordered list of
/// timers, and a queue of callbacks that other threads post.

#include "ibisfield/io/loop.h"

#include <signal.h>
#include <sys/eventfd.h>
#include <unistd.h>

/// Longest wait for events, so that a lost wake-up can't block the loop
/// forever.
#define LOOP_SLEEP_MAX_MS 1000
/// Duration of idle_timeout. Exchanges have deadlines of their own, which are
/// far shorter.
#define LOOP_H2O_TIMEOUT_MS 3600000

typedef struct {
    loop_callback_t callback;
    void *context;
} posted_callback_t;

static gint
compare_timers(gconstpointer a, gconstpointer b, gpointer user_data)
{
    (void)user_data;
    const loop_timer_t *left = a;
    const loop_timer_t *right = b;
    if (left->due_us == right->due_us) {
        return 0;
    }
    return left->due_us < right->due_us ? -1 : 1;
}

static void
run_posted_callbacks(h2o_socket_t *socket, const char *error)
{
    (void)error;
    loop_t *loop = socket->data;
    uint64_t count;
    if (read(loop->wake_fd, &count, sizeof(count)) < 0) {
        return;
    }
    posted_callback_t *posted;
    while ((posted = g_async_queue_try_pop(loop->posted_callbacks)) != NULL) {
        posted->callback(posted->context);
        g_free(posted);
    }
}

static loop_timer_t *
first_timer(const loop_t *loop)
{
    GSequenceIter *first = g_sequence_get_begin_iter(loop->timers);
    return g_sequence_iter_is_end(first) ? NULL : g_sequence_get(first);
}

/// Runs the timers that are due. It is a timeout callback of h2o because of
/// the order in one run of h2o's loop: timeouts, events of pending sockets,
/// release of closed sockets. A socket that a timer makes pending is thus
/// handled before it can be freed.
static void
run_timers(h2o_timeout_entry_t *entry)
{
    loop_t *loop = H2O_STRUCT_FROM_MEMBER(loop_t, due_entry, entry);
    int64_t now_us = clock_now_us(loop->clock);
    loop_timer_t *timer;
    while (!loop->stopped && (timer = first_timer(loop)) != NULL &&
           timer->due_us <= now_us)
    {
        loop_timer_stop(loop, timer);
        timer->callback(timer->context);
    }
}

static void
schedule_due_timers(loop_t *loop)
{
    if (!h2o_timeout_is_linked(&loop->due_entry)) {
        h2o_timeout_link(loop->h2o, &loop->due_timeout, &loop->due_entry);
    }
}

static int32_t
next_wait_ms(const loop_t *loop)
{
    const loop_timer_t *timer = first_timer(loop);
    if (timer == NULL) {
        return LOOP_SLEEP_MAX_MS;
    }
    int64_t wait_us = timer->due_us - clock_now_us(loop->clock);
    if (wait_us <= 0) {
        return 0;
    }
    int64_t wait_ms = (wait_us + US_PER_MS - 1) / US_PER_MS;
    return (int32_t)MIN(wait_ms, LOOP_SLEEP_MAX_MS);
}

/// Initialises the loop. Ignores SIGPIPE, which would otherwise end the
/// process when it writes to a connection that the peer has closed.
void
loop_init(loop_t *loop, const clock_source_t *clock)
{
    signal(SIGPIPE, SIG_IGN);
    *loop = (loop_t){.clock = clock, .wake_fd = -1};
    loop->h2o = h2o_evloop_create();
    loop->timers = g_sequence_new(NULL);
    loop->posted_callbacks = g_async_queue_new();
    h2o_timeout_init(loop->h2o, &loop->idle_timeout, LOOP_H2O_TIMEOUT_MS);
    h2o_timeout_init(loop->h2o, &loop->due_timeout, 0);
    loop->due_entry.cb = run_timers;
    loop->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    if (loop->wake_fd < 0) {
        g_error("event=eventfd_failed error=\"%s\"", g_strerror(errno));
    }
    loop->wake_socket = h2o_evloop_socket_create(loop->h2o, loop->wake_fd,
                                                 H2O_SOCKET_FLAG_DONT_READ);
    loop->wake_socket->data = loop;
    h2o_socket_read_start(loop->wake_socket, run_posted_callbacks);
}

/// Releases the loop. Sockets must have been closed and timers stopped.
void
loop_finish(loop_t *loop)
{
    h2o_socket_read_stop(loop->wake_socket);
    h2o_socket_close(loop->wake_socket);
    // h2o closes a socket only in the next run of its loop.
    h2o_evloop_run(loop->h2o, 0);
    posted_callback_t *posted;
    while ((posted = g_async_queue_try_pop(loop->posted_callbacks)) != NULL) {
        g_free(posted);
    }
    g_async_queue_unref(loop->posted_callbacks);
    g_sequence_free(loop->timers);
    if (h2o_timeout_is_linked(&loop->due_entry)) {
        h2o_timeout_unlink(&loop->due_entry);
    }
    h2o_timeout_dispose(loop->h2o, &loop->due_timeout);
    h2o_timeout_dispose(loop->h2o, &loop->idle_timeout);
    h2o_evloop_destroy(loop->h2o);
}

/// Runs until loop_stop().
void
loop_run(loop_t *loop)
{
    loop->stopped = false;
    while (!loop->stopped) {
        int32_t wait_ms = next_wait_ms(loop);
        if (wait_ms == 0) {
            schedule_due_timers(loop);
        }
        h2o_evloop_run(loop->h2o, wait_ms);
    }
}

/// Makes loop_run() return after the current callback.
void
loop_stop(loop_t *loop)
{
    loop->stopped = true;
}

/// Arms the timer for one call of @p callback; an armed timer is rescheduled.
/// A delay of 0 runs the callback after the current batch of socket events.
void
loop_timer_start(loop_t *loop, loop_timer_t *timer, int64_t delay_us,
                 loop_callback_t callback, void *context)
{
    loop_timer_stop(loop, timer);
    timer->callback = callback;
    timer->context = context;
    timer->due_us = clock_now_us(loop->clock) + delay_us;
    timer->position =
        g_sequence_insert_sorted(loop->timers, timer, compare_timers, NULL);
    if (delay_us <= 0) {
        schedule_due_timers(loop);
    }
}

/// Disarms the timer if it is armed.
void
loop_timer_stop(loop_t *loop, loop_timer_t *timer)
{
    (void)loop;
    if (timer->position != NULL) {
        g_sequence_remove(timer->position);
        timer->position = NULL;
    }
}

/// Schedules @p callback to run in the loop's thread. Thread-safe.
void
loop_post(loop_t *loop, loop_callback_t callback, void *context)
{
    posted_callback_t *posted = g_new(posted_callback_t, 1);
    *posted = (posted_callback_t){callback, context};
    g_async_queue_push(loop->posted_callbacks, posted);
    const uint64_t one = 1;
    if (write(loop->wake_fd, &one, sizeof(one)) < 0) {
        // The eventfd counter is full, so the loop is about to wake anyway.
        return;
    }
}
