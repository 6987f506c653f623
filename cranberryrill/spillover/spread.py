"""Spread requests by hashes, so that repeated decisions on one are the same."""

import math
from collections import abc

import xxhash

HASH_BITS = 64
# A float holds the others exactly, so that a hash is never rounded to 1.
UNUSED_HASH_BITS = 12


def uniform(key: str) -> float:
    """Return a number between 0 and 1 for a key."""
    digest = xxhash.xxh64_intdigest(key.encode()) >> UNUSED_HASH_BITS
    return (digest + 0.5) / math.exp2(HASH_BITS - UNUSED_HASH_BITS)


def choose(key: str, weights: abc.Mapping[str, float]) -> str:
    """Return a name, in proportion to the weights, by rendezvous hashing.

    Weights must be positive. When one changes, only keys that gain or lose by
    it get another name.
    """
    return max(
        weights,
        key=lambda name: weights[name] / -math.log(uniform(f'{key}/{name}')),
    )
