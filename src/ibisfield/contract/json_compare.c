/// @file
/// What differs between two versions of a configuration document. Entries of
/// lists are matched by their names, so an entry that moved is not shown as
/// two that changed. Access keys are counted and never shown.

#include "ibisfield/contract/json_compare.h"

#include <stdbool.h>
#include <string.h>

/// Fields whose values are secret.
static const char *const secret_fields[] = {"access_keys", "api_keys"};

static void compare_values(const char *path, struct json_object *before,
                           struct json_object *after, GPtrArray *differences);

static bool
is_secret(const char *name)
{
    for (size_t i = 0; i < G_N_ELEMENTS(secret_fields); i++) {
        if (strcmp(secret_fields[i], name) == 0) {
            return true;
        }
    }
    return false;
}

/// Returns a value as text. Of objects, and lists of them, only the size is
/// told, as there may be secret fields in them. The caller frees it.
static char *
describe_value(struct json_object *value)
{
    if (json_object_is_type(value, json_type_object)) {
        return g_strdup_printf("an object of %d fields",
                               json_object_object_length(value));
    }
    if (json_object_is_type(value, json_type_array) &&
        json_object_array_length(value) > 0 &&
        !json_object_is_type(json_object_array_get_idx(value, 0),
                             json_type_string))
    {
        return g_strdup_printf("a list of %zu",
                               json_object_array_length(value));
    }
    return g_strdup(json_object_to_json_string(value));
}

/// Adds the difference of one value. @p before or @p after may be the text
/// that stands for a value that isn't there.
static void
add_change(GPtrArray *differences, const char *path, const char *before,
           const char *after)
{
    g_ptr_array_add(differences,
                    g_strdup_printf("%s: %s -> %s", path, before, after));
}

/// Adds a field that only one of the documents has.
static void
add_field(GPtrArray *differences, const char *path, const char *name,
          struct json_object *value, bool added)
{
    char *text = is_secret(name) ? g_strdup("set") : describe_value(value);
    add_change(differences, path, added ? "none" : text,
               added ? text : "none");
    g_free(text);
}

/// Returns the name of a list's entry, with its host if it has one, since
/// names are unique within a host; NULL if it has no name. The caller frees
/// it.
static char *
entry_name(struct json_object *entry)
{
    struct json_object *name = NULL;
    struct json_object *host = NULL;
    if (!json_object_is_type(entry, json_type_object) ||
        !json_object_object_get_ex(entry, "name", &name) ||
        !json_object_is_type(name, json_type_string))
    {
        return NULL;
    }
    bool has_host = json_object_object_get_ex(entry, "host", &host) &&
                    json_object_is_type(host, json_type_string);
    return g_strdup_printf("%s%s%s", json_object_get_string(name),
                           has_host ? "@" : "",
                           has_host ? json_object_get_string(host) : "");
}

/// Maps the names of a list's entries to the entries, and lists them in order
/// in @p names. Returns NULL if an entry has no name, or that of another one.
static GHashTable *
index_entries(struct json_object *list, GPtrArray *names)
{
    GHashTable *entries =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (size_t i = 0; i < json_object_array_length(list); i++) {
        struct json_object *entry = json_object_array_get_idx(list, i);
        char *name = entry_name(entry);
        if (name == NULL || g_hash_table_contains(entries, name)) {
            g_free(name);
            g_hash_table_destroy(entries);
            return NULL;
        }
        g_hash_table_insert(entries, name, entry);
        g_ptr_array_add(names, name);
    }
    return entries;
}

/// Returns whether the names that both lists have are in the same order.
static bool
has_same_order(const GPtrArray *names_before, GHashTable *before,
               const GPtrArray *names_after, GHashTable *after)
{
    guint next = 0;
    for (guint i = 0; i < names_after->len; i++) {
        const char *name = names_after->pdata[i];
        if (!g_hash_table_contains(before, name)) {
            continue;
        }
        while (!g_hash_table_contains(after, names_before->pdata[next])) {
            next++;
        }
        if (strcmp(names_before->pdata[next++], name) != 0) {
            return false;
        }
    }
    return true;
}

