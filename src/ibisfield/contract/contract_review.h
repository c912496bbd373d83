#ifndef IBISFIELD_CONTRACT_CONTRACT_REVIEW_H
#define IBISFIELD_CONTRACT_CONTRACT_REVIEW_H

#include "ibisfield/contract/contract_defs.h"
#include "ibisfield/workspace/workspace_defs.h"

void contract_review(const contract_t *contract, bool has_workspaces,
                     GPtrArray *notes);
void workspace_list_review(const workspace_t *workspaces, uint32_t count,
                           GPtrArray *notes);

#endif
