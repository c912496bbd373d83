/// @file
/// Compares the tables of the documentation with the code, in both directions:
/// settings, contract fields, log events, metrics, refusals and headers. Also
/// checks that the names of the code that the pages mention exist.

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "ibisfield/base/metrics.h"
#include "ibisfield/call/call_defs.h"
#include "ibisfield/contract/contract.h"
#include "ibisfield/contract/json_reader.h"
#include "ibisfield/contract/settings.h"

#include "common/suite.h"

#define CELLS_MAX 8
#define WORD_CHARACTERS G_CSET_A_2_Z G_CSET_a_2_z G_CSET_DIGITS "_"

/// Maps each name to the text of its other columns. Holds the names in the
/// code or the rows of the documentation.
typedef GHashTable name_table_t;

static name_table_t *
name_table_new(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

static void
name_table_add(name_table_t *table, const char *name, const char *text)
{
    g_hash_table_replace(table, g_strdup(name), g_strdup(text));
}

static char *
load_file(const char *path)
{
    char *full = g_strconcat(IBISFIELD_SOURCE_DIR "/", path, NULL);
    char *text = NULL;
    CU_ASSERT_TRUE_FATAL(g_file_get_contents(full, &text, NULL, NULL));
    g_free(full);
    return text;
}

/// Returns the text in the first pair of backticks of a table cell.
static char *
backtick_name(const char *cell)
{
    const char *start = strchr(cell, '`');
    const char *end = start == NULL ? NULL : strchr(start + 1, '`');
    return end == NULL ? NULL : g_strndup(start + 1, (gsize)(end - start - 1));
}

/// Adds a table row: the name in its first cell, and the cells of @p columns
/// joined by " | ".
static void
add_row(name_table_t *table, const char *line, const int *columns, int count)
{
    char **cells = g_strsplit(line, "|", CELLS_MAX);
    guint cell_count = g_strv_length(cells);
    char *name = cell_count > 1 ? backtick_name(cells[1]) : NULL;
    GString *text = g_string_new(NULL);
    for (int i = 0; i < count && columns[i] < (int)cell_count; i++) {
        g_string_append_printf(text, "%s%s", i == 0 ? "" : " | ",
                               g_strstrip(cells[columns[i]]));
    }
    if (name != NULL) {
        if (g_hash_table_contains(table, name)) {
            printf("\n%s is listed twice\n", name);
            CU_FAIL("row listed twice");
        }
        name_table_add(table, name, text->str);
    }
    g_free(name);
    g_string_free(text, TRUE);
    g_strfreev(cells);
}

/// Reads the tables between a heading of a page and the next "## " heading.
static name_table_t *
read_section(const char *page, const char *heading, const int *columns,
             int count)
{
    name_table_t *table = name_table_new();
    char *text = load_file(page);
    char **lines = g_strsplit(text, "\n", -1);
    bool inside = false;
    for (char **line = lines; *line != NULL; line++) {
        if (g_str_has_prefix(*line, "## ")) {
            inside = strcmp(*line + 3, heading) == 0;
        }
        else if (inside && g_str_has_prefix(*line, "| `")) {
            add_row(table, *line, columns, count);
        }
    }
    g_strfreev(lines);
    g_free(text);
    return table;
}

/// Compares two tables in both directions and prints every difference. Fails
/// once, however many there are.
static void
assert_tables_equal(name_table_t *code, name_table_t *docs, const char *page)
{
    bool equal = true;
    GHashTableIter iter;
    void *name = NULL;
    void *text = NULL;
    g_hash_table_iter_init(&iter, code);
    while (g_hash_table_iter_next(&iter, &name, &text)) {
        const char *documented = g_hash_table_lookup(docs, name);
        if (documented == NULL || strcmp(documented, text) != 0) {
            printf("\n%s: `%s`: found \"%s\", expected \"%s\"", page,
                   (const char *)name,
                   documented == NULL ? "no row" : documented,
                   (const char *)text);
            equal = false;
        }
    }
    g_hash_table_iter_init(&iter, docs);
    while (g_hash_table_iter_next(&iter, &name, NULL)) {
        if (!g_hash_table_contains(code, name)) {
            printf("\n%s: `%s` is not in the code", page, (const char *)name);
            equal = false;
        }
    }
    CU_ASSERT_TRUE(equal);
    CU_ASSERT_TRUE(g_hash_table_size(code) > 0);
    g_hash_table_destroy(code);
    g_hash_table_destroy(docs);
}

/// Adds fields with their range and default, such as "1 to 10 | required".
static void
add_fields(name_table_t *table, const json_field_t *fields, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        const json_field_t *field = &fields[i];
        char *range = field->read == json_read_int
                          ? g_strdup_printf("%d to %d", field->min, field->max)
                          : g_strdup("text");
        char *default_text = field->required ? g_strdup("required")
                             : field->read == json_read_int
                                 ? g_strdup_printf("%d", field->default_value)
                                 : g_strdup("optional");
        char *text = g_strconcat(range, " | ", default_text, NULL);
        name_table_add(table, field->name, text);
        g_free(text);
        g_free(default_text);
        g_free(range);
    }
}

