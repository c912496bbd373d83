/// @file
/// Records of the keys that this process incarnation has issued. A request
/// runs only when the record of its key is created, and the record is kept
/// until the key expires, so that each request runs at most once.

#include "ibisfield/idempotency/key_table.h"

/// Records examined in one tick, to bound its duration.
#define SWEEP_RECORDS_MAX 256

/// Initialises the table. Each incarnation has a new secret, so it accepts no
/// keys of an earlier one.
void
key_table_init(key_table_t *table, const clock_source_t *clock,
               const key_table_options_t *options)
{
    *table = (key_table_t){
        .clock = clock,
        .options = *options,
        .start_us = clock_now_us(clock),
        .next_sequence = 1,
    };
    table->latest_us = table->start_us;
    g_strlcpy(table->vm, options->vm, sizeof(table->vm));
    table->options.vm = table->vm;
    slot_table_init(&table->slots, options->max_records);
    table->records = g_new0(key_record_t, options->max_records);
    table->index = g_hash_table_new(g_int64_hash, g_int64_equal);
}

/// Releases the table and the stored responses.
void
key_table_finish(key_table_t *table)
{
    for (uint32_t i = 0; i < table->slots.count; i++) {
        g_free(table->records[slot_table_at(&table->slots, i)].response);
    }
    g_hash_table_destroy(table->index);
    g_free(table->records);
    slot_table_finish(&table->slots);
}

/// Returns the time since the start. It never decreases: if the clock steps
/// back, an expired key must not become valid again, because its record may
/// have been removed.
static int64_t
get_uptime_us(key_table_t *table)
{
    int64_t now_us = clock_now_us(table->clock);
    table->latest_us = MAX(table->latest_us, now_us);
    return table->latest_us - table->start_us;
}

static uint64_t
get_uptime_ms(key_table_t *table)
{
    return (uint64_t)(get_uptime_us(table) / US_PER_MS);
}

/// Issues a new key for @p customer that is valid for @p ttl_us and writes its
/// text. Returns false if the table is full.
bool
key_table_issue(key_table_t *table, slice_t customer, int64_t ttl_us,
                char text[KEY_TEXT_MAX + 1])
{
    text[0] = '\0';
    if (table->slots.count >= table->slots.capacity) {
        return false;
    }
    int64_t expiry_us = get_uptime_us(table) + ttl_us;
    idempotency_key_t key = {
        .incarnation = table->options.incarnation,
        .expiry_ms = (uint64_t)(expiry_us / US_PER_MS),
        .sequence = table->next_sequence++,
    };
    memcpy(key.vm, table->vm, sizeof(key.vm));
    idempotency_key_sign(&key, customer, table->options.secret);
    idempotency_key_format(&key, text);
    table->last_expiry_us = MAX(table->last_expiry_us, expiry_us);
    return true;
}

static key_record_t *
find_record(key_table_t *table, key_handle_t handle)
{
    uint32_t slot = slot_table_find(&table->slots, handle);
    return slot == SLOT_NONE ? NULL : &table->records[slot];
}

static void
remove_record(key_table_t *table, key_record_t *record)
{
    g_hash_table_remove(table->index, &record->sequence);
    if (record->response != NULL) {
        table->response_bytes -= record->response_len;
        g_clear_pointer(&record->response, g_free);
    }
    slot_table_release(&table->slots, record->handle);
}

static key_check_t
add_record(key_table_t *table, const idempotency_key_t *key,
           uint64_t request_hash, key_check_details_t *details)
{
    key_handle_t handle = slot_table_acquire(&table->slots);
    if (handle == 0) {
        return KEY_TABLE_FULL;
    }
    key_record_t *record = find_record(table, handle);
    *record = (key_record_t){
        .sequence = key->sequence,
        .handle = handle,
        .expiry_ms = key->expiry_ms,
        .request_hash = request_hash,
        .state = KEY_RECORD_RUNNING,
    };
    g_hash_table_insert(table->index, &record->sequence, record);
    table->used_keys++;
    details->handle = handle;
    return KEY_RUN;
}

static key_check_t
check_record(const key_record_t *record, uint64_t request_hash,
             key_check_details_t *details)
{
    if (record->request_hash != request_hash) {
        return KEY_REUSED;
    }
    details->reason = record->reason;
    switch (record->state) {
    case KEY_RECORD_RUNNING:
        return KEY_IN_PROGRESS;
    case KEY_RECORD_REFUSED:
        return KEY_REFUSED;
    case KEY_RECORD_UNKNOWN:
        return KEY_UNKNOWN;
    default:
        break;
    }
    if (record->response == NULL) {
        return KEY_RESPONSE_NOT_STORED;
    }
    details->response = (slice_t){record->response, record->response_len};
    return KEY_ANSWERED;
}

