/* A pseudo-random number generator (SplitMix64) with an explicit seed. */
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
 * rng_uniform() - a uniformly distributed number in [0, 1)
 * @rng: the generator
 */
static inline double rng_uniform(struct rng *rng)
{
	return (double)(rng_next(rng) >> 11) * 0x1.0p-53;
}

#endif