static const int range_and_default[] = {2, 3};
static const int second_column[] = {2};

/// Guards against undocumented settings, and against ranges or defaults that
/// differ from the documented ones.
static void
test_settings_are_documented(void)
{
    size_t count = 0;
    const json_field_t *fields = settings_field_list(&count);
    name_table_t *code = name_table_new();
    add_fields(code, fields, count);
    assert_tables_equal(
        code,
        read_section("docs/OPERATIONS.md", "Settings", range_and_default, 2),
        "docs/OPERATIONS.md");
}

/// Like test_settings_are_documented(), for the fields of a contract and of
/// its kinds.
static void
test_contract_fields_are_documented(void)
{
    size_t count = 0;
    const json_field_t *fields = contract_field_list(&count);
    name_table_t *code = name_table_new();
    add_fields(code, fields, count);
    assert_tables_equal(code,
                        read_section("docs/contracts.md",
                                     "Fields of a contract", range_and_default,
                                     2),
                        "docs/contracts.md");
    fields = workspace_field_list(&count);
    code = name_table_new();
    add_fields(code, fields, count);
    assert_tables_equal(code,
                        read_section("docs/contracts.md",
                                     "Fields of a workspace",
                                     range_and_default, 2),
                        "docs/contracts.md");
    fields = kind_field_list(&count);
    code = name_table_new();
    add_fields(code, fields, count);
    assert_tables_equal(code,
                        read_section("docs/contracts.md", "Fields of a kind",
                                     range_and_default, 2),
                        "docs/contracts.md");
}

typedef void (*file_visitor_t)(name_table_t *table, const char *path,
                               const char *text);

static bool
is_source(const char *path)
{
    return g_str_has_suffix(path, ".c") || g_str_has_suffix(path, ".h");
}

static bool
is_page(const char *path)
{
    return g_str_has_suffix(path, ".md");
}

/// Calls @p visit for each file in a directory and its subdirectories that
/// @p is_wanted accepts.
static void
visit_files(const char *directory, bool (*is_wanted)(const char *path),
            file_visitor_t visit, name_table_t *table)
{
    char *full = g_strconcat(IBISFIELD_SOURCE_DIR "/", directory, NULL);
    GDir *dir = g_dir_open(full, 0, NULL);
    CU_ASSERT_PTR_NOT_NULL_FATAL(dir);
    const char *entry = NULL;
    while ((entry = g_dir_read_name(dir)) != NULL) {
        char *path = g_strconcat(directory, "/", entry, NULL);
        char *file = g_strconcat(IBISFIELD_SOURCE_DIR "/", path, NULL);
        if (g_file_test(file, G_FILE_TEST_IS_DIR)) {
            visit_files(path, is_wanted, visit, table);
        }
        else if (is_wanted(path)) {
            char *text = load_file(path);
            visit(table, path, text);
            g_free(text);
        }
        g_free(file);
        g_free(path);
    }
    g_dir_close(dir);
    g_free(full);
}

static void
visit_sources(const char *directory, file_visitor_t visit, name_table_t *table)
{
    visit_files(directory, is_source, visit, table);
}

/// Calls @p add for every match of @p pattern in @p text.
static void
for_each_match(const char *pattern, name_table_t *table, const char *path,
               const char *text,
               void (*add)(name_table_t *table, const char *path,
                           GMatchInfo *match))
{
    GRegex *regex = g_regex_new(pattern, G_REGEX_MULTILINE, 0, NULL);
    CU_ASSERT_PTR_NOT_NULL_FATAL(regex);
    GMatchInfo *match = NULL;
    g_regex_match(regex, text, 0, &match);
    while (g_match_info_matches(match)) {
        add(table, path, match);
        g_match_info_next(match, NULL);
    }
    g_match_info_free(match);
    g_regex_unref(regex);
}

