#ifndef IBISFIELD_CLI_STATUS_SUMMARY_H
#define IBISFIELD_CLI_STATUS_SUMMARY_H

#include <glib.h>
#include <json-c/json.h>

void status_summary_append(struct json_object *status, GString *out);

/// Data centres that have each version of each contract in force.
typedef struct {
    GTree *contracts; ///< maps each name to a GTree of versions, and each
                      ///< version to a GTree of data centres
} contract_versions_t;

void contract_versions_init(contract_versions_t *versions);
void contract_versions_finish(contract_versions_t *versions);
void contract_versions_add(contract_versions_t *versions,
                           struct json_object *status);
void contract_versions_append(const contract_versions_t *versions,
                              GString *out);

#endif
