/// @file
/// Text form and authentication of idempotency keys.

#include "ibisfield/idempotency/idempotency_key.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>

static const char hex_digits[] = "0123456789abcdef";

static int
hex_value(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

/// Splits the last field off @p rest. The VM's name may contain dots, so the
/// fields are read from the end.
static bool
split_last_field(slice_t *rest, slice_t *field)
{
    size_t dot = rest->len;
    while (dot > 0 && rest->data[dot - 1] != '.') {
        dot--;
    }
    if (dot == 0) {
        return false;
    }
    *field = (slice_t){rest->data + dot, rest->len - dot};
    rest->len = dot - 1;
    return true;
}

static bool
parse_number(slice_t field, uint64_t *number)
{
    if (field.len == 0 || field.len > 16 ||
        (field.data[0] == '0' && field.len > 1))
    {
        return false;
    }
    *number = 0;
    for (size_t i = 0; i < field.len; i++) {
        int digit = hex_value(field.data[i]);
        if (digit < 0) {
            return false;
        }
        *number = (*number << 4) | (uint64_t)digit;
    }
    return true;
}

static bool
parse_tag(slice_t field, uint8_t tag[KEY_TAG_BYTES])
{
    if (field.len != 2 * (size_t)KEY_TAG_BYTES) {
        return false;
    }
    for (size_t i = 0; i < KEY_TAG_BYTES; i++) {
        int high = hex_value(field.data[2 * i]);
        int low = hex_value(field.data[2 * i + 1]);
        if (high < 0 || low < 0) {
            return false;
        }
        tag[i] = (uint8_t)(high * 16 + low);
    }
    return true;
}

static bool
parse_vm(slice_t field, char vm[VM_NAME_MAX + 1])
{
    if (field.len == 0 || field.len > VM_NAME_MAX) {
        return false;
    }
    for (size_t i = 0; i < field.len; i++) {
        char c = field.data[i];
        if (!g_ascii_isalnum(c) && c != '-' && c != '_' && c != '.') {
            return false;
        }
    }
    memcpy(vm, field.data, field.len);
    vm[field.len] = '\0';
    return true;
}

/// Parses the text of a key without verifying its tag. Returns false unless
/// @p text is in canonical form.
bool
idempotency_key_parse(idempotency_key_t *key, slice_t text)
{
    slice_t prefix = SLICE_LITERAL("ik1.");
    if (text.len > KEY_TEXT_MAX || !slice_starts_with(text, prefix)) {
        return false;
    }
    slice_t rest = {text.data + prefix.len, text.len - prefix.len};
    slice_t tag, sequence, expiry, incarnation;
    return split_last_field(&rest, &tag) && parse_tag(tag, key->tag) &&
           split_last_field(&rest, &sequence) &&
           parse_number(sequence, &key->sequence) &&
           split_last_field(&rest, &expiry) &&
           parse_number(expiry, &key->expiry_ms) &&
           split_last_field(&rest, &incarnation) &&
           parse_number(incarnation, &key->incarnation) &&
           parse_vm(rest, key->vm);
}

static int
format_fields(const idempotency_key_t *key, char text[KEY_TEXT_MAX + 1])
{
    return snprintf(text, KEY_TEXT_MAX + 1,
                    "ik1.%s.%" PRIx64 ".%" PRIx64 ".%" PRIx64, key->vm,
                    key->incarnation, key->expiry_ms, key->sequence);
}

/// Writes the canonical text of a key.
void
idempotency_key_format(const idempotency_key_t *key,
                       char text[KEY_TEXT_MAX + 1])
{
    char *end = text + format_fields(key, text);
    *end++ = '.';
    for (size_t i = 0; i < KEY_TAG_BYTES; i++) {
        *end++ = hex_digits[key->tag[i] >> 4];
        *end++ = hex_digits[key->tag[i] & 15];
    }
    *end = '\0';
}

static void
compute_tag(const idempotency_key_t *key, slice_t customer,
            const uint8_t secret[KEY_SECRET_BYTES], uint8_t tag[KEY_TAG_BYTES])
{
    char text[KEY_TEXT_MAX + 1];
    int len = format_fields(key, text);
    GHmac *hmac = g_hmac_new(G_CHECKSUM_SHA256, secret, KEY_SECRET_BYTES);
    // Includes the terminating zero byte, which separates key and customer.
    g_hmac_update(hmac, (const guchar *)text, len + 1);
    g_hmac_update(hmac, (const guchar *)customer.data, (gssize)customer.len);
    uint8_t digest[32];
    gsize digest_len = sizeof(digest);
    g_hmac_get_digest(hmac, digest, &digest_len);
    g_hmac_unref(hmac);
    memcpy(tag, digest, KEY_TAG_BYTES);
}

/// Sets the tag: an authentication code of the key's fields and @p customer.
void
idempotency_key_sign(idempotency_key_t *key, slice_t customer,
                     const uint8_t secret[KEY_SECRET_BYTES])
{
    compute_tag(key, customer, secret, key->tag);
}

/// Returns whether the key was signed with @p secret for @p customer. The tags
/// are compared in constant time.
bool
idempotency_key_verify(const idempotency_key_t *key, slice_t customer,
                       const uint8_t secret[KEY_SECRET_BYTES])
{
    uint8_t tag[KEY_TAG_BYTES];
    compute_tag(key, customer, secret, tag);
    uint8_t difference = 0;
    for (size_t i = 0; i < KEY_TAG_BYTES; i++) {
        difference |= (uint8_t)(tag[i] ^ key->tag[i]);
    }
    return difference == 0;
}