/// Adds the event of a log call. An event may be logged at several levels.
static void
add_event(name_table_t *table, const char *path, GMatchInfo *match)
{
    char *level = g_match_info_fetch(match, 1);
    char *event = g_match_info_fetch(match, 2);
    if (event == NULL || event[0] == '\0') {
        printf("\n%s: log_%s without a literal event\n", path, level);
        CU_FAIL("log event is not a literal");
    }
    else {
        const char *known_levels = g_hash_table_lookup(table, event);
        if (known_levels == NULL) {
            name_table_add(table, event, level);
        }
        else if (strstr(known_levels, level) == NULL) {
            char *all_levels =
                strcmp(known_levels, level) < 0
                    ? g_strconcat(known_levels, ", ", level, NULL)
                    : g_strconcat(level, ", ", known_levels, NULL);
            name_table_add(table, event, all_levels);
            g_free(all_levels);
        }
    }
    g_free(event);
    g_free(level);
}

static void
find_events(name_table_t *table, const char *path, const char *text)
{
    if (strcmp(path, "src/ibisfield/base/log.h") != 0) {
        for_each_match("\\blog_(info|warning|debug)\\s*\\(\\s*"
                       "(?:\"([a-z0-9_]+)\")?",
                       table, path, text, add_event);
    }
}

/// Guards against undocumented log events.
static void
test_log_events_are_documented(void)
{
    name_table_t *code = name_table_new();
    visit_sources("src", find_events, code);
    visit_sources("platform", find_events, code);
    assert_tables_equal(
        code,
        read_section("docs/OPERATIONS.md", "Log events", second_column, 1),
        "docs/OPERATIONS.md");
}

/// Guards against undocumented metrics, and against types that differ from the
/// documented ones.
static void
test_metrics_are_documented(void)
{
    GString *text = g_string_new(NULL);
    metrics_write_text(text);
    name_table_t *code = name_table_new();
    for (int i = 0; i < METRIC_COUNT; i++) {
        char *line = g_strdup_printf("# TYPE %s counter\n", metric_name(i));
        name_table_add(code, metric_name(i),
                       strstr(text->str, line) != NULL ? "counter" : "gauge");
        g_free(line);
    }
    for (int i = 0; i < HISTOGRAM_COUNT; i++) {
        name_table_add(code, histogram_name(i), "histogram");
    }
    g_string_free(text, TRUE);
    assert_tables_equal(
        code, read_section("docs/OPERATIONS.md", "Metrics", second_column, 1),
        "docs/OPERATIONS.md");
}

/// Guards against undocumented reasons of refusals, and against HTTP statuses
/// that differ from the documented ones.
static void
test_refusals_are_documented(void)
{
    static const struct {
        const char *token;
        int status;
    } reasons[] = {
#define REASON_ROW(id, token, status) {token, status},
        REASON_LIST(REASON_ROW)
#undef REASON_ROW
    };
    name_table_t *code = name_table_new();
    for (size_t i = 0; i < G_N_ELEMENTS(reasons); i++) {
        char *status = g_strdup_printf("%d", reasons[i].status);
        if (reasons[i].token[0] != '\0') {
            name_table_add(code, reasons[i].token, status);
        }
        g_free(status);
    }
    assert_tables_equal(
        code, read_section("docs/callers.md", "Refusals", second_column, 1),
        "docs/callers.md");
}

static void
add_header(name_table_t *table, const char *path, GMatchInfo *match)
{
    (void)path;
    char *name = g_match_info_fetch(match, 1);
    name_table_add(table, name, "");
    g_free(name);
}

static void
find_headers(name_table_t *table, const char *path, const char *text)
{
    if (strstr(path, "/cli/") == NULL) {
        for_each_match("\"(ibisfield-[a-z-]+)[:\"]", table, path, text,
                       add_header);
    }
}

/// Guards against undocumented headers.
static void
test_headers_are_documented(void)
{
    name_table_t *code = name_table_new();
    visit_sources("src", find_headers, code);
    assert_tables_equal(code,
                        read_section("docs/callers.md", "Headers", NULL, 0),
                        "docs/callers.md");
}

static void
find_time_of_day(name_table_t *table, const char *path, const char *text)
{
    static const char *const calls[] = {
        "CLOCK_REALTIME",  "gettimeofday",
        "g_get_real_time", "g_date_time_new_now",
        " time(NULL)",     "localtime",
        "gmtime",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(calls); i++) {
        if (strstr(text, calls[i]) != NULL) {
            name_table_add(table, path, calls[i]);
        }
    }
}

/// Guards against decisions by the time of day, which may jump: only log lines
/// use it.
static void
test_only_logs_use_the_time_of_day(void)
{
    name_table_t *code = name_table_new();
    visit_sources("src", find_time_of_day, code);
    visit_sources("platform", find_time_of_day, code);
    CU_ASSERT_EQUAL(g_hash_table_size(code), 1);
    CU_ASSERT_TRUE(g_hash_table_contains(code, "src/ibisfield/base/log.c"));
    g_hash_table_destroy(code);
}

