/// @file
/// Log lines of key=value pairs, one per event, written to standard output by
/// GLib's structured logging. A line that would block, because the reader of
/// the output is too slow, is dropped and counted, so that logging never
/// blocks the process.

#include "ibisfield/base/log.h"

#include <poll.h>
#include <stdbool.h>
#include <string.h>
#include <unistd.h>

#include "ibisfield/base/metrics.h"

/// Longest line, including the line feed; longer ones are truncated. A write
/// of at most this many bytes to a writable pipe doesn't block (PIPE_BUF).
#define LINE_MAX_BYTES 4096

/// GLib's levels are the higher the less severe they are.
static GLogLevelFlags least_severe_level = G_LOG_LEVEL_MESSAGE;

static const char *
level_name(GLogLevelFlags level)
{
    switch (level & G_LOG_LEVEL_MASK) {
    case G_LOG_LEVEL_ERROR:
    case G_LOG_LEVEL_CRITICAL:
        return "error";
    case G_LOG_LEVEL_WARNING:
        return "warning";
    case G_LOG_LEVEL_DEBUG:
        return "debug";
    default:
        return "info";
    }
}

static bool
is_writable(int fd)
{
    struct pollfd state = {.fd = fd, .events = POLLOUT};
    return poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0;
}

static GLogWriterOutput
write_line(GLogLevelFlags level, const GLogField *fields, gsize field_count,
           gpointer user_data)
{
    (void)user_data;
    if ((level & G_LOG_LEVEL_MASK) > least_severe_level) {
        return G_LOG_WRITER_HANDLED;
    }
    const char *message = "";
    for (gsize i = 0; i < field_count; i++) {
        if (strcmp(fields[i].key, "MESSAGE") == 0) {
            message = fields[i].value;
        }
    }
    gint64 now_us = g_get_real_time();
    char line[LINE_MAX_BYTES];
    int len = g_snprintf(
        line, sizeof(line) - 1, "time=%" G_GINT64_FORMAT ".%06d level=%s %s",
        now_us / G_USEC_PER_SEC, (int)(now_us % G_USEC_PER_SEC),
        level_name(level), message);
    // Also if the text was truncated, the line feed fits behind it.
    len = MIN(len, (int)sizeof(line) - 2);
    line[len++] = '\n';
    if (!is_writable(STDOUT_FILENO) ||
        write(STDOUT_FILENO, line, (size_t)len) != len)
    {
        metric_increment(METRIC_LOG_LINES_DROPPED_TOTAL);
    }
    return G_LOG_WRITER_HANDLED;
}

/// Installs the log writer.
void
log_init(void)
{
    g_log_set_writer_func(write_line, NULL, NULL);
}

/// Sets the level "debug", "info", "warning" or "error"; any other name means
/// "info". Events of lower severity are dropped.
void
log_set_level(const char *name)
{
    if (strcmp(name, "debug") == 0) {
        least_severe_level = G_LOG_LEVEL_DEBUG;
    }
    else if (strcmp(name, "error") == 0) {
        least_severe_level = G_LOG_LEVEL_CRITICAL;
    }
    else if (strcmp(name, "warning") == 0) {
        least_severe_level = G_LOG_LEVEL_WARNING;
    }
    else {
        least_severe_level = G_LOG_LEVEL_MESSAGE;
    }
}

/// Logs @p event with the key=value pairs that @p format produces.
void
log_event(GLogLevelFlags level, const char *event, const char *format, ...)
{
    if (level > least_severe_level) {
        return;
    }
    va_list arguments;
    va_start(arguments, format);
    char *pairs = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    g_log_structured(G_LOG_DOMAIN, level, "MESSAGE", "event=%s%s%s", event,
                     pairs[0] == '\0' ? "" : " ", pairs);
    g_free(pairs);
}
