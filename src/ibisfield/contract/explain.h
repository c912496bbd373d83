#ifndef IBISFIELD_CONTRACT_EXPLAIN_H
#define IBISFIELD_CONTRACT_EXPLAIN_H

#include <glib.h>

#include "ibisfield/contract/contract_defs.h"

void explain_contract(const contract_t *contract, GString *out);

#endif
