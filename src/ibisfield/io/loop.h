#ifndef IBISFIELD_IO_LOOP_H
#define IBISFIELD_IO_LOOP_H

#include <stdbool.h>

#include <glib.h>
#include <h2o.h>

#include "ibisfield/base/clock.h"

typedef struct loop loop_t;
typedef void (*loop_callback_t)(void *context);

/// A one-shot timer, owned by its user. Zero-initialised before first use.
typedef struct {
    loop_callback_t callback;
    void *context;
    int64_t due_us;
    GSequenceIter *position; ///< NULL: not armed
} loop_timer_t;

/// Interval of a node's periodic work while calls are in flight.
#define LOOP_TICK_MS 5

/// The event loop of a process: h2o's event loop, timers, and callbacks that
/// other threads post.
struct loop {
    h2o_loop_t *h2o;
    const clock_source_t *clock;
    GSequence *timers;             ///< ordered by due_us
    GAsyncQueue *posted_callbacks; ///< from other threads
    h2o_socket_t *wake_socket;     ///< h2o's socket of wake_fd
    h2o_timeout_t idle_timeout;    ///< has no timers
    h2o_timeout_t due_timeout;     ///< runs due timers inside h2o's loop
    h2o_timeout_entry_t due_entry;
    int wake_fd; ///< eventfd that loop_post() writes to
    bool stopped;
};

void loop_init(loop_t *loop, const clock_source_t *clock);
void loop_finish(loop_t *loop);
void loop_run(loop_t *loop);
void loop_stop(loop_t *loop);
void loop_timer_start(loop_t *loop, loop_timer_t *timer, int64_t delay_us,
                      loop_callback_t callback, void *context);
void loop_timer_stop(loop_t *loop, loop_timer_t *timer);
void loop_post(loop_t *loop, loop_callback_t callback, void *context);

#endif
