#ifndef IBISFIELD_IO_SOCKET_OPTIONS_H
#define IBISFIELD_IO_SOCKET_OPTIONS_H

#include <stdbool.h>

/// What became of the bytes written to a socket.
typedef enum {
    SOCKET_DELIVERED, ///< the peer has acknowledged all
    SOCKET_PENDING,
    SOCKET_RESET, ///< the connection was reset before
} socket_delivery_t;

void socket_set_options(int fd);
bool socket_allow_slow_peer(int fd);
bool socket_peer_is_unresponsive(int fd);
socket_delivery_t socket_delivery(int fd);
void socket_set_receive_buffer(int fd, int bytes);

#endif
