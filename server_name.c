#include "server_name.h"

#include <string.h>

#include "error.h"
#include "registry.h"

int server_name_check(struct str name)
{
	if (!name.len || name.len >= REGISTRY_NAME_SIZE ||
	    memchr(name.data, '\0', name.len))
		return ERR_RANGE;
	return 0;
}
