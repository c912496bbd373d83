#ifndef IBISFIELD_IO_LISTEN_H
#define IBISFIELD_IO_LISTEN_H

#include <stdbool.h>

#include "ibisfield/contract/settings_defs.h"

int listen_open(const endpoint_t *endpoint);
bool listen_drop_new_connections(int fd);

#endif
