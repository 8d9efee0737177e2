/*
 * Arena allocator: allocations are freed all at once. Used for messages that
 * are unpacked, read and discarded.
 */
#ifndef ARENA_H
#define ARENA_H

#include <stddef.h>

#include <protobuf-c/protobuf-c.h>

struct arena_block;

/**
 * struct arena - an allocator that frees everything at once
 * @block: the block that new allocations come from
 * @full_blocks: earlier blocks, kept until the next reset
 * @used: bytes allocated from @block
 * @allocator: for protobuf-c's unpack functions; its free() does nothing
 */
struct arena {
	struct arena_block *block;
	struct arena_block *full_blocks;
	size_t used;
	ProtobufCAllocator allocator;
};

void arena_init(struct arena *arena);
/* Frees all allocations and blocks. */
void arena_finish(struct arena *arena);

/**
 * arena_reset() - free all allocations
 * @arena: the arena
 *
 * Keeps only the newest and largest block, unless it is so large that it is
 * replaced by one of the initial size.
 */
void arena_reset(struct arena *arena);

#endif
