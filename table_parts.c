#include "table_parts.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include "mem.h"
#include "option.h"

/* A longer value is a table: a manifest of all parts is shorter. */
#define MANIFEST_BYTES_MAX (16 << 10)
#define HEX_DIGITS 16

static struct json_object *manifest_list(struct str text,
					 struct json_object **root)
{
	struct json_object *list = NULL;

	*root = NULL;
	if (text.len > MANIFEST_BYTES_MAX ||
	    option_parse_document(text.data, text.len, root, NULL))
		return NULL;
	json_object_object_get_ex(*root, "manifest", &list);
	return list;
}

bool table_parts_is_manifest(struct str text)
{
	struct json_object *root;
	bool found = manifest_list(text, &root);

	json_object_put(root);
	return found;
}

static const char *member(struct json_object *object, const char *key)
{
	struct json_object *value;

	if (!json_object_is_type(object, json_type_object) ||
	    !json_object_object_get_ex(object, key, &value) ||
	    !json_object_is_type(value, json_type_string))
		return NULL;
	return json_object_get_string(value);
}

static bool read_digest(const char *text, uint64_t *out)
{
	char *end;

	if (!text || strlen(text) != HEX_DIGITS)
		return false;
	*out = strtoull(text, &end, 16);
	return !*end;
}

static int read_part(struct table_part *part, struct json_object *value, int i,
		     struct error *err)
{
	char subject[ERROR_SUBJECT_SIZE];
	const char *key = member(value, "key");

	snprintf(subject, sizeof(subject), "manifest part %d", i + 1);
	if (!key || str_copy(part->key, sizeof(part->key), str_from(key)))
		return error_set(err, ERR_TYPE, subject, key,
				 "a key of at most 64 bytes");
	if (!read_digest(member(value, "digest"), &part->digest))
		return error_set(err, ERR_TYPE, subject,
				 member(value, "digest"),
				 "a digest of 16 hex digits");
	return 0;
}

static int read_list(struct table_parts *parts, struct json_object *list,
		     struct error *err)
{
	size_t n;
	size_t i;

	if (!json_object_is_type(list, json_type_array))
		return error_set(err, ERR_TYPE, "manifest", NULL,
				 "a list of parts");
	n = json_object_array_length(list);
	if (!n || n > TABLE_PARTS_MAX)
		return error_set(err, ERR_RANGE, "manifest", NULL,
				 "1 to 64 parts");
	for (i = 0; i < n; i++) {
		int ret = read_part(&parts->parts[i],
				    json_object_array_get_idx(list, i), (int)i,
				    err);

		if (ret)
			return ret;
	}
	parts->n = (int)n;
	return 0;
}

int table_parts_init(struct table_parts *parts, struct str text,
		     uint64_t revision, struct error *err)
{
	struct json_object *root;
	struct json_object *list = manifest_list(text, &root);
	int ret;

	memset(parts, 0, sizeof(*parts));
	parts->revision = revision;
	ret = read_list(parts, list, err);
	json_object_put(root);
	if (ret)
		table_parts_finish(parts);
	return ret;
}

static struct table_part *next_part(const struct table_parts *parts)
{
	int i;

	for (i = 0; i < parts->n; i++) {
		if (!parts->parts[i].text)
			return (struct table_part *)&parts->parts[i];
	}
	return NULL;
}

static void reuse_part(struct table_parts *parts, struct table_part *part,
		       struct table_parts *old)
{
	int i;

	for (i = 0; i < old->n && !part->text; i++) {
		if (old->parts[i].digest != part->digest)
			continue;
		part->text = old->parts[i].text;
		part->len = old->parts[i].len;
		old->parts[i].text = NULL;
	}
	if (part->text)
		parts->len += part->len;
}

void table_parts_reuse(struct table_parts *parts, struct table_parts *old)
{
	int i;

	for (i = 0; i < parts->n; i++)
		reuse_part(parts, &parts->parts[i], old);
}

const char *table_parts_next_key(const struct table_parts *parts)
{
	const struct table_part *part = next_part(parts);

	return part ? part->key : NULL;
}

int table_parts_add(struct table_parts *parts, struct str text,
		    struct error *err)
{
	struct table_part *part = next_part(parts);
	char digest[HEX_DIGITS + 1];

	if (str_hash(text) != part->digest) {
		snprintf(digest, sizeof(digest), "%016" PRIx64, str_hash(text));
		return error_set(err, ERR_PART, part->key, digest,
				 "the digest of the manifest");
	}
	if (parts->len + text.len > TABLE_PARTS_BYTES_MAX)
		return error_set(err, ERR_TOO_LARGE, part->key, NULL,
				 "at most 4 MiB in all parts");
	part->text = mem_dup_len(text.data, text.len);
	part->len = text.len;
	parts->len += text.len;
	return 0;
}

char *table_parts_text(const struct table_parts *parts)
{
	char *text = mem_zalloc(parts->len + 1);
	size_t at = 0;
	int i;

	for (i = 0; i < parts->n; i++) {
		memcpy(text + at, parts->parts[i].text, parts->parts[i].len);
		at += parts->parts[i].len;
	}
	return text;
}

void table_parts_finish(struct table_parts *parts)
{
	int i;

	for (i = 0; i < parts->n; i++)
		free(parts->parts[i].text);
	memset(parts, 0, sizeof(*parts));
}
