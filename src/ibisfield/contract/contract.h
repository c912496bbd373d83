#ifndef IBISFIELD_CONTRACT_CONTRACT_H
#define IBISFIELD_CONTRACT_CONTRACT_H

#include <glib.h>

#include "ibisfield/base/slice.h"
#include "ibisfield/contract/contract_defs.h"

struct json_field;

bool contract_parse(contract_t *contract, const char *file, slice_t text,
                    GPtrArray *problems);
void contract_finish(contract_t *contract);
void kind_finish(kind_t *kind);
const kind_t *contract_match(const contract_t *contract, slice_t method,
                             slice_t path);
bool contract_has_host(const contract_t *contract, slice_t host);
kind_limits_t kind_limits(const contract_t *contract, const kind_t *kind);
const struct json_field *contract_field_list(size_t *count);
const struct json_field *kind_field_list(size_t *count);
const struct json_field *workspace_field_list(size_t *count);

#endif
