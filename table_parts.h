/*
 * A table that is split over several values of the platform and listed in a
 * manifest. The parts are fetched and verified; the table is used only once it
 * is complete.
 */
#ifndef TABLE_PARTS_H
#define TABLE_PARTS_H

#include <stdbool.h>
#include <stdint.h>

#include "error.h"
#include "str.h"

#define TABLE_PARTS_MAX 64
#define TABLE_PARTS_KEY_SIZE 65
/* The full text must also fit in a frame to a peer, see FRAME_PAYLOAD_MAX. */
#define TABLE_PARTS_BYTES_MAX (4 << 20)

/**
 * struct table_part - one value of the platform
 * @key: key of the value
 * @digest: its digest in the manifest
 * @text: NULL until it was fetched; owned
 * @len: length of @text
 */
struct table_part {
	char key[TABLE_PARTS_KEY_SIZE];
	uint64_t digest;
	char *text;
	size_t len;
};

/**
 * struct table_parts - manifest and the parts fetched so far
 * @revision: revision of the manifest
 * @parts: in the order of the text
 * @n: number of @parts
 * @len: total length of the parts fetched so far
 */
struct table_parts {
	uint64_t revision;
	struct table_part parts[TABLE_PARTS_MAX];
	int n;
	size_t len;
};

/**
 * table_parts_is_manifest() - check whether a value is a manifest
 * @text: value of the platform
 */
bool table_parts_is_manifest(struct str text);

/**
 * table_parts_init() - parse a manifest
 * @parts: initialized on success; release with table_parts_finish()
 * @text: value of the platform
 * @revision: revision of the value
 * @err: names the invalid part
 *
 * Return: 0, or ERR_SYNTAX, ERR_TYPE, ERR_RANGE with @parts finished.
 */
int table_parts_init(struct table_parts *parts, struct str text,
		     uint64_t revision, struct error *err);

/**
 * table_parts_reuse() - reuse unchanged parts of an older table
 * @parts: gets the texts
 * @old: parts whose digest is also in @parts are moved out of it
 */
void table_parts_reuse(struct table_parts *parts, struct table_parts *old);

/**
 * table_parts_next_key() - return the key of the part to fetch next
 * @parts: manifest and the parts fetched so far
 *
 * Return: the key, borrowed from @parts, or NULL if all parts were fetched.
 */
const char *table_parts_next_key(const struct table_parts *parts);

/**
 * table_parts_add() - add the part named by table_parts_next_key()
 * @parts: manifest with a part that is missing
 * @text: value of the part; copied
 * @err: names the part
 *
 * Return: 0; ERR_PART if the digest differs from the manifest; ERR_TOO_LARGE if
 * all parts exceed TABLE_PARTS_BYTES_MAX.
 */
int table_parts_add(struct table_parts *parts, struct str text,
		    struct error *err);

/**
 * table_parts_text() - join all parts, once table_parts_next_key() is NULL
 * @parts: manifest with all parts
 *
 * Return: the text, NUL-terminated; release with free().
 */
char *table_parts_text(const struct table_parts *parts);
void table_parts_finish(struct table_parts *parts);

#endif