static void
compare_entries(const char *path, const GPtrArray *names_before,
                GHashTable *before, const GPtrArray *names_after,
                GHashTable *after, GPtrArray *differences)
{
    for (guint i = 0; i < names_before->len; i++) {
        const char *name = names_before->pdata[i];
        if (!g_hash_table_contains(after, name)) {
            g_ptr_array_add(differences,
                            g_strdup_printf("%s[%s]: removed", path, name));
        }
    }
    for (guint i = 0; i < names_after->len; i++) {
        const char *name = names_after->pdata[i];
        if (!g_hash_table_contains(before, name)) {
            g_ptr_array_add(differences,
                            g_strdup_printf("%s[%s]: added", path, name));
            continue;
        }
        char *entry_path = g_strdup_printf("%s[%s]", path, name);
        compare_values(entry_path, g_hash_table_lookup(before, name),
                       g_hash_table_lookup(after, name), differences);
        g_free(entry_path);
    }
    if (!has_same_order(names_before, before, names_after, after)) {
        g_ptr_array_add(
            differences,
            g_strdup_printf("%s: the order of entries that stay changed",
                            path));
    }
}

/// Compares lists of named entries. Returns false if they aren't such lists.
static bool
compare_lists(const char *path, struct json_object *before,
              struct json_object *after, GPtrArray *differences)
{
    GPtrArray *names_before = g_ptr_array_new();
    GPtrArray *names_after = g_ptr_array_new();
    GHashTable *entries_before = index_entries(before, names_before);
    GHashTable *entries_after = index_entries(after, names_after);
    bool named = entries_before != NULL && entries_after != NULL;
    if (named) {
        compare_entries(path, names_before, entries_before, names_after,
                        entries_after, differences);
    }
    g_clear_pointer(&entries_before, g_hash_table_destroy);
    g_clear_pointer(&entries_after, g_hash_table_destroy);
    g_ptr_array_free(names_before, TRUE);
    g_ptr_array_free(names_after, TRUE);
    return named;
}

/// Returns how many values of @p list the list @p other doesn't hold.
static size_t
count_missing(struct json_object *list, struct json_object *other)
{
    size_t missing = 0;
    for (size_t i = 0; i < json_object_array_length(list); i++) {
        struct json_object *value = json_object_array_get_idx(list, i);
        bool found = false;
        for (size_t j = 0; !found && j < json_object_array_length(other); j++)
        {
            found =
                json_object_equal(value, json_object_array_get_idx(other, j));
        }
        missing += found ? 0 : 1;
    }
    return missing;
}

static void
compare_secrets(const char *path, struct json_object *before,
                struct json_object *after, GPtrArray *differences)
{
    if (json_object_is_type(before, json_type_array) &&
        json_object_is_type(after, json_type_array))
    {
        g_ptr_array_add(differences,
                        g_strdup_printf("%s: %zu added, %zu removed", path,
                                        count_missing(after, before),
                                        count_missing(before, after)));
        return;
    }
    g_ptr_array_add(differences, g_strdup_printf("%s: changed", path));
}

static void
compare_fields(const char *path, struct json_object *before,
               struct json_object *after, GPtrArray *differences)
{
    const char *separator = *path == '\0' ? "" : ".";
    json_object_object_foreach(before, old_name, old_value)
    {
        if (!json_object_object_get_ex(after, old_name, NULL)) {
            char *field_path =
                g_strdup_printf("%s%s%s", path, separator, old_name);
            add_field(differences, field_path, old_name, old_value, false);
            g_free(field_path);
        }
    }
    json_object_object_foreach(after, name, value)
    {
        char *field_path = g_strdup_printf("%s%s%s", path, separator, name);
        struct json_object *old = NULL;
        if (!json_object_object_get_ex(before, name, &old)) {
            add_field(differences, field_path, name, value, true);
        }
        else if (!is_secret(name)) {
            compare_values(field_path, old, value, differences);
        }
        else if (!json_object_equal(old, value)) {
            compare_secrets(field_path, old, value, differences);
        }
        g_free(field_path);
    }
}

static void
compare_values(const char *path, struct json_object *before,
               struct json_object *after, GPtrArray *differences)
{
    enum json_type type = json_object_get_type(after);
    bool same_type = json_object_is_type(before, type);
    if (json_object_equal(before, after)) {
        return;
    }
    if (same_type && type == json_type_object) {
        compare_fields(path, before, after, differences);
        return;
    }
    if (same_type && type == json_type_array &&
        compare_lists(path, before, after, differences))
    {
        return;
    }
    char *before_text = describe_value(before);
    char *after_text = describe_value(after);
    add_change(differences, path, before_text, after_text);
    g_free(before_text);
    g_free(after_text);
}

/// Adds a line for each difference between two documents to @p differences
/// (owned texts): the path of the value, then what it was and is. Nothing is
/// added for a field that only moved within its object.
void
json_compare(struct json_object *before, struct json_object *after,
             GPtrArray *differences)
{
    compare_values("", before, after, differences);
}
