/// @file
/// The real guard over the fake upstream.

#include "common/sim.h"

#define LATE_STEP_US (250 * US_PER_MS)
#define LATE_STEPS 8
#define LATE_BY_STEPS 4
#define ACCOUNTS_MAX 4096

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
    world_t *world = server_of(io)->world;
    attempt_t *attempt = world_attempt(world, attempt_of(user));
    attempt->request_id = request_id;
    attempt->handle = handle;
    upstream_accept(world, attempt_of(user));
}

static void
on_cancel(guard_io_t *io, call_handle_t handle, void *user)
{
    (void)handle;
    upstream_cancel(server_of(io)->world, attempt_of(user));
}

static guard_load_t
reported_load(server_t *server, const guard_load_t *load)
{
    const world_t *world = server->world;
    int64_t step = world->clock.now_us / LATE_STEP_US;
    server->late[step % LATE_STEPS] = *load;
    if (world->variant->reports == REPORTS_LATE) {
        return server->late[(step + LATE_STEPS - LATE_BY_STEPS) % LATE_STEPS];
    }
    if (world->variant->reports == REPORTS_FALSE) {
        return (guard_load_t){.limit = load->limit, .service_us = 1000};
    }
    return *load;
}

static void
on_answer(guard_io_t *io, call_handle_t handle, void *user,
          const guard_answer_t *answer)
{
    (void)handle;
    server_t *server = server_of(io);
    uint32_t index = attempt_of(user);
    attempt_t *attempt = world_attempt(server->world, index);
    attempt->state = ATTEMPT_ENDED;
    attempt->answer = *answer;
    attempt->answer.load = reported_load(server, &answer->load);
    world_schedule(
        server->world,
        world_delay_us(server->world, attempt->node, attempt->sender),
        EVENT_RESULT, index);
}

static const guard_io_vtable_t vtable = {on_start, on_cancel, on_answer};

/// Initialises the guard of one VM.
void
guard_adapter_setup(world_t *world, uint32_t index)
{
    server_t *server = &world->servers[index];
    admission_options_t options = {
        .slots = world->deployment->services[server->service].slots,
        .seed = world->seed + index,
        .off = world->variant->admission_off,
        .order = world->variant->order,
    };
    server->guard_io.vtable = &vtable;
    retry_accounts_init(&server->accounts, ACCOUNTS_MAX, world->seed + index);
    guard_init(&server->guard, &world->clock.base, &server->guard_io,
               &server->accounts, &options);
}

/// An attempt has reached its server.
void
guard_adapter_arrival(world_t *world, uint32_t index)
{
    attempt_t *attempt = world_attempt(world, index);
    server_t *server = &world->servers[attempt->node];
    if (attempt->cancelled) {
        attempt->state = ATTEMPT_ENDED;
        world_schedule(world, 0, EVENT_RESULT, index);
        return;
    }
    attempt->state = ATTEMPT_WAITING;
    guard_request_t request = {
        .customer = slice_from_string(world->contract.customer),
        .kind = slice_from_string(world->kinds[attempt->kind].name),
        .worth = attempt->worth,
        .budget_us = attempt->deadline_us - world->clock.now_us,
        .retries = attempt->retries,
        .once = attempt->once,
        .user = GUINT_TO_POINTER(index + 1),
    };
    call_handle_t handle = guard_request(&server->guard, &request);
    world_attempt(world, index)->handle = handle;
}

/// The sender no longer wants the answer.
void
guard_adapter_cancel(world_t *world, uint32_t index)
{
    attempt_t *attempt = world_attempt(world, index);
    bool at_guard = attempt->state == ATTEMPT_WAITING ||
                    attempt->state == ATTEMPT_QUEUED ||
                    attempt->state == ATTEMPT_RUNNING;
    if (at_guard) {
        server_t *server = &world->servers[attempt->node];
        guard_sender_gone(&server->guard, attempt->handle);
        world_attempt(world, index)->state = ATTEMPT_ENDED;
        world_schedule(world, 0, EVENT_RESULT, index);
    }
    attempt_release(world, index);
}

/// The upstream has answered, with a failure if its own call failed.
void
guard_adapter_done(world_t *world, uint32_t index)
{
    const attempt_t *attempt = world_attempt(world, index);
    guard_upstream_done(&world->servers[attempt->node].guard, attempt->handle,
                        attempt->lost ? UPSTREAM_LOST : UPSTREAM_ANSWERED);
}
