#include "address.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>

#include "error.h"

int address_parse(struct str text, struct address *out)
{
	const char *colon = memchr(text.data, ':', text.len);
	struct in_addr ip;
	struct str port;
	uint64_t n;

	if (!colon)
		return ERR_ADDRESS;
	if (str_copy(out->ip, sizeof(out->ip),
		     (struct str){text.data, (size_t)(colon - text.data)}))
		return ERR_ADDRESS;
	if (inet_pton(AF_INET, out->ip, &ip) != 1)
		return ERR_ADDRESS;
	port.data = colon + 1;
	port.len = text.len - (size_t)(port.data - text.data);
	if (str_parse_u64(port, &n) || n > UINT16_MAX)
		return ERR_ADDRESS;
	out->port = (uint16_t)n;
	return 0;
}

void address_format(const struct address *address, char *out, size_t size)
{
	snprintf(out, size, "%s:%u", address->ip, address->port);
}

bool address_eq(const struct address *a, const struct address *b)
{
	return a->port == b->port && !strcmp(a->ip, b->ip);
}

struct sockaddr_in address_sockaddr(const struct address *address)
{
	struct sockaddr_in sin;

	memset(&sin, 0, sizeof(sin));
	sin.sin_family = AF_INET;
	sin.sin_port = htons(address->port);
	inet_pton(AF_INET, address->ip, &sin.sin_addr);
	return sin;
}
