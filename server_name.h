/* Decides which names of items in the platform's store name a backend server.
 */
#ifndef SERVER_NAME_H
#define SERVER_NAME_H

#include "str.h"

/**
 * server_name_check() - whether a name can be that of a backend server
 * @name: of an item, or of an entry that a peer sent
 *
 * Return: 0; ERR_RANGE if it is empty, too long or has a NUL.
 */
int server_name_check(struct str name);

#endif
