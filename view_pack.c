#include "view_pack.h"

#include <stdlib.h>

#include "error.h"
#include "mem.h"
#include "pack.h"

static uint8_t *deflate_body(const Peer__ViewBody *body, size_t size,
			     size_t *len)
{
	uint8_t *raw = mem_zalloc(size);
	uint8_t *out;

	peer__view_body__pack(body, raw);
	out = compress_bytes(raw, size, len);
	free(raw);
	return out;
}

uint8_t *view_compress(Peer__ViewUpdate *message)
{
	Peer__ViewBody body = PEER__VIEW_BODY__INIT;
	uint8_t *packed;
	size_t size;
	size_t len;

	body.routes = message->routes;
	body.servers = message->servers;
	body.n_servers = message->n_servers;
	size = peer__view_body__get_packed_size(&body);
	if (size < COMPRESS_MIN_SIZE || size > VIEW_BODY_SIZE_MAX)
		return NULL;
	packed = deflate_body(&body, size, &len);
	if (!packed)
		return NULL;
	message->routes.len = 0;
	message->n_servers = 0;
	message->packed.data = packed;
	message->packed.len = len;
	message->packed_size = (uint32_t)size;
	return packed;
}

int view_decompress(const Peer__ViewUpdate *message, Peer__ViewBody **body)
{
	size_t size = message->packed_size;
	uint8_t *raw;

	*body = NULL;
	if (!message->packed.len)
		return 0;
	if (size > VIEW_BODY_SIZE_MAX)
		return ERR_PROTOCOL;
	raw = decompress_bytes(message->packed.data, message->packed.len, size);
	if (raw)
		*body = peer__view_body__unpack(NULL, size, raw);
	free(raw);
	return *body ? 0 : ERR_PROTOCOL;
}
