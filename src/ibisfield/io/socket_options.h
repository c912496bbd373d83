#ifndef IBISFIELD_IO_SOCKET_OPTIONS_H
#define IBISFIELD_IO_SOCKET_OPTIONS_H

void socket_set_options(int fd);

#endif
