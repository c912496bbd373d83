#ifndef IBISFIELD_IO_SOCKET_OPTIONS_H
#define IBISFIELD_IO_SOCKET_OPTIONS_H

#include <stdbool.h>

void socket_set_options(int fd);
bool socket_allow_slow_peer(int fd);
bool socket_peer_is_unresponsive(int fd);
void socket_set_receive_buffer(int fd, int bytes);

#endif
