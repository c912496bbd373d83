#ifndef IBISFIELD_BASE_LOG_H
#define IBISFIELD_BASE_LOG_H

#include <glib.h>

/// Longest part of a name that is logged, in bytes, where the name may be so
/// long that it would displace the rest of the line.
#define LOGGED_NAME_MAX 63

void log_init(void);
void log_set_level(const char *name);
void log_event(GLogLevelFlags level, const char *event, const char *format,
               ...) G_GNUC_PRINTF(3, 4);

/// Logs one event. @p event is a string literal in snake_case, followed by a
/// printf format of key=value pairs, "" for none, and its arguments. Free text
/// is quoted, as in error=\"%s\".
#define log_info(event, ...)                                                  \
    log_event(G_LOG_LEVEL_MESSAGE, (event), __VA_ARGS__)
#define log_warning(event, ...)                                               \
    log_event(G_LOG_LEVEL_WARNING, (event), __VA_ARGS__)
#define log_debug(event, ...)                                                 \
    log_event(G_LOG_LEVEL_DEBUG, (event), __VA_ARGS__)

#endif