/// Adds the names of a source file: its path with and without each leading
/// directory. For a test program also its name, and the wildcards that match
/// it, such as test_entry_* for test_entry_throttle.
static void
add_file_names(name_table_t *table, const char *path)
{
    for (const char *name = path; name != NULL;) {
        name_table_add(table, name, "");
        name = strchr(name, '/');
        name = name == NULL ? NULL : name + 1;
    }
    char *program = g_path_get_basename(path);
    program[strlen(program) - strlen(".c")] = '\0';
    if (g_str_has_prefix(program, "test_")) {
        name_table_add(table, program, "");
        for (char *end = strchr(program, '_'); end != NULL;
             end = strchr(end + 1, '_')) {
            char *wildcard =
                g_strdup_printf("%.*s*", (int)(end + 1 - program), program);
            name_table_add(table, wildcard, "");
            g_free(wildcard);
        }
    }
    if (g_str_has_prefix(path, "test/functional/test_")) {
        char *name = g_strconcat("functional_", program, NULL);
        name_table_add(table, name, "");
        g_free(name);
    }
    g_free(program);
}

/// Adds the names of a source file and every word in it.
static void
find_names(name_table_t *table, const char *path, const char *text)
{
    add_file_names(table, path);
    const char *start = text + strcspn(text, WORD_CHARACTERS);
    while (*start != '\0') {
        size_t len = strspn(start, WORD_CHARACTERS);
        char *word = g_strndup(start, len);
        if (!g_hash_table_contains(table, word)) {
            name_table_add(table, word, "");
        }
        g_free(word);
        start += len;
        start += strcspn(start, WORD_CHARACTERS);
    }
}

/// Fails the test if a name in the page isn't in @p table. @p place is the
/// page and the line.
static void
check_mentioned_name(name_table_t *table, const char *place, GMatchInfo *match)
{
    char *name = g_match_info_fetch(match, 0);
    if (!g_hash_table_contains(table, name)) {
        printf("\n%s: `%s` is not in the code", place, name);
        CU_FAIL("name is not in the code");
    }
    g_free(name);
}

/// Checks the names between backticks: source files, functions with their
/// parentheses, constants in capitals with an underscore and test programs.
/// What follows a placeholder, as in "<name>.c", is not a name.
static void
check_page(name_table_t *table, const char *path, const char *text)
{
    char **parts = g_strsplit(text, "`", -1);
    int line = 1;
    for (guint i = 0; parts[i] != NULL; i++) {
        if (i % 2 == 1) {
            char *place = g_strdup_printf("%s:%d", path, line);
            for_each_match("(?<![\\w>])\\w[\\w./-]*\\.[ch]\\b"
                           "|\\b[A-Za-z_]\\w*(?=\\(\\))"
                           "|\\b[A-Z][A-Z0-9]*(?:_[A-Z0-9]+)+\\b"
                           "|\\b(?:functional_)?test_\\w+\\*?",
                           table, place, parts[i], check_mentioned_name);
            g_free(place);
        }
        for (const char *c = parts[i]; *c != '\0'; c++) {
            line += *c == '\n';
        }
    }
    if (g_strv_length(parts) % 2 == 0) {
        printf("\n%s: a backtick has no counterpart", path);
        CU_FAIL("unpaired backtick");
    }
    g_strfreev(parts);
}

/// Guards against pages that mention files, functions, constants or test
/// programs that were renamed or removed.
static void
test_mentioned_names_exist(void)
{
    name_table_t *names = name_table_new();
    visit_sources("src", find_names, names);
    visit_sources("platform", find_names, names);
    visit_sources("test", find_names, names);
    visit_sources("bench", find_names, names);
    visit_files("docs", is_page, check_page, names);
    char *readme = load_file("README.md");
    check_page(names, "README.md", readme);
    g_free(readme);
    g_hash_table_destroy(names);
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"settings", test_settings_are_documented},
        {"contract fields", test_contract_fields_are_documented},
        {"log events", test_log_events_are_documented},
        {"metrics", test_metrics_are_documented},
        {"refusals", test_refusals_are_documented},
        {"headers", test_headers_are_documented},
        {"time of day", test_only_logs_use_the_time_of_day},
        {"mentioned names", test_mentioned_names_exist},
        CU_TEST_INFO_NULL,
    };
    return run_suite("docs", tests);
}
