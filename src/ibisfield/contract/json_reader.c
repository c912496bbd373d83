/// @file
/// Strict, typed reader of JSON with comments. Comments are replaced by spaces
/// before json-c parses the text, so that its strict mode can be used and its
/// offsets stay valid. A second scan of the accepted text finds what json-c
/// does not report: the line of each field, and duplicate keys.

#include "ibisfield/contract/json_reader.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

/// Nesting that json-c's tokener accepts. Settings nest 2 levels deep and
/// contracts 3.
#define DEPTH_MAX 8
/// Bytes of an invalid value that a message quotes.
#define FOUND_MAX_BYTES 60

static void
add_problem(json_reader_t *reader, char *text)
{
    reader->problem_count++;
    if (reader->problem_count <= JSON_PROBLEMS_MAX) {
        g_ptr_array_add(reader->problems, text);
        return;
    }
    g_free(text);
    if (reader->problem_count == JSON_PROBLEMS_MAX + 1) {
        g_ptr_array_add(reader->problems,
                        g_strdup_printf("%s: more than %d problems, the rest "
                                        "is not listed",
                                        reader->file, JSON_PROBLEMS_MAX));
    }
}

static void
add_position_problem(json_reader_t *reader, const char *text, size_t offset,
                     const char *message)
{
    unsigned int line = 1;
    size_t line_start = 0;
    for (size_t i = 0; i < offset; i++) {
        if (text[i] == '\n') {
            line++;
            line_start = i + 1;
        }
    }
    add_problem(reader, g_strdup_printf("%s:%u:%zu: %s", reader->file, line,
                                        offset - line_start + 1, message));
}

static unsigned int
line_of(const json_reader_t *reader, const char *field_path)
{
    return GPOINTER_TO_UINT(g_hash_table_lookup(reader->lines, field_path));
}

/// Adds a problem with the field at @p field_path ("" for the whole object).
void
json_add_problem(json_reader_t *reader, const char *field_path,
                 const char *format, ...)
{
    va_list arguments;
    va_start(arguments, format);
    char *message = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    add_problem(reader,
                g_strdup_printf("%s:%u: %s%s%s", reader->file,
                                line_of(reader, field_path), field_path,
                                field_path[0] == '\0' ? "" : ": ", message));
    g_free(message);
}

/// Adds a problem that quotes the value found.
void
json_add_invalid_value(json_reader_t *reader, const char *field_path,
                       struct json_object *found, const char *expected)
{
    const char *text =
        json_object_to_json_string_ext(found, JSON_C_TO_STRING_PLAIN);
    size_t len = strlen(text);
    const char *end = text + len;
    if (len > FOUND_MAX_BYTES) {
        end = g_utf8_find_prev_char(text, text + FOUND_MAX_BYTES);
    }
    json_add_problem(reader, field_path, "found %.*s%s, expected %s",
                     end == NULL ? 0 : (int)(end - text), text,
                     len > FOUND_MAX_BYTES ? "..." : "", expected);
}

/// Replaces comments by spaces. Returns false after reporting an unterminated
/// comment.
static bool
blank_comments(json_reader_t *reader, char *text, size_t len)
{
    size_t i = 0;
    while (i < len) {
        if (text[i] == '"') {
            for (i++; i < len && text[i] != '"'; i++) {
                i += text[i] == '\\' ? 1 : 0;
            }
            i++;
        }
        else if (text[i] == '/' && i + 1 < len && text[i + 1] == '/') {
            for (; i < len && text[i] != '\n'; i++) {
                text[i] = ' ';
            }
        }
        else if (text[i] == '/' && i + 1 < len && text[i + 1] == '*') {
            const char *end =
                g_strstr_len(text + i + 2, (gssize)(len - i - 2), "*/");
            if (end == NULL) {
                add_position_problem(reader, text, i,
                                     "found an unterminated comment, expected "
                                     "\"*/\"");
                return false;
            }
            for (size_t stop = (size_t)(end - text) + 2; i < stop; i++) {
                text[i] = text[i] == '\n' ? '\n' : ' ';
            }
        }
        else {
            i++;
        }
    }
    return true;
}

/// Position in a text that json-c has accepted.
typedef struct {
    json_reader_t *reader;
    const char *at;
    const char *end;
    unsigned int line;
} scan_t;

static void
scan_space(scan_t *scan)
{
    for (; scan->at < scan->end && g_ascii_isspace(*scan->at); scan->at++) {
        scan->line += *scan->at == '\n' ? 1 : 0;
    }
}

