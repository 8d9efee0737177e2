#include "arena.h"

#include <stdalign.h>
#include <stdint.h>
#include <stdlib.h>

#include "mem.h"

#define BLOCK_SIZE (16 * 1024)
/* Larger blocks are freed at reset: huge messages are rare. */
#define RETAINED_BLOCK_MAX (1024 * 1024)

struct arena_block {
	struct arena_block *next;
	size_t size;
	alignas(max_align_t) unsigned char data[];
};

static struct arena_block *new_block(size_t size)
{
	struct arena_block *block = mem_realloc(NULL, sizeof(*block) + size);

	block->next = NULL;
	block->size = size;
	return block;
}

static void *arena_alloc(void *arg, size_t size)
{
	struct arena *arena = arg;
	size_t align = alignof(max_align_t);
	size_t need = (size + align - 1) / align * align;
	struct arena_block *block = arena->block;
	void *ptr;

	if (arena->used + need > block->size) {
		size_t doubled = block->size * 2;

		block->next = arena->full_blocks;
		arena->full_blocks = block;
		arena->block = new_block(need > doubled ? need : doubled);
		arena->used = 0;
	}
	ptr = arena->block->data + arena->used;
	arena->used += need;
	return ptr;
}

static void ignore_free(void *arg, void *ptr)
{
	(void)arg;
	(void)ptr;
}

void arena_init(struct arena *arena)
{
	arena->block = new_block(BLOCK_SIZE);
	arena->full_blocks = NULL;
	arena->used = 0;
	arena->allocator.alloc = arena_alloc;
	arena->allocator.free = ignore_free;
	arena->allocator.allocator_data = arena;
}

static void free_full_blocks(struct arena *arena)
{
	while (arena->full_blocks) {
		struct arena_block *block = arena->full_blocks;

		arena->full_blocks = block->next;
		free(block);
	}
}

void arena_reset(struct arena *arena)
{
	free_full_blocks(arena);
	arena->used = 0;
	if (arena->block->size <= RETAINED_BLOCK_MAX)
		return;
	free(arena->block);
	arena->block = new_block(BLOCK_SIZE);
}

void arena_finish(struct arena *arena)
{
	free_full_blocks(arena);
	free(arena->block);
	arena->block = NULL;
}
