#include "server_name.h"

#include <string.h>

#include "error.h"
#include "registry.h"

static bool is_name_char(char c)
{
	return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
	       (c >= '0' && c <= '9') || (c && strchr("-._~:@", c));
}

int server_name_check(struct str name)
{
	size_t i;

	if (!name.len || name.len >= REGISTRY_NAME_SIZE)
		return ERR_RANGE;
	for (i = 0; i < name.len; i++) {
		if (!is_name_char(name.data[i]))
			return ERR_NAME;
	}
	return 0;
}
