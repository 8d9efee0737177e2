#include "mem.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void *checked(void *p)
{
	if (p)
		return p;
	fputs("{\"level\":\"error\",\"event\":\"out_of_memory\"}\n", stderr);
	abort();
}

void *mem_zalloc(size_t size)
{
	return checked(calloc(1, size ? size : 1));
}

void *mem_realloc(void *old, size_t size)
{
	return checked(realloc(old, size ? size : 1));
}

char *mem_dup(const char *text)
{
	return mem_dup_len(text, strlen(text));
}

char *mem_dup_len(const void *data, size_t len)
{
	char *copy = mem_zalloc(len + 1);

	if (len)
		memcpy(copy, data, len);
	return copy;
}
