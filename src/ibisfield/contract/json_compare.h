#ifndef IBISFIELD_CONTRACT_JSON_COMPARE_H
#define IBISFIELD_CONTRACT_JSON_COMPARE_H

#include <glib.h>
#include <json-c/json.h>

void json_compare(struct json_object *before, struct json_object *after,
                  GPtrArray *differences);

#endif
