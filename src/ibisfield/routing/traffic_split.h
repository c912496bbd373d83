#ifndef IBISFIELD_ROUTING_TRAFFIC_SPLIT_H
#define IBISFIELD_ROUTING_TRAFFIC_SPLIT_H

#include "ibisfield/contract/contract_defs.h"

const char *traffic_split_next(const kind_t *kind);

#endif