static bool
scan_char(scan_t *scan, char c)
{
    scan_space(scan);
    if (scan->at >= scan->end || *scan->at != c) {
        return false;
    }
    scan->at++;
    return true;
}

/// Skips a string, whose opening quote is next, and returns it with its
/// quotes.
static slice_t
scan_string(scan_t *scan)
{
    const char *start = scan->at;
    for (scan->at++; scan->at < scan->end && *scan->at != '"'; scan->at++) {
        scan->line += *scan->at == '\n' ? 1 : 0;
        scan->at += *scan->at == '\\' ? 1 : 0;
    }
    scan->at = scan->at < scan->end ? scan->at + 1 : scan->end;
    return (slice_t){start, (size_t)(scan->at - start)};
}

static void
scan_scalar(scan_t *scan)
{
    while (scan->at < scan->end && strchr(",]}", *scan->at) == NULL &&
           !g_ascii_isspace(*scan->at))
    {
        scan->at++;
    }
}

/// Decodes a quoted key, so that two spellings of one key ("a" and "\u0061")
/// compare equal, and escapes it for messages.
static char *
key_text(slice_t quoted)
{
    struct json_tokener *tokener = json_tokener_new();
    struct json_object *key =
        json_tokener_parse_ex(tokener, quoted.data, (int)quoted.len);
    char *text =
        g_strescape(key == NULL ? "" : json_object_get_string(key), NULL);
    json_object_put(key);
    json_tokener_free(tokener);
    return text;
}

static void scan_value(scan_t *scan, const char *field_path);

static void
scan_member(scan_t *scan, const char *field_path, GHashTable *seen)
{
    char *key = key_text(scan_string(scan));
    char *child = field_path[0] == '\0'
                      ? g_strdup(key)
                      : g_strconcat(field_path, ".", key, NULL);
    unsigned int first = GPOINTER_TO_UINT(g_hash_table_lookup(seen, key));
    if (first != 0) {
        add_problem(scan->reader,
                    g_strdup_printf("%s:%u: %s: found the key again, expected "
                                    "it once (first at line %u)",
                                    scan->reader->file, scan->line, child,
                                    first));
        g_free(key);
    }
    else {
        g_hash_table_insert(seen, key, GUINT_TO_POINTER(scan->line));
    }
    if (scan_char(scan, ':')) {
        scan_value(scan, child);
    }
    g_free(child);
}

static void
scan_object(scan_t *scan, const char *field_path)
{
    GHashTable *seen =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    do {
        scan_space(scan);
        if (scan->at < scan->end && *scan->at == '"') {
            scan_member(scan, field_path, seen);
        }
    } while (scan_char(scan, ','));
    scan_char(scan, '}');
    g_hash_table_destroy(seen);
}

static void
scan_array(scan_t *scan, const char *field_path)
{
    unsigned int index = 0;
    do {
        char *child = g_strdup_printf("%s[%u]", field_path, index++);
        scan_value(scan, child);
        g_free(child);
    } while (scan_char(scan, ','));
    scan_char(scan, ']');
}

static void
scan_value(scan_t *scan, const char *field_path)
{
    scan_space(scan);
    if (scan->at >= scan->end) {
        return;
    }
    g_hash_table_insert(scan->reader->lines, g_strdup(field_path),
                        GUINT_TO_POINTER(scan->line));
    switch (*scan->at) {
    case '{':
        scan->at++;
        scan_object(scan, field_path);
        break;
    case '[':
        scan->at++;
        scan_array(scan, field_path);
        break;
    case '"':
        scan_string(scan);
        break;
    default:
        scan_scalar(scan);
        break;
    }
}

static bool
parse_text(json_reader_t *reader, const char *text, size_t len)
{
    struct json_tokener *tokener = json_tokener_new_ex(DEPTH_MAX);
    json_tokener_set_flags(tokener, JSON_TOKENER_STRICT);
    reader->root = json_tokener_parse_ex(tokener, text, (int)len);
    enum json_tokener_error error = json_tokener_get_error(tokener);
    size_t offset = json_tokener_get_parse_end(tokener);
    if (error == json_tokener_continue) {
        add_position_problem(reader, text, len,
                             "found the end of the text, expected the rest "
                             "of the JSON object");
    }
    else if (error != json_tokener_success) {
        char *message = g_strdup_printf("syntax error: %s",
                                        json_tokener_error_desc(error));
        add_position_problem(reader, text, offset, message);
        g_free(message);
    }
    json_tokener_free(tokener);
    return error == json_tokener_success;
}

