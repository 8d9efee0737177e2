/*
 * A table in several values of the platform under a manifest: the parts are
 * collected and checked, and the table is taken when all are there, or not at
 * all.
 */
#ifndef TABLE_PARTS_H
#define TABLE_PARTS_H

#include <stdbool.h>
#include <stdint.h>

#include "error.h"
#include "str.h"

#define TABLE_PARTS_MAX 64
#define TABLE_PARTS_KEY_SIZE 65
/* The whole text must also pass between peers, see FRAME_PAYLOAD_MAX. */
#define TABLE_PARTS_BYTES_MAX (4 << 20)

/**
 * struct table_part - one value
 * @text: NULL until it came
 */
struct table_part {
	char key[TABLE_PARTS_KEY_SIZE];
	uint64_t digest;
	char *text;
	size_t len;
};

/**
 * struct table_parts - a manifest and the parts that have come
 * @revision: of the manifest
 * @len: of all parts that have come
 */
struct table_parts {
	uint64_t revision;
	struct table_part parts[TABLE_PARTS_MAX];
	int n;
	size_t len;
};

/**
 * table_parts_is_manifest() - whether a value of the platform is a manifest
 */
bool table_parts_is_manifest(struct str text);

/**
 * table_parts_init() - read a manifest
 * @err: names the part that is wrong
 *
 * Return: 0, or ERR_SYNTAX, ERR_TYPE, ERR_RANGE with @parts finished.
 */
int table_parts_init(struct table_parts *parts, struct str text,
		     uint64_t revision, struct error *err);

/**
 * table_parts_reuse() - take parts that have not changed from an older table
 * @old: its parts; those with a digest of @parts are moved out of it
 */
void table_parts_reuse(struct table_parts *parts, struct table_parts *old);

/**
 * table_parts_next_key() - the key of the part to read next
 *
 * Return: the key, or NULL if all parts are there.
 */
const char *table_parts_next_key(const struct table_parts *parts);

/**
 * table_parts_add() - take the part that was awaited
 *
 * Return: 0; ERR_PART if its digest is not the manifest's; ERR_TOO_LARGE.
 */
int table_parts_add(struct table_parts *parts, struct str text,
		    struct error *err);

/**
 * table_parts_text() - the whole table, once table_parts_next_key() is NULL
 *
 * Return: the text, ended by NUL; release with free().
 */
char *table_parts_text(const struct table_parts *parts);
void table_parts_finish(struct table_parts *parts);

#endif
