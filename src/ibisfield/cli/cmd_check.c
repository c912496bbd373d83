/// @file
/// Command "check": reads settings and contracts and lists every problem.

#include <inttypes.h>
#include <stdio.h>

#include "ibisfield/cli/commands.h"
#include "ibisfield/cli/input.h"
#include "ibisfield/contract/contract.h"
#include "ibisfield/contract/json_reader.h"
#include "ibisfield/contract/settings.h"
#include "platform/adapter.h"

typedef enum {
    DOCUMENT_BY_FIELDS, ///< told apart by the fields present
    DOCUMENT_SETTINGS,
    DOCUMENT_CONTRACT,
    DOCUMENT_STATE, ///< all contracts in one, as operators of the users'
                    ///< platform publish them
} document_t;

typedef struct {
    document_t document;
    GPtrArray *files;
} check_arguments_t;

static error_t
parse_check(int key, char *argument, struct argp_state *state)
{
    check_arguments_t *arguments = state->input;
    switch (key) {
    case 's':
        arguments->document = DOCUMENT_SETTINGS;
        return 0;
    case 'd':
        arguments->document = DOCUMENT_STATE;
        return 0;
    case 'c':
        arguments->document = DOCUMENT_CONTRACT;
        return 0;
    case ARGP_KEY_ARG:
        g_ptr_array_add(arguments->files, argument);
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

static document_t
document_by_fields(json_reader_t *reader)
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
    return DOCUMENT_BY_FIELDS;
}

/// Tells settings from a contract by fields that only one of them has. Adds
/// problems only if it can't; the parser reports the others.
static document_t
find_document(const char *file, slice_t text, GPtrArray *problems)
{
    GPtrArray *found = problems_new();
    json_reader_t reader;
    document_t document = DOCUMENT_BY_FIELDS;
    if (json_reader_open(&reader, file, text, found)) {
        document = document_by_fields(&reader);
        json_reader_close(&reader);
    }
    if (document == DOCUMENT_BY_FIELDS) {
        g_ptr_array_extend_and_steal(problems, found);
    }
    else {
        g_ptr_array_free(found, TRUE);
    }
    return document;
}

/// Reports a name that another contract of the same run holds already.
static void
check_unique(GHashTable *seen, const char *what, const char *name,
             const char *file, GPtrArray *problems)
{
    char *key = g_strdup_printf("%s %s", what, name);
    const char *holder = g_hash_table_lookup(seen, key);
    if (holder == NULL) {
        g_hash_table_insert(seen, key, (void *)file);
        return;
    }
    g_ptr_array_add(problems,
                    g_strdup_printf("%s: found %s, which %s has as well, "
                                    "expected different contracts to differ "
                                    "in it",
                                    file, key, holder));
    g_free(key);
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
    contract_finish(&contract);
}

static void
check_settings_file(const char *file, slice_t text, GPtrArray *problems)
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
check_state(const char *file, slice_t text, GPtrArray *problems)
{
    uint64_t version = 0;
    uint32_t customers = 0;
    if (platform_adapter.check_contracts(text, problems, &version, &customers))
    {
        printf("%s: valid desired state, version %" PRIu64 ", %u hosts\n",
               file, version, customers);
    }
}

/// @param seen  customers and hosts of the contracts checked before
static bool
check_file(const char *file, document_t document, GHashTable *seen)
{
    GPtrArray *problems = problems_new();
    size_t len = 0;
    char *data = json_load_file(file, &len, problems);
    slice_t text = {data, len};
    if (data != NULL && document == DOCUMENT_BY_FIELDS) {
        document = find_document(file, text, problems);
    }
    if (problems->len == 0 && document == DOCUMENT_CONTRACT) {
        check_contract(file, text, seen, problems);
    }
    else if (problems->len == 0 && document == DOCUMENT_STATE) {
        check_state(file, text, problems);
    }
    else if (problems->len == 0) {
        check_settings_file(file, text, problems);
    }
    g_free(data);
    return !problems_print_and_free(problems);
}

/// Checks every file named; exit code 2 if any has a problem.
int
command_check(int argc, char **argv)
{
    static const struct argp_option options[] = {
        {"settings", 's', NULL, 0, "Every FILE holds settings", 0},
        {"contract", 'c', NULL, 0, "Every FILE holds a contract", 0},
        {"desired-state", 'd', NULL, 0,
         "Every FILE holds a desired state of the users' platform", 0},
        {0},
    };
    static const struct argp argp = {
        .options = options,
        .parser = parse_check,
        .args_doc = "FILE...",
        .doc = "Check settings and contracts without running anything.\v"
               "Settings and contracts are told apart by their fields unless "
               "an option says which they are. Every problem is listed on "
               "standard error with file, line, field, what was found and "
               "what was expected. A node applies the same checks when it "
               "starts and when a contract is published. Contracts named "
               "together must also differ in customer and hosts. Exit code "
               "0: all "
               "valid, 2: at least one problem.",
    };
    check_arguments_t arguments = {DOCUMENT_BY_FIELDS, g_ptr_array_new()};
    parse_arguments(&argp, argc, argv, &arguments);
    GHashTable *seen =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    bool valid = true;
    for (guint i = 0; i < arguments.files->len; i++) {
        valid &=
            check_file(arguments.files->pdata[i], arguments.document, seen);
    }
    g_hash_table_destroy(seen);
    g_ptr_array_free(arguments.files, TRUE);
    return valid ? EXIT_CODE_OK : EXIT_CODE_BAD_INPUT;
}
