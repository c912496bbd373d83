#ifndef IBISFIELD_IO_LOOP_H
#define IBISFIELD_IO_LOOP_H

#include <glib.h>
#include <h2o.h>

#include "ibisfield/base/clock.h"

typedef struct loop loop_t;
typedef void (*loop_callback_t)(void *context);

/// A timer owned by its user; zero-initialised before first use. The loop
/// checks timers every LOOP_TICK_MS.
typedef struct {
    loop_callback_t callback;
    void *context;
    int64_t due_us; ///< 0: not armed
    GSequenceIter *position;
} loop_timer_t;

#define LOOP_TICK_MS 5

/// The event loop of a process: h2o's loop, timers and messages from other
/// threads.
struct loop {
    h2o_loop_t *h2o;
    const clock_source_t *clock;
    GSequence *timers;         ///< by due_us
    GAsyncQueue *messages;     ///< of other threads
    h2o_socket_t *wake_socket; ///< eventfd behind loop_post()
    int wake_fd;
    bool stopped;
};

void loop_init(loop_t *loop, const clock_source_t *clock);
void loop_finish(loop_t *loop);
/// Runs until loop_stop().
void loop_run(loop_t *loop);
void loop_stop(loop_t *loop);
/// Arms the timer once; arming again moves it.
void loop_timer_start(loop_t *loop, loop_timer_t *timer, int64_t delay_us,
                      loop_callback_t callback, void *context);
void loop_timer_stop(loop_t *loop, loop_timer_t *timer);
/// Runs @p callback in the loop's thread. May be called from any thread.
void loop_post(loop_t *loop, loop_callback_t callback, void *context);

#endif
