/// @file
/// Control messages in CBOR: an array of protocol version, type and sender (3
/// elements) and the fields of the type. The decoder uses libcbor's stateless
/// decoder, which allocates nothing, so a length in a message never sets the
/// size of an allocation.

#include "ibisfield/config/control_codec.h"

#include <cbor.h>

#include "ibisfield/base/metrics.h"

typedef struct {
    const char *name;
    unsigned int fields;
    metric_id_t first_metric; ///< first of four consecutive counters
} type_info_t;

static const type_info_t type_infos[CONTROL_TYPE_COUNT] = {
#define CONTROL_INFO(id, name, group, fields)                                 \
    {name, (fields), METRIC_CONTROL_##group##_SENT_MESSAGES},
    CONTROL_TYPE_LIST(CONTROL_INFO)
#undef CONTROL_INFO
};

enum {
    SENT_BYTES_OFFSET = 1,
    RECEIVED_MESSAGES_OFFSET,
    RECEIVED_BYTES_OFFSET
};

/// Returns the name of a message type in logs.
const char *
control_type_name(control_type_t type)
{
    return type_infos[type].name;
}

/// Counts a message that was sent, and its encoded bytes.
void
control_count_sent(control_type_t type, size_t bytes)
{
    metric_id_t first = type_infos[type].first_metric;
    metric_increment(first);
    metric_add(first + SENT_BYTES_OFFSET, (int64_t)bytes);
}

/// Counts a message that was received, and its encoded bytes.
void
control_count_received(control_type_t type, size_t bytes)
{
    metric_id_t first = type_infos[type].first_metric;
    metric_increment(first + RECEIVED_MESSAGES_OFFSET);
    metric_add(first + RECEIVED_BYTES_OFFSET, (int64_t)bytes);
}

/// Initialises a message whose fields are empty. control_message_clear()
/// releases its arrays.
void
control_message_init(control_message_t *message, control_type_t type,
                     const char *sender)
{
    *message = (control_message_t){.type = type};
    g_strlcpy(message->sender, sender, sizeof(message->sender));
    unsigned int fields = type_infos[type].fields;
    if (fields & FIELD_DIGESTS) {
        message->digests = g_array_new(FALSE, FALSE, sizeof(group_digest_t));
    }
    if (fields & FIELD_VERSIONS) {
        message->versions = g_array_new(FALSE, FALSE, sizeof(item_version_t));
    }
    if (fields & FIELD_ITEMS) {
        message->items = g_array_new(FALSE, FALSE, sizeof(config_item_t));
    }
    if (fields & FIELD_COUNTS) {
        message->counts = g_array_new(FALSE, FALSE, sizeof(usage_count_t));
    }
    if (fields & FIELD_SHARES) {
        message->shares = g_array_new(FALSE, FALSE, sizeof(usage_share_t));
    }
}

static void
free_array(GArray *array)
{
    if (array != NULL) {
        g_array_free(array, TRUE);
    }
}

void
control_message_clear(control_message_t *message)
{
    free_array(message->digests);
    free_array(message->versions);
    free_array(message->items);
    free_array(message->counts);
    free_array(message->shares);
    if (message->arena != NULL) {
        g_string_chunk_free(message->arena);
    }
    *message = (control_message_t){0};
}

/* Encoding. */

/// The header of a CBOR data item has an initial byte and an argument of up to
/// 8 bytes.
#define HEADER_MAX_BYTES 9

typedef size_t (*encode_header_t)(size_t value, unsigned char *out,
                                  size_t size);

static void
put_header(GByteArray *out, encode_header_t encode, size_t value)
{
    unsigned char header[HEADER_MAX_BYTES];
    size_t len = encode(value, header, sizeof(header));
    g_byte_array_append(out, header, (guint)len);
}

static void
put_uint(GByteArray *out, uint64_t value)
{
    unsigned char header[HEADER_MAX_BYTES];
    size_t len = cbor_encode_uint(value, header, sizeof(header));
    g_byte_array_append(out, header, (guint)len);
}

static void
put_array(GByteArray *out, size_t count)
{
    put_header(out, cbor_encode_array_start, count);
}

static void
put_text(GByteArray *out, const char *text)
{
    size_t len = strlen(text);
    put_header(out, cbor_encode_string_start, len);
    g_byte_array_append(out, (const guint8 *)text, (guint)len);
}

static void
put_state(GByteArray *out, const config_state_t *state)
{
    put_array(out, 2 + LIST_COUNT);
    put_uint(out, state->digest);
    put_uint(out, state->ready);
    for (int i = 0; i < LIST_COUNT; i++) {
        put_uint(out, state->revisions[i]);
    }
}

static void
put_digests(GByteArray *out, const GArray *digests)
{
    put_array(out, (size_t)digests->len * 2);
    for (guint i = 0; i < digests->len; i++) {
        const group_digest_t *digest =
            &g_array_index(digests, group_digest_t, i);
        put_uint(out, digest->group);
        put_uint(out, digest->digest);
    }
}

static void
put_buckets(GByteArray *out, const uint64_t *buckets)
{
    put_array(out, ITEM_BUCKETS);
    for (int i = 0; i < ITEM_BUCKETS; i++) {
        put_uint(out, buckets[i]);
    }
}

static void
put_versions(GByteArray *out, const GArray *versions)
{
    put_array(out, (size_t)versions->len * 2);
    for (guint i = 0; i < versions->len; i++) {
        const item_version_t *item =
            &g_array_index(versions, item_version_t, i);
        put_text(out, item->name);
        put_uint(out, item->version);
    }
}

static void
put_items(GByteArray *out, const GArray *items)
{
    put_array(out, (size_t)items->len * 3);
    for (guint i = 0; i < items->len; i++) {
        const config_item_t *item = &g_array_index(items, config_item_t, i);
        put_text(out, item->name);
        put_uint(out, item->version);
        put_header(out, cbor_encode_bytestring_start, item->value.len);
        g_byte_array_append(out, (const guint8 *)item->value.data,
                            (guint)item->value.len);
    }
}

/// Maps integers to unsigned ones so that small ones stay small.
static uint64_t
zigzag_encode(int32_t value)
{
    return value >= 0 ? 2 * (uint64_t)value
                      : 2 * (uint64_t)(-(int64_t)value) - 1;
}

static int64_t
zigzag_decode(uint64_t value)
{
    return value % 2 == 0 ? (int64_t)(value / 2) : -(int64_t)(value / 2) - 1;
}

static void
put_counts(GByteArray *out, const GArray *counts)
{
    put_array(out, (size_t)counts->len * 3);
    for (guint i = 0; i < counts->len; i++) {
        const usage_count_t *count = &g_array_index(counts, usage_count_t, i);
        put_uint(out, count->workspace);
        put_uint(out, count->offered);
        put_uint(out, zigzag_encode(count->spent));
    }
}

static void
put_shares(GByteArray *out, const GArray *shares)
{
    put_array(out, (size_t)shares->len * 3);
    for (guint i = 0; i < shares->len; i++) {
        const usage_share_t *share = &g_array_index(shares, usage_share_t, i);
        put_uint(out, share->workspace);
        put_uint(out, share->permille);
        put_uint(out, share->refusal_factor);
    }
}

/// Appends the encoded message to @p out.
void
control_encode(const control_message_t *message, GByteArray *out)
{
    unsigned int fields = type_infos[message->type].fields;
    put_array(out, 3 + (size_t)__builtin_popcount(fields));
    put_uint(out, CONTROL_PROTOCOL_VERSION);
    put_uint(out, message->type);
    put_text(out, message->sender);
    if (fields & FIELD_REASON) {
        put_text(out, message->reason);
    }
    if (fields & FIELD_ROOT) {
        put_text(out, message->root);
    }
    if (fields & FIELD_STATE) {
        put_state(out, &message->state);
    }
    if (fields & FIELD_MUTUAL) {
        put_uint(out, message->mutual);
    }
    if (fields & FIELD_GROUP) {
        put_uint(out, message->group);
    }
    if (fields & FIELD_DIGESTS) {
        put_digests(out, message->digests);
    }
    if (fields & FIELD_BUCKETS) {
        put_buckets(out, message->buckets);
    }
    if (fields & FIELD_VERSIONS) {
        put_versions(out, message->versions);
    }
    if (fields & FIELD_ERA) {
        put_uint(out, message->point.era);
    }
    if (fields & FIELD_REVISION) {
        put_uint(out, message->point.revision);
    }
    if (fields & FIELD_IS_SNAPSHOT) {
        put_uint(out, message->is_snapshot);
    }
    if (fields & FIELD_HAS_GAP) {
        put_uint(out, message->has_gap);
    }
    if (fields & FIELD_REMOVAL_GRACE) {
        put_uint(out, message->removal_grace_ms);
    }
    if (fields & FIELD_WEIGHT) {
        put_uint(out, message->weight);
    }
    if (fields & FIELD_REFUSED) {
        put_uint(out, message->refused_permille);
    }
    if (fields & FIELD_COUNTS) {
        put_counts(out, message->counts);
    }
    if (fields & FIELD_SHARES) {
        put_shares(out, message->shares);
    }
    if (fields & FIELD_ITEMS) {
        put_items(out, message->items);
    }
}

/* Decoding, one CBOR data item at a time. */

typedef enum { TOKEN_OTHER, TOKEN_UINT, TOKEN_BYTES, TOKEN_ARRAY } token_t;

typedef struct {
    const unsigned char *bytes;
    size_t len;
    size_t position;
    token_t token;
    uint64_t argument; ///< unsigned integer, or element count of an array
    slice_t data;      ///< of a text or byte string
} cbor_reader_t;

static void
set_uint(cbor_reader_t *reader, uint64_t value)
{
    reader->token = TOKEN_UINT;
    reader->argument = value;
}

static void
on_uint8(void *context, uint8_t value)
{
    set_uint(context, value);
}

static void
on_uint16(void *context, uint16_t value)
{
    set_uint(context, value);
}

static void
on_uint32(void *context, uint32_t value)
{
    set_uint(context, value);
}

static void
on_uint64(void *context, uint64_t value)
{
    set_uint(context, value);
}

/// Receives text and byte strings.
static void
on_string(void *context, cbor_data data, size_t len)
{
    cbor_reader_t *reader = context;
    reader->token = TOKEN_BYTES;
    reader->data = (slice_t){(const char *)data, len};
}

static void
on_array_start(void *context, size_t count)
{
    cbor_reader_t *reader = context;
    reader->token = TOKEN_ARRAY;
    reader->argument = count;
}

static bool
read_token(cbor_reader_t *reader, token_t expected)
{
    struct cbor_callbacks callbacks = cbor_empty_callbacks;
    callbacks.uint8 = on_uint8;
    callbacks.uint16 = on_uint16;
    callbacks.uint32 = on_uint32;
    callbacks.uint64 = on_uint64;
    callbacks.string = on_string;
    callbacks.byte_string = on_string;
    callbacks.array_start = on_array_start;
    reader->token = TOKEN_OTHER;
    struct cbor_decoder_result result =
        cbor_stream_decode(reader->bytes + reader->position,
                           reader->len - reader->position, &callbacks, reader);
    if (result.status != CBOR_DECODER_FINISHED || reader->token != expected) {
        return false;
    }
    reader->position += result.read;
    return true;
}

static bool
read_uint(cbor_reader_t *reader, uint64_t *value)
{
    bool ok = read_token(reader, TOKEN_UINT);
    *value = reader->argument;
    return ok;
}

static bool
read_bool(cbor_reader_t *reader, bool *value)
{
    bool ok = read_token(reader, TOKEN_UINT) && reader->argument <= 1;
    *value = reader->argument == 1;
    return ok;
}

/// Reads the header of an array whose elements consist of
/// @p items_per_element CBOR data items each. Fails if it has more than @p max
/// elements.
static bool
read_array(cbor_reader_t *reader, size_t items_per_element, size_t max,
           size_t *count)
{
    if (!read_token(reader, TOKEN_ARRAY) ||
        reader->argument % items_per_element != 0)
    {
        return false;
    }
    *count = reader->argument / items_per_element;
    return *count <= max;
}

/// Reads a VM name of up to VM_NAME_MAX bytes, which may be empty.
static bool
read_vm(cbor_reader_t *reader, char vm[VM_NAME_MAX + 1])
{
    if (!read_token(reader, TOKEN_BYTES) || reader->data.len > VM_NAME_MAX ||
        memchr(reader->data.data, 0, reader->data.len) != NULL)
    {
        return false;
    }
    memcpy(vm, reader->data.data, reader->data.len);
    vm[reader->data.len] = '\0';
    return true;
}

/// Copies a text to the arena of the message. Fails if it contains a NUL byte.
static bool
read_text(cbor_reader_t *reader, control_message_t *message, size_t max_len,
          const char **text)
{
    if (!read_token(reader, TOKEN_BYTES) || reader->data.len > max_len ||
        memchr(reader->data.data, 0, reader->data.len) != NULL)
    {
        return false;
    }
    if (message->arena == NULL) {
        message->arena = g_string_chunk_new(256);
    }
    *text = g_string_chunk_insert_len(message->arena, reader->data.data,
                                      (gssize)reader->data.len);
    return true;
}

static bool
read_state(cbor_reader_t *reader, config_state_t *state)
{
    size_t count = 0;
    if (!read_array(reader, 2 + LIST_COUNT, 1, &count) || count != 1 ||
        !read_uint(reader, &state->digest) ||
        !read_bool(reader, &state->ready))
    {
        return false;
    }
    for (int i = 0; i < LIST_COUNT; i++) {
        if (!read_uint(reader, &state->revisions[i])) {
            return false;
        }
    }
    return true;
}

static bool
read_digests(cbor_reader_t *reader, control_message_t *message)
{
    size_t count = 0;
    if (!read_array(reader, 2, CONTROL_DIGESTS_MAX, &count)) {
        return false;
    }
    for (size_t i = 0; i < count; i++) {
        group_digest_t digest;
        if (!read_uint(reader, &digest.group) ||
            !read_uint(reader, &digest.digest)) {
            return false;
        }
        g_array_append_val(message->digests, digest);
    }
    return true;
}

static bool
read_buckets(cbor_reader_t *reader, control_message_t *message)
{
    size_t count = 0;
    if (!read_array(reader, 1, ITEM_BUCKETS, &count) || count != ITEM_BUCKETS)
    {
        return false;
    }
    for (int i = 0; i < ITEM_BUCKETS; i++) {
        if (!read_uint(reader, &message->buckets[i])) {
            return false;
        }
    }
    return true;
}

static bool
read_versions(cbor_reader_t *reader, control_message_t *message)
{
    size_t count = 0;
    if (!read_array(reader, 2, CONTROL_VERSIONS_MAX, &count)) {
        return false;
    }
    for (size_t i = 0; i < count; i++) {
        item_version_t item;
        if (!read_text(reader, message, ITEM_NAME_MAX, &item.name) ||
            !read_uint(reader, &item.version))
        {
            return false;
        }
        g_array_append_val(message->versions, item);
    }
    return true;
}

/// Reads items, whose values point into the encoded bytes.
static bool
read_items(cbor_reader_t *reader, control_message_t *message)
{
    size_t count = 0;
    if (!read_array(reader, 3, CONTROL_ITEMS_MAX, &count)) {
        return false;
    }
    for (size_t i = 0; i < count; i++) {
        config_item_t item;
        if (!read_text(reader, message, ITEM_NAME_MAX, &item.name) ||
            !read_uint(reader, &item.version) ||
            !read_token(reader, TOKEN_BYTES))
        {
            return false;
        }
        item.value = reader->data;
        g_array_append_val(message->items, item);
    }
    return true;
}

static bool
read_uint32(cbor_reader_t *reader, uint32_t *value)
{
    uint64_t number = 0;
    bool ok = read_uint(reader, &number) && number <= G_MAXINT32;
    *value = (uint32_t)number;
    return ok;
}

static bool
read_counts(cbor_reader_t *reader, control_message_t *message)
{
    size_t count = 0;
    if (!read_array(reader, 3, CONTROL_WORKSPACES_MAX, &count)) {
        return false;
    }
    for (size_t i = 0; i < count; i++) {
        usage_count_t usage;
        uint64_t spent = 0;
        if (!read_uint(reader, &usage.workspace) ||
            !read_uint32(reader, &usage.offered) ||
            !read_uint(reader, &spent) || spent > G_MAXINT32)
        {
            return false;
        }
        usage.spent = (int32_t)zigzag_decode(spent);
        g_array_append_val(message->counts, usage);
    }
    return true;
}

static bool
read_shares(cbor_reader_t *reader, control_message_t *message)
{
    size_t count = 0;
    if (!read_array(reader, 3, CONTROL_WORKSPACES_MAX, &count)) {
        return false;
    }
    for (size_t i = 0; i < count; i++) {
        usage_share_t share;
        if (!read_uint(reader, &share.workspace) ||
            !read_uint32(reader, &share.permille) ||
            share.permille > USAGE_ADMIT_ALL ||
            !read_uint32(reader, &share.refusal_factor) ||
            share.refusal_factor > USAGE_REFUSAL_MAX)
        {
            return false;
        }
        g_array_append_val(message->shares, share);
    }
    return true;
}

static bool
read_fields(cbor_reader_t *reader, control_message_t *message,
            unsigned int fields)
{
    return (!(fields & FIELD_REASON) ||
            read_text(reader, message, reader->len, &message->reason)) &&
           (!(fields & FIELD_ROOT) || read_vm(reader, message->root)) &&
           (!(fields & FIELD_STATE) || read_state(reader, &message->state)) &&
           (!(fields & FIELD_MUTUAL) || read_bool(reader, &message->mutual)) &&
           (!(fields & FIELD_GROUP) || read_uint(reader, &message->group)) &&
           (!(fields & FIELD_DIGESTS) || read_digests(reader, message)) &&
           (!(fields & FIELD_BUCKETS) || read_buckets(reader, message)) &&
           (!(fields & FIELD_VERSIONS) || read_versions(reader, message)) &&
           (!(fields & FIELD_ERA) || read_uint(reader, &message->point.era)) &&
           (!(fields & FIELD_REVISION) ||
            read_uint(reader, &message->point.revision)) &&
           (!(fields & FIELD_IS_SNAPSHOT) ||
            read_bool(reader, &message->is_snapshot)) &&
           (!(fields & FIELD_HAS_GAP) ||
            read_bool(reader, &message->has_gap)) &&
           (!(fields & FIELD_REMOVAL_GRACE) ||
            read_uint(reader, &message->removal_grace_ms)) &&
           (!(fields & FIELD_WEIGHT) ||
            read_uint32(reader, &message->weight)) &&
           (!(fields & FIELD_REFUSED) ||
            read_uint32(reader, &message->refused_permille)) &&
           (!(fields & FIELD_COUNTS) || read_counts(reader, message)) &&
           (!(fields & FIELD_SHARES) || read_shares(reader, message)) &&
           (!(fields & FIELD_ITEMS) || read_items(reader, message));
}

/// Decodes a message. Item values point into @p bytes, which must outlive
/// @p message. Unless the result is DECODE_OK, the message needs no
/// control_message_clear(). Sets @p version to the protocol version of the
/// message, 0 if it can't be read.
control_decode_result_t
control_decode(control_message_t *message, slice_t bytes, uint64_t *version)
{
    cbor_reader_t reader = {.bytes = (const unsigned char *)bytes.data,
                            .len = bytes.len};
    *version = 0;
    uint64_t type = 0;
    char sender[VM_NAME_MAX + 1];
    if (!read_token(&reader, TOKEN_ARRAY)) {
        return DECODE_INVALID;
    }
    uint64_t field_count = reader.argument;
    if (!read_uint(&reader, version)) {
        return DECODE_INVALID;
    }
    if (*version != CONTROL_PROTOCOL_VERSION) {
        return DECODE_UNKNOWN_VERSION;
    }
    if (!read_uint(&reader, &type) || type >= CONTROL_TYPE_COUNT ||
        !read_vm(&reader, sender))
    {
        return DECODE_INVALID;
    }
    unsigned int fields = type_infos[type].fields;
    control_message_init(message, (control_type_t)type, sender);
    if (field_count != 3 + (uint64_t)__builtin_popcount(fields) ||
        !read_fields(&reader, message, fields) ||
        reader.position != reader.len)
    {
        control_message_clear(message);
        return DECODE_INVALID;
    }
    return DECODE_OK;
}
