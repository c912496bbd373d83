/// @file
/// Text form of a node's /status document. Unknown fields are printed too, so
/// that an older program shows the whole document of a newer node.

#include "ibisfield/cli/status_text.h"

#include <stdbool.h>

static bool
is_container(struct json_object *value)
{
    return json_object_is_type(value, json_type_object) ||
           json_object_is_type(value, json_type_array);
}

/// Returns true if @p value is a scalar or contains only scalars.
static bool
is_flat(struct json_object *value)
{
    if (json_object_is_type(value, json_type_array)) {
        for (size_t i = 0; i < json_object_array_length(value); i++) {
            if (is_container(json_object_array_get_idx(value, i))) {
                return false;
            }
        }
    }
    if (json_object_is_type(value, json_type_object)) {
        json_object_object_foreach(value, key, member)
        {
            (void)key;
            if (is_container(member)) {
                return false;
            }
        }
    }
    return true;
}

/// Appends a scalar. Escapes control characters, so that text received from a
/// node can't control the terminal.
static void
append_scalar(struct json_object *value, GString *out)
{
    char *text = g_strescape(
        value == NULL ? "none" : json_object_get_string(value), "\"");
    g_string_append(out, text[0] == '\0' ? "none" : text);
    g_free(text);
}

/// Appends a value for which is_flat() holds, on one line.
static void
append_flat(struct json_object *value, GString *out)
{
    const char *separator = "";
    if (json_object_is_type(value, json_type_array)) {
        for (size_t i = 0; i < json_object_array_length(value); i++) {
            g_string_append(out, separator);
            append_scalar(json_object_array_get_idx(value, i), out);
            separator = ", ";
        }
    }
    else if (json_object_is_type(value, json_type_object)) {
        json_object_object_foreach(value, key, member)
        {
            g_string_append_printf(out, "%s%s=", separator, key);
            append_scalar(member, out);
            separator = "  ";
        }
    }
    else {
        append_scalar(value, out);
        return;
    }
    if (separator[0] == '\0') {
        g_string_append(out, "none");
    }
}

static void
append_array(struct json_object *array, int indent, GString *out)
{
    for (size_t i = 0; i < json_object_array_length(array); i++) {
        struct json_object *item = json_object_array_get_idx(array, i);
        g_string_append_printf(out, "%*s-", indent, "");
        if (is_flat(item)) {
            g_string_append_c(out, ' ');
            append_flat(item, out);
            g_string_append_c(out, '\n');
        }
        else {
            g_string_append_c(out, '\n');
            status_text_append(item, indent + 2, out);
        }
    }
}

/// Appends the members of a JSON object or the items of an array, on one or
/// more lines each.
void
status_text_append(struct json_object *status, int indent, GString *out)
{
    if (json_object_is_type(status, json_type_array)) {
        append_array(status, indent, out);
        return;
    }
    json_object_object_foreach(status, key, value)
    {
        g_string_append_printf(out, "%*s%s:", indent, "", key);
        if (is_flat(value)) {
            g_string_append_c(out, ' ');
            append_flat(value, out);
            g_string_append_c(out, '\n');
        }
        else {
            g_string_append_c(out, '\n');
            status_text_append(value, indent + 2, out);
        }
    }
}
