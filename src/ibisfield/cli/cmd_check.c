/// @file
/// The "check" command: validates settings, contracts and desired states and
/// lists every problem.

#include <inttypes.h>
#include <stdio.h>

#include "ibisfield/cli/commands.h"
#include "ibisfield/cli/input.h"
#include "ibisfield/contract/contract.h"
#include "ibisfield/contract/contract_review.h"
#include "ibisfield/contract/json_compare.h"
#include "ibisfield/contract/json_reader.h"
#include "ibisfield/contract/settings.h"
#include "platform/adapter.h"

typedef enum {
    DOCUMENT_DETECT, ///< determine the type by the fields present
    DOCUMENT_SETTINGS,
    DOCUMENT_CONTRACT,
    DOCUMENT_DESIRED_STATE, ///< all contracts in one document, as operators
                            ///< publish them in the platform's store
} document_type_t;

typedef struct {
    document_type_t type;
    GPtrArray *files;
    const char *in_force; ///< file to compare with; NULL: none
} check_arguments_t;

static error_t
parse_check(int key, char *argument, struct argp_state *state)
{
    check_arguments_t *arguments = state->input;
    switch (key) {
    case 's':
        arguments->type = DOCUMENT_SETTINGS;
        return 0;
    case 'd':
        arguments->type = DOCUMENT_DESIRED_STATE;
        return 0;
    case 'c':
        arguments->type = DOCUMENT_CONTRACT;
        return 0;
    case 'a':
        arguments->in_force = argument;
        return 0;
    case ARGP_KEY_ARG:
        g_ptr_array_add(arguments->files, argument);
        return 0;
    case ARGP_KEY_END:
        if (arguments->in_force != NULL && arguments->files->len != 1) {
            argp_error(state, "--against takes one file to check");
        }
        return 0;
    case ARGP_KEY_NO_ARGS:
        argp_error(state, "the file to check is missing");
        return EINVAL;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static bool
has_field(struct json_object *object, const char *name)
{
    return json_object_object_get_ex(object, name, NULL);
}

/// Returns the type whose fields are present. Adds a problem and returns
/// DOCUMENT_DETECT if those of both types are, or of neither.
static document_type_t
match_fields(json_reader_t *reader)
{
    bool contract = has_field(reader->root, "customer") ||
                    has_field(reader->root, "kinds");
    bool settings = has_field(reader->root, "vm") ||
                    has_field(reader->root, "data_centre") ||
                    has_field(reader->root, "upstream");
    if (contract != settings) {
        return contract ? DOCUMENT_CONTRACT : DOCUMENT_SETTINGS;
    }
    json_add_problem(
        reader, "",
        "found %s, expected either a contract (customer, kinds) or "
        "settings (vm, data_centre, upstream)",
        contract ? "fields of both" : "fields of neither");
    return DOCUMENT_DETECT;
}

/// Determines whether a file holds settings or a contract, by fields that only
/// one of them has. Adds problems only if that fails, because the parser of
/// the type found reports all others. Returns DOCUMENT_DETECT on failure.
static document_type_t
detect_document_type(const char *file, slice_t text, GPtrArray *problems)
{
    GPtrArray *match_problems = problems_new();
    json_reader_t reader;
    document_type_t type = DOCUMENT_DETECT;
    if (json_reader_open(&reader, file, text, match_problems)) {
        type = match_fields(&reader);
        json_reader_close(&reader);
    }
    if (type == DOCUMENT_DETECT) {
        g_ptr_array_extend_and_steal(problems, match_problems);
    }
    else {
        g_ptr_array_free(match_problems, TRUE);
    }
    return type;
}

/// Adds a problem if a contract checked earlier in the same run declares the
/// same customer or host; otherwise records it in @p seen, which then owns the
/// text of the declaration.
static void
check_unique(GHashTable *seen, const char *field, const char *name,
             const char *file, GPtrArray *problems)
{
    char *declaration = g_strdup_printf("%s %s", field, name);
    const char *first_file = g_hash_table_lookup(seen, declaration);
    if (first_file == NULL) {
        g_hash_table_insert(seen, declaration, (void *)file);
        return;
    }
    g_ptr_array_add(problems,
                    g_strdup_printf("%s: found %s, which %s also declares, "
                                    "expected it in one contract only",
                                    file, declaration, first_file));
    g_free(declaration);
}

/// Prints what nodes would take and can't be meant.
static void
print_notes_and_free(const char *file, GPtrArray *notes)
{
    for (guint i = 0; i < notes->len; i++) {
        printf("%s: note: %s\n", file, (char *)notes->pdata[i]);
    }
    g_ptr_array_free(notes, TRUE);
}

static void
check_contract(const char *file, slice_t text, GHashTable *seen,
               GPtrArray *problems)
{
    contract_t contract;
    if (!contract_parse(&contract, file, text, problems)) {
        return;
    }
    check_unique(seen, "customer", contract.customer, file, problems);
    for (uint32_t i = 0; i < contract.host_count; i++) {
        check_unique(seen, "host", contract.hosts[i], file, problems);
    }
    printf("%s: valid contract of customer %s, %u kinds\n", file,
           contract.customer, contract.kind_count);
    GPtrArray *notes = g_ptr_array_new_with_free_func(g_free);
    contract_review(&contract, contract.workspaces != NULL, notes);
    workspace_list_review(contract.workspaces, contract.workspace_count,
                          notes);
    print_notes_and_free(file, notes);
    contract_finish(&contract);
}

static void
check_settings(const char *file, slice_t text, GPtrArray *problems)
{
    settings_t settings;
    if (!settings_parse(&settings, file, text, problems)) {
        return;
    }
    printf("%s: valid settings of VM %s, service %s, data centre %s\n", file,
           settings.vm, settings.service, settings.data_centre);
    settings_finish(&settings);
}

static void
check_desired_state(const char *file, slice_t text, GPtrArray *problems)
{
    uint64_t version = 0;
    uint32_t host_count = 0;
    GPtrArray *notes = g_ptr_array_new_with_free_func(g_free);
    if (platform_adapter.check_desired_state(text, problems, notes, &version,
                                             &host_count))
    {
        printf("%s: valid desired state, version %" PRIu64 ", %u hosts\n",
               file, version, host_count);
    }
    print_notes_and_free(file, notes);
}

/// Checks one file and prints its problems. Returns whether it is valid.
/// @param seen  maps each customer and host of the contracts checked before to
///              the file that declares it
static bool
check_file(const char *file, document_type_t type, GHashTable *seen)
{
    GPtrArray *problems = problems_new();
    size_t len = 0;
    char *data = json_load_file(file, &len, problems);
    slice_t text = {data, len};
    if (data != NULL && type == DOCUMENT_DETECT) {
        type = detect_document_type(file, text, problems);
    }
    if (problems->len == 0 && type == DOCUMENT_CONTRACT) {
        check_contract(file, text, seen, problems);
    }
    else if (problems->len == 0 && type == DOCUMENT_DESIRED_STATE) {
        check_desired_state(file, text, problems);
    }
    else if (problems->len == 0) {
        // A file of unknown type has a problem already.
        check_settings(file, text, problems);
    }
    g_free(data);
    return !problems_print_and_free(problems);
}

/// Reports a version that nodes would ignore, as it isn't above the one in
/// force. Contracts have none; their versions are the store's.
static void
check_version(json_reader_t *after, struct json_object *before)
{
    struct json_object *old = json_get_field(before, "version");
    struct json_object *new = json_get_field(after->root, "version");
    if (json_object_is_type(old, json_type_int) &&
        json_object_is_type(new, json_type_int) &&
        json_object_get_int64(new) <= json_object_get_int64(old) &&
        !json_object_equal(before, after->root))
    {
        json_add_problem(after, "version",
                         "found %" PRId64 ", expected above %" PRId64
                         ", the version in force: nodes would ignore it",
                         json_object_get_int64(new),
                         json_object_get_int64(old));
    }
}

/// Prints what differs in @p file from the file @p in_force, which need not be
/// valid. Returns whether both could be read and a change would be taken.
static bool
compare_with_force(const char *file, const char *in_force)
{
    GPtrArray *problems = problems_new();
    GPtrArray *differences = g_ptr_array_new_with_free_func(g_free);
    size_t len = 0;
    size_t len_before = 0;
    char *data = json_load_file(file, &len, problems);
    char *data_before = json_load_file(in_force, &len_before, problems);
    json_reader_t after;
    json_reader_t before;
    if (data != NULL && data_before != NULL &&
        json_reader_open(&after, file, (slice_t){data, len}, problems))
    {
        if (json_reader_open(&before, in_force,
                             (slice_t){data_before, len_before}, problems))
        {
            json_compare(before.root, after.root, differences);
            check_version(&after, before.root);
            json_reader_close(&before);
        }
        json_reader_close(&after);
    }
    if (problems->len == 0) {
        printf("%s: %u differences from %s\n", file, differences->len,
               in_force);
    }
    for (guint i = 0; i < differences->len; i++) {
        printf("  %s\n", (char *)differences->pdata[i]);
    }
    g_ptr_array_free(differences, TRUE);
    g_free(data);
    g_free(data_before);
    return !problems_print_and_free(problems);
}

/// Validates every file given; returns exit code 2 if any has a problem.
int
command_check(int argc, char **argv)
{
    static const struct argp_option options[] = {
        {"settings", 's', NULL, 0, "Every FILE holds settings", 0},
        {"contract", 'c', NULL, 0, "Every FILE holds a contract", 0},
        {"desired-state", 'd', NULL, 0,
         "Every FILE holds a desired state of the platform", 0},
        {"against", 'a', "FILE", 0,
         "Show what differs from this file, the one in force", 0},
        {0},
    };
    static const struct argp argp = {
        .options = options,
        .parser = parse_check,
        .args_doc = "FILE...",
        .doc = "Check settings and contracts without starting a node.\v"
               "The fields of a file tell whether it holds settings or a "
               "contract, unless an option does. Every problem is listed "
               "on standard error with file, line, field, what was found and "
               "what was expected. A node applies the same checks when it "
               "starts and when a contract is published. Contracts checked "
               "together must not share a customer or a host. With "
               "--against, what differs from the version in force is "
               "listed on standard output, without access keys. Lines with "
               "'note:' name what nodes would take and can't be meant: "
               "entries that never match, limits that contradict each other. "
               "Exit code "
               "0: all files are valid, 2: at least one problem.",
    };
    check_arguments_t arguments = {.files = g_ptr_array_new()};
    parse_arguments(&argp, argc, argv, &arguments);
    GHashTable *seen =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    bool valid = true;
    for (guint i = 0; i < arguments.files->len; i++) {
        valid &= check_file(arguments.files->pdata[i], arguments.type, seen);
    }
    if (valid && arguments.in_force != NULL) {
        valid =
            compare_with_force(arguments.files->pdata[0], arguments.in_force);
    }
    g_hash_table_destroy(seen);
    g_ptr_array_free(arguments.files, TRUE);
    return valid ? EXIT_CODE_OK : EXIT_CODE_BAD_INPUT;
}
