/* A small generator of pseudo-random numbers (SplitMix64), seeded by hand. */
#ifndef RNG_H
#define RNG_H

#include <stdint.h>

struct rng {
	uint64_t state;
};

static inline void rng_init(struct rng *rng, uint64_t seed)
{
	rng->state = seed;
}

static inline uint64_t rng_next(struct rng *rng)
{
	uint64_t z = (rng->state += 0x9e3779b97f4a7c15ULL);

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

/**
 * rng_uniform() - a number from 0 up to, but not including, 1
 */
static inline double rng_uniform(struct rng *rng)
{
	return (double)(rng_next(rng) >> 11) * 0x1.0p-53;
}

#endif
