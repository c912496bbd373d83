#ifndef IBISFIELD_IO_SOCKET_OPTIONS_H
#define IBISFIELD_IO_SOCKET_OPTIONS_H

void socket_set_options(int fd);
void socket_set_receive_buffer(int fd, int bytes);

#endif
