/* Decides which names of items in the store name a backend server. */
#ifndef SERVER_NAME_H
#define SERVER_NAME_H

#include "str.h"

/**
 * server_name_check() - whether a name can be that of a backend server
 * @name: of an item, or of an entry that a peer sent
 *
 * Names stand in request heads, log lines, pages and C strings. Servers' own
 * consist of letters, digits and "-._~:@".
 *
 * Return: 0; ERR_RANGE if it is empty or too long; ERR_NAME if it has any other
 * character.
 */
int server_name_check(struct str name);

#endif
