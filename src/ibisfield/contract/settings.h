#ifndef IBISFIELD_CONTRACT_SETTINGS_H
#define IBISFIELD_CONTRACT_SETTINGS_H

#include <glib.h>

#include "ibisfield/base/slice.h"
#include "ibisfield/contract/settings_defs.h"

struct json_field;

bool settings_parse(settings_t *settings, const char *file, slice_t text,
                    GPtrArray *problems);
void settings_finish(settings_t *settings);
const struct json_field *settings_field_list(size_t *count);
bool endpoint_parse(endpoint_t *endpoint, const char *text);

size_t settings_held_bytes_max(const settings_t *settings);

#endif
