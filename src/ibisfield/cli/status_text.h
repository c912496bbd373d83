#ifndef IBISFIELD_CLI_STATUS_TEXT_H
#define IBISFIELD_CLI_STATUS_TEXT_H

#include <glib.h>
#include <json-c/json.h>

void status_text_append(struct json_object *status, int indent, GString *out);

#endif
