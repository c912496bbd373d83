/// @file
/// Connects the product's guard to the simulated upstream.

#include "common/sim.h"

/// Delayed load reports are taken from a ring buffer of past loads.
#define LOAD_HISTORY_STEP_US (250 * US_PER_MS)
#define LOAD_HISTORY_STEPS 8
#define LOAD_DELAY_STEPS 4
#define REQUEST_CONTEXTS_MAX 4096

static server_t *
server_of(guard_io_t *io)
{
    return (server_t *)((char *)io - G_STRUCT_OFFSET(server_t, guard_io));
}

static uint32_t
attempt_of(void *user)
{
    return GPOINTER_TO_UINT(user) - 1;
}

static void
on_start(guard_io_t *io, call_handle_t handle, void *user, uint64_t request_id,
         int64_t budget_us, int64_t wait_us)
{
    (void)budget_us;
    (void)wait_us;
    sim_t *sim = server_of(io)->sim;
    attempt_t *attempt = sim_attempt(sim, attempt_of(user));
    attempt->request_id = request_id;
    attempt->handle = handle;
    upstream_accept(sim, attempt_of(user));
}

static void
on_cancel(guard_io_t *io, call_handle_t handle, void *user)
{
    (void)handle;
    upstream_cancel(server_of(io)->sim, attempt_of(user));
}

static guard_load_t
reported_load(server_t *server, const guard_load_t *load)
{
    const sim_t *sim = server->sim;
    int64_t step = sim->clock.now_us / LOAD_HISTORY_STEP_US;
    server->load_history[step % LOAD_HISTORY_STEPS] = *load;
    if (sim->variant->reports == REPORTS_DELAYED) {
        return server
            ->load_history[(step + LOAD_HISTORY_STEPS - LOAD_DELAY_STEPS) %
                           LOAD_HISTORY_STEPS];
    }
    if (sim->variant->reports == REPORTS_ALWAYS_IDLE) {
        return (guard_load_t){.limit = load->limit, .service_us = 1000};
    }
    return *load;
}

static void
on_respond(guard_io_t *io, call_handle_t handle, void *user,
           const guard_response_t *response)
{
    (void)handle;
    server_t *server = server_of(io);
    uint32_t index = attempt_of(user);
    attempt_t *attempt = sim_attempt(server->sim, index);
    attempt->state = ATTEMPT_ENDED;
    attempt->response = *response;
    attempt->response.load = reported_load(server, &response->load);
    sim_schedule(server->sim,
                 sim_delay_us(server->sim, attempt->receiver, attempt->sender),
                 EVENT_ATTEMPT_RESULT, index);
}

static const guard_io_vtable_t vtable = {on_start, on_cancel, on_respond};

/// Initialises the guard of a server and its request contexts.
void
guard_adapter_setup(sim_t *sim, uint32_t index)
{
    server_t *server = &sim->servers[index];
    admission_options_t options = {
        .slots = sim->deployment->services[server->service].slots,
        .seed = sim->seed + index,
        .disabled_features = sim->variant->disabled_admission_features,
        .order = sim->variant->queue_order,
    };
    server->guard_io.vtable = &vtable;
    request_contexts_init(&server->contexts, REQUEST_CONTEXTS_MAX,
                          sim->seed + index);
    guard_init(&server->guard, &sim->clock.base, &server->guard_io,
               &server->contexts, &options);
}

/// Passes an attempt that has reached its server to the guard, unless it was
/// cancelled on the way.
void
guard_adapter_arrival(sim_t *sim, uint32_t index)
{
    attempt_t *attempt = sim_attempt(sim, index);
    server_t *server = &sim->servers[attempt->receiver];
    if (attempt->cancelled) {
        attempt->state = ATTEMPT_ENDED;
        sim_schedule(sim, 0, EVENT_ATTEMPT_RESULT, index);
        return;
    }
    attempt->state = ATTEMPT_QUEUED_AT_GUARD;
    guard_request_t request = {
        .customer = slice_from_string(sim->contract.customer),
        .kind = slice_from_string(sim->kinds[attempt->kind].name),
        .worth = attempt->worth,
        .budget_us = attempt->deadline_us - sim->clock.now_us,
        .retry_tokens = attempt->retry_tokens,
        .at_most_once = attempt->at_most_once,
        .user = GUINT_TO_POINTER(index + 1),
    };
    call_handle_t handle = guard_request(&server->guard, &request);
    sim_attempt(sim, index)->handle = handle;
}

/// Tells the guard that the sender no longer waits for the response.
void
guard_adapter_cancel(sim_t *sim, uint32_t index)
{
    attempt_t *attempt = sim_attempt(sim, index);
    bool at_guard = attempt->state == ATTEMPT_QUEUED_AT_GUARD ||
                    attempt->state == ATTEMPT_QUEUED_AT_UPSTREAM ||
                    attempt->state == ATTEMPT_RUNNING;
    if (at_guard) {
        server_t *server = &sim->servers[attempt->receiver];
        guard_sender_disconnected(&server->guard, attempt->handle);
        sim_attempt(sim, index)->state = ATTEMPT_ENDED;
        sim_schedule(sim, 0, EVENT_ATTEMPT_RESULT, index);
    }
    attempt_release(sim, index);
}

/// Reports to the guard that the upstream has responded, with an error status
/// if its own call failed, or has closed the connection.
void
guard_adapter_done(sim_t *sim, uint32_t index)
{
    const attempt_t *attempt = sim_attempt(sim, index);
    guard_upstream_done(
        &sim->servers[attempt->receiver].guard, attempt->handle,
        attempt->connection_lost ? UPSTREAM_LOST : UPSTREAM_ANSWERED);
}
