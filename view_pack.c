#include "view_pack.h"

#include <stdlib.h>

#include <zlib.h>

#include "error.h"
#include "mem.h"

/* Below this many bytes nothing is gained that is worth the time. */
#define PACK_LEAST 512

static uint8_t *deflate_body(const Peer__ViewBody *body, size_t size,
			     uLongf *len)
{
	uint8_t *raw = mem_zalloc(size);
	uint8_t *out;
	int ret;

	peer__view_body__pack(body, raw);
	*len = compressBound(size);
	out = mem_zalloc(*len);
	ret = compress2(out, len, raw, size, Z_BEST_SPEED);
	free(raw);
	if (ret == Z_OK)
		return out;
	/* Out of memory: it goes out as it is. */
	free(out);
	return NULL;
}

uint8_t *view_pack(Peer__ViewUpdate *message)
{
	Peer__ViewBody body = PEER__VIEW_BODY__INIT;
	uint8_t *packed;
	uLongf len;
	size_t size;

	body.routes = message->routes;
	body.servers = message->servers;
	body.n_servers = message->n_servers;
	size = peer__view_body__get_packed_size(&body);
	if (size < PACK_LEAST || size > VIEW_PACK_BODY_MAX)
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

int view_unpack(const Peer__ViewUpdate *message, Peer__ViewBody **body)
{
	uLongf len = message->packed_size;
	uint8_t *raw;
	int ret;

	*body = NULL;
	if (!message->packed.len)
		return 0;
	if (len > VIEW_PACK_BODY_MAX)
		return ERR_PROTOCOL;
	raw = mem_zalloc(len + 1);
	ret = uncompress(raw, &len, message->packed.data, message->packed.len);
	if (ret == Z_OK && len == message->packed_size)
		*body = peer__view_body__unpack(NULL, len, raw);
	free(raw);
	return *body ? 0 : ERR_PROTOCOL;
}
