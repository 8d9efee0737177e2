#include "store_key.h"

#include <string.h>

#include "error.h"

int store_key_set(struct store_key *key, struct str text)
{
	key->len = 0;
	if (text.len > sizeof(key->data))
		return ERR_TOO_LARGE;
	memcpy(key->data, text.data, text.len);
	key->len = text.len;
	return 0;
}

struct str store_key_str(const struct store_key *key)
{
	return (struct str){key->data, key->len};
}
