/* Allocation that never returns NULL: the process aborts if out of memory. */
#ifndef MEM_H
#define MEM_H

#include <stddef.h>

void *mem_zalloc(size_t size);
void *mem_realloc(void *old, size_t size);
char *mem_dup(const char *text);

/* Copies @len bytes and appends a NUL. */
char *mem_dup_len(const void *data, size_t len);

/**
 * MEM_GROW() - grow a dynamic array if it has no room for another element
 * @array: pointer lvalue
 * @n: elements in use
 * @cap: lvalue, elements allocated
 */
#define MEM_GROW(array, n, cap)                                                \
	do {                                                                   \
		if ((size_t)(n) >= (size_t)(cap)) {                            \
			(cap) = (cap) ? (cap)*2 : 8;                           \
			(array) = mem_realloc((array),                         \
					      (cap) * sizeof(*(array)));       \
		}                                                              \
	} while (0)

#endif