/// Checks the key of the request that has @p request_hash. Only KEY_RUN allows
/// the request to run; the table then has a record of the key, so a later
/// request with the same key doesn't run.
key_check_t
key_table_submit(key_table_t *table, slice_t customer, slice_t key,
                 uint64_t request_hash, key_check_details_t *details)
{
    *details = (key_check_details_t){0};
    idempotency_key_t parsed;
    if (!idempotency_key_parse(&parsed, key)) {
        return KEY_INVALID;
    }
    if (strcmp(parsed.vm, table->vm) != 0) {
        memcpy(details->owner, parsed.vm, sizeof(parsed.vm));
        return KEY_OWNED_ELSEWHERE;
    }
    if (parsed.incarnation != table->options.incarnation) {
        return KEY_EXPIRED;
    }
    if (!idempotency_key_verify(&parsed, customer, table->options.secret)) {
        return KEY_INVALID;
    }
    if (parsed.expiry_ms <= get_uptime_ms(table)) {
        return KEY_EXPIRED;
    }
    const key_record_t *record =
        g_hash_table_lookup(table->index, &parsed.sequence);
    return record == NULL ? add_record(table, &parsed, request_hash, details)
                          : check_record(record, request_hash, details);
}

/// Records the response of the upstream, also one that arrives late, after
/// key_table_set_unknown(). The response is stored unless the stored responses
/// would exceed max_response_bytes.
void
key_table_set_answered(key_table_t *table, key_handle_t handle,
                       slice_t response)
{
    key_record_t *record = find_record(table, handle);
    if (record == NULL || record->state == KEY_RECORD_ANSWERED ||
        record->state == KEY_RECORD_REFUSED)
    {
        return;
    }
    record->state = KEY_RECORD_ANSWERED;
    record->reason = REASON_NONE;
    uint32_t available_bytes =
        table->options.max_response_bytes - table->response_bytes;
    if (response.len > available_bytes) {
        return;
    }
    // An empty response is stored too: the extra byte makes its copy non-NULL.
    record->response = g_malloc(response.len + 1);
    if (response.len > 0) {
        memcpy(record->response, response.data, response.len);
    }
    record->response_len = (uint32_t)response.len;
    table->response_bytes += record->response_len;
}

/// Records that no upstream has run the request or will run it. The refusal is
/// final: a request with this key never runs.
void
key_table_set_refused(key_table_t *table, key_handle_t handle, reason_t reason)
{
    key_record_t *record = find_record(table, handle);
    if (record != NULL && record->state != KEY_RECORD_ANSWERED) {
        record->state = KEY_RECORD_REFUSED;
        record->reason = reason;
    }
}

/// Records that the request may have run. A later key_table_set_answered() or
/// key_table_set_refused() with the same handle still takes effect.
void
key_table_set_unknown(key_table_t *table, key_handle_t handle, reason_t reason)
{
    key_record_t *record = find_record(table, handle);
    if (record != NULL && record->state == KEY_RECORD_RUNNING) {
        record->state = KEY_RECORD_UNKNOWN;
        record->reason = reason;
    }
}

/// Removes expired records; each call examines at most SWEEP_RECORDS_MAX.
void
key_table_tick(key_table_t *table)
{
    uint64_t now_ms = get_uptime_ms(table);
    uint32_t left = MIN(table->slots.count, SWEEP_RECORDS_MAX);
    for (; left > 0 && table->slots.count > 0; left--) {
        if (table->sweep_position == 0 ||
            table->sweep_position > table->slots.count) {
            table->sweep_position = table->slots.count;
        }
        uint32_t slot = slot_table_at(&table->slots, --table->sweep_position);
        key_record_t *record = &table->records[slot];
        if (record->expiry_ms <= now_ms) {
            remove_record(table, record);
        }
    }
}

/// Returns the number of records.
uint32_t
key_table_count(const key_table_t *table)
{
    return table->slots.count;
}

/// Returns whether a key that is still valid may have been issued and not used
/// yet, so that a request with it is still to be expected.
bool
key_table_has_unused_keys(const key_table_t *table)
{
    int64_t now_us = MAX(table->latest_us, clock_now_us(table->clock));
    return table->next_sequence - 1 > table->used_keys &&
           now_us - table->start_us < table->last_expiry_us;
}
