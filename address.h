/* IPv4 addresses with a port, formatted as "127.0.0.1:8001". */
#ifndef ADDRESS_H
#define ADDRESS_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "str.h"

#define ADDRESS_TEXT_SIZE 24 /* "IP:PORT" and the terminating NUL */

/**
 * struct address - an IPv4 address and a port
 * @ip: dotted decimal
 * @port: in host byte order
 */
struct address {
	char ip[INET_ADDRSTRLEN];
	uint16_t port;
};

/**
 * address_parse() - parse "IP:PORT"
 * @text: the whole text is parsed
 * @out: set on success; its contents are unspecified on failure
 *
 * Host names are not resolved: instances address each other by IP address.
 *
 * Return: 0, or ERR_ADDRESS.
 */
int address_parse(struct str text, struct address *out);

/**
 * address_format() - write an address as "IP:PORT"
 * @address: the address
 * @out: of @size bytes; ADDRESS_TEXT_SIZE is enough
 * @size: of @out, bytes
 */
void address_format(const struct address *address, char *out, size_t size);
bool address_eq(const struct address *a, const struct address *b);
struct sockaddr_in address_sockaddr(const struct address *address);

#endif
