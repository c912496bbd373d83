#ifndef IBISFIELD_CONTRACT_JSON_READER_H
#define IBISFIELD_CONTRACT_JSON_READER_H

#include <glib.h>
#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ibisfield/base/slice.h"

/// Largest text that is accepted, 1 MB: the platform's limit for a value.
#define JSON_TEXT_MAX_BYTES 1048576
/// Problems listed for one text; more would flood logs and terminals.
#define JSON_PROBLEMS_MAX 100

/// A parsed text and the list to which its problems are added.
typedef struct {
    const char *file;         ///< name of the source in messages
    GPtrArray *problems;      ///< char *, one line each
    struct json_object *root; ///< always an object once opened
    GHashTable *lines;        ///< field path, with its keys escaped for
                              ///< messages, to line number
    uint32_t problem_count;   ///< of this text, including those not listed
} json_reader_t;

typedef struct json_field json_field_t;

/// Reads @p value into the member of @p out that @p field describes, or adds a
/// problem. @p field_path is the place of the value in the text, such as
/// "kinds[2].name".
typedef void (*json_read_t)(json_reader_t *reader, const json_field_t *field,
                            const char *field_path, struct json_object *value,
                            void *out);

/// One field of a JSON object and the struct member that receives it.
struct json_field {
    const char *name;
    json_read_t read;
    size_t offset;
    size_t size; ///< of the member; json_read_name only
    bool required;
    int32_t min; ///< of an integer or a number
    int32_t max;
    int32_t default_value; ///< of an optional integer
    const char *expected;  ///< for messages; NULL: composed of min and max
};

bool json_reader_open(json_reader_t *reader, const char *file, slice_t text,
                      GPtrArray *problems);
void json_reader_close(json_reader_t *reader);
void json_add_problem(json_reader_t *reader, const char *field_path,
                      const char *format, ...) G_GNUC_PRINTF(3, 4);
void json_add_invalid_value(json_reader_t *reader, const char *field_path,
                            struct json_object *found, const char *expected);
void json_read_fields(json_reader_t *reader, const char *field_path,
                      struct json_object *object, const json_field_t *fields,
                      size_t field_count, void *out);
void json_add_missing_field(json_reader_t *reader, const char *field_path,
                            const json_field_t *field);
struct json_object *json_get_field(struct json_object *object,
                                   const char *name);
const char *json_string(struct json_object *value);
void json_read_int(json_reader_t *reader, const json_field_t *field,
                   const char *field_path, struct json_object *value,
                   void *out);
void json_read_number(json_reader_t *reader, const json_field_t *field,
                      const char *field_path, struct json_object *value,
                      void *out);
void json_read_name(json_reader_t *reader, const json_field_t *field,
                    const char *field_path, struct json_object *value,
                    void *out);
char *json_load_file(const char *file, size_t *len, GPtrArray *problems);

#endif