static bool
check_size_and_encoding(json_reader_t *reader, slice_t text)
{
    if (text.len > JSON_TEXT_MAX_BYTES) {
        add_problem(reader, g_strdup_printf(
                                "%s: found %zu bytes, expected at most %d",
                                reader->file, text.len, JSON_TEXT_MAX_BYTES));
        return false;
    }
    const char *end = text.data;
    if (text.len > 0 && !g_utf8_validate(text.data, (gssize)text.len, &end)) {
        add_position_problem(reader, text.data, (size_t)(end - text.data),
                             "found a zero byte or invalid UTF-8, expected "
                             "UTF-8 text");
        return false;
    }
    return true;
}

/// Parses @p text, which must be one JSON object. Returns false after adding
/// at least one problem; the reader then needs no json_reader_close().
/// Duplicate keys are reported as problems but don't make the call fail.
bool
json_reader_open(json_reader_t *reader, const char *file, slice_t text,
                 GPtrArray *problems)
{
    *reader = (json_reader_t){.file = file, .problems = problems};
    if (!check_size_and_encoding(reader, text)) {
        return false;
    }
    reader->lines =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    char *copy = g_strndup(text.data == NULL ? "" : text.data, text.len);
    bool valid = blank_comments(reader, copy, text.len) &&
                 parse_text(reader, copy, text.len);
    if (valid) {
        scan_t scan = {reader, copy, copy + text.len, 1};
        scan_value(&scan, "");
        valid = json_object_is_type(reader->root, json_type_object);
        if (!valid) {
            json_add_invalid_value(reader, "", reader->root, "a JSON object");
        }
    }
    g_free(copy);
    if (!valid) {
        json_reader_close(reader);
    }
    return valid;
}

/// Releases what json_reader_open() allocated.
void
json_reader_close(json_reader_t *reader)
{
    json_object_put(reader->root);
    reader->root = NULL;
    g_hash_table_destroy(reader->lines);
    reader->lines = NULL;
}

static char *
child_path(const char *field_path, const char *key)
{
    char *escaped = g_strescape(key, NULL);
    char *child = field_path[0] == '\0'
                      ? g_strdup(escaped)
                      : g_strconcat(field_path, ".", escaped, NULL);
    g_free(escaped);
    return child;
}

static char *
expected_text(const json_field_t *field)
{
    return field->expected != NULL
               ? g_strdup(field->expected)
               : g_strdup_printf("an integer from %d to %d", field->min,
                                 field->max);
}

static const json_field_t *
find_field(const json_field_t *fields, size_t field_count, const char *name)
{
    for (size_t i = 0; i < field_count; i++) {
        if (strcmp(fields[i].name, name) == 0) {
            return &fields[i];
        }
    }
    return NULL;
}

/// Adds a problem for a required field that is missing.
void
json_add_missing_field(json_reader_t *reader, const char *field_path,
                       const json_field_t *field)
{
    char *expected = expected_text(field);
    json_add_problem(reader, field_path,
                     "the field \"%s\" is missing, expected %s", field->name,
                     expected);
    g_free(expected);
}

/// Reads the fields of @p object into the struct @p out. Unknown and missing
/// fields are problems; missing optional integers get their default, and the
/// members of other missing fields stay as they are.
void
json_read_fields(json_reader_t *reader, const char *field_path,
                 struct json_object *object, const json_field_t *fields,
                 size_t field_count, void *out)
{
    if (!json_object_is_type(object, json_type_object)) {
        json_add_invalid_value(reader, field_path, object, "a JSON object");
        return;
    }
    json_object_object_foreach(object, key, value)
    {
        const json_field_t *field = find_field(fields, field_count, key);
        char *child = child_path(field_path, key);
        if (field == NULL) {
            json_add_problem(reader, child, "unknown field");
        }
        else {
            field->read(reader, field, child, value, out);
        }
        g_free(child);
    }
    for (size_t i = 0; i < field_count; i++) {
        if (json_object_object_get_ex(object, fields[i].name, NULL)) {
            continue;
        }
        if (fields[i].required) {
            json_add_missing_field(reader, field_path, &fields[i]);
        }
        else if (fields[i].read == json_read_int) {
            memcpy((char *)out + fields[i].offset, &fields[i].default_value,
                   sizeof(int32_t));
        }
    }
}

/// Returns the value of a field, or NULL if there is none.
struct json_object *
json_get_field(struct json_object *object, const char *name)
{
    struct json_object *value = NULL;
    json_object_object_get_ex(object, name, &value);
    return value;
}

/// Returns the text of a JSON string, or NULL if @p value is not a string or
/// contains a zero byte.
const char *
json_string(struct json_object *value)
{
    if (!json_object_is_type(value, json_type_string)) {
        return NULL;
    }
    const char *text = json_object_get_string(value);
    return strlen(text) == (size_t)json_object_get_string_len(value) ? text
                                                                     : NULL;
}

/// Reads an integer from field->min to field->max into an int32_t.
void
json_read_int(json_reader_t *reader, const json_field_t *field,
              const char *field_path, struct json_object *value, void *out)
{
    int64_t number = json_object_get_int64(value);
    if (!json_object_is_type(value, json_type_int) || number < field->min ||
        number > field->max)
    {
        char *expected = expected_text(field);
        json_add_invalid_value(reader, field_path, value, expected);
        g_free(expected);
        return;
    }
    int32_t narrow = (int32_t)number;
    memcpy((char *)out + field->offset, &narrow, sizeof(narrow));
}

/// Reads a number from field->min to field->max into a double.
void
json_read_number(json_reader_t *reader, const json_field_t *field,
                 const char *field_path, struct json_object *value, void *out)
{
    double number = json_object_get_double(value);
    if ((!json_object_is_type(value, json_type_double) &&
         !json_object_is_type(value, json_type_int)) ||
        !(number >= field->min && number <= field->max))
    {
        json_add_invalid_value(reader, field_path, value, field->expected);
        return;
    }
    memcpy((char *)out + field->offset, &number, sizeof(number));
}

/// Reads a name: lower-case letters, digits and '-', which can't be the first
/// character. Names are parts of keys, item names and log lines, so they must
/// not contain separators.
void
json_read_name(json_reader_t *reader, const json_field_t *field,
               const char *field_path, struct json_object *value, void *out)
{
    const char *text = json_string(value);
    size_t valid = text == NULL ? 0
                                : strspn(text, "abcdefghijklmnopqrstuvwxyz"
                                               "0123456789-");
    if (text == NULL || valid == 0 || text[valid] != '\0' || text[0] == '-' ||
        valid >= field->size)
    {
        json_add_invalid_value(reader, field_path, value, field->expected);
        return;
    }
    memcpy((char *)out + field->offset, text, valid + 1);
}

/// Reads a file of at most JSON_TEXT_MAX_BYTES. Returns NULL after adding a
/// problem if it can't be read or is larger. The caller frees the text.
char *
json_load_file(const char *file, size_t *len, GPtrArray *problems)
{
    int fd = open(file, O_RDONLY | O_CLOEXEC | O_NONBLOCK);
    struct stat status;
    if (fd < 0 || fstat(fd, &status) != 0) {
        g_ptr_array_add(problems, g_strdup_printf("%s: can't be opened: %s",
                                                  file, g_strerror(errno)));
        if (fd >= 0) {
            close(fd);
        }
        return NULL;
    }
    if (!S_ISREG(status.st_mode)) {
        g_ptr_array_add(problems,
                        g_strdup_printf("%s: found a directory or a special "
                                        "file, expected a regular file",
                                        file));
        close(fd);
        return NULL;
    }
    // One byte more than the limit shows that the file is larger; another one
    // is for the terminating zero.
    char *text = g_malloc(JSON_TEXT_MAX_BYTES + 2);
    size_t total = 0;
    ssize_t read_len = 1;
    while (read_len > 0 && total <= JSON_TEXT_MAX_BYTES) {
        read_len = read(fd, text + total, JSON_TEXT_MAX_BYTES + 1 - total);
        total += read_len > 0 ? (size_t)read_len : 0;
    }
    int error = errno;
    close(fd);
    if (read_len < 0 || total > JSON_TEXT_MAX_BYTES) {
        char *problem = read_len < 0
                            ? g_strdup_printf("%s: can't be read: %s", file,
                                              g_strerror(error))
                            : g_strdup_printf("%s: found more than %d bytes, "
                                              "expected at most %d",
                                              file, JSON_TEXT_MAX_BYTES,
                                              JSON_TEXT_MAX_BYTES);
        g_ptr_array_add(problems, problem);
        g_free(text);
        return NULL;
    }
    text[total] = '\0';
    *len = total;
    return text;
}
