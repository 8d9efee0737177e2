#!/usr/bin/env python3
"""Independent scan of generated data, the expected result of a search.

Shares no code with the C programs. Prints JSON:

    {"total":300,"count":66,"records":[{...}],
     "shards":[{"lo":0,"hi":8191,"held":35,"count":5}]}

"total" is the number of records of the version, "count" those that match,
"records" the bodies of the first of these by (sort, key), "shards" the same
numbers for each of --shards equal hash ranges. --ranges restricts the scan to
records whose keys hash into the ranges, as in an answer with missing shards.
"""

import argparse
import functools
import json
import os

# Size of the hash space that shards divide.
POINTS = 65536

MASK = (1 << 64) - 1
PRIME64_1 = 0x9E3779B185EBCA87
PRIME64_2 = 0xC2B2AE3D27D4EB4F
PRIME64_3 = 0x165667B19E3779F9
PRIME_MX1 = 0x165667919E3779F9
PRIME_MX2 = 0x9FB21C651E98DF25
SECRET = bytes.fromhex(
    "b8fe6c3923a44bbe7c01812cf721ad1cded46de9839097db7240a4a4b7b3671f"
    "cb79e64eccc0e578825ad07dccff7221b8084674f743248ee03590e6813a264c"
    "3c2852bb91c300cb88d0658b1b532ea371644897a20df94e3819ef46a9deacd8"
    "a8fa763fe39c343ff9dcbbc7c70b4f1d8a51e04bcdb45931c89f7ec9d9787364"
    "eac5ac8334d3ebc3c581a0fffa1363eb170ddd51b7f0da49d316552629d4689e"
    "2b16be587d47a1fc8ff8b8d17ad031ce45cb3a8f95160428afd7fbcabb4b407e"
)


def read32(data, offset):
    return int.from_bytes(data[offset:offset + 4], "little")


def read64(data, offset):
    return int.from_bytes(data[offset:offset + 8], "little")


def rotate_left(value, bits):
    return (value << bits | value >> (64 - bits)) & MASK


def multiply_fold(left, right):
    product = left * right
    return product & MASK ^ product >> 64


def avalanche64(value):
    value ^= value >> 33
    value = value * PRIME64_2 & MASK
    value ^= value >> 29
    value = value * PRIME64_3 & MASK
    return value ^ value >> 32


def avalanche(value):
    value ^= value >> 37
    value = value * PRIME_MX1 & MASK
    return value ^ value >> 32


def mix16(data, offset, secret_offset):
    return multiply_fold(read64(data, offset) ^ read64(SECRET, secret_offset),
                         read64(data, offset + 8) ^
                         read64(SECRET, secret_offset + 8))


def hash_0_to_3(data, size):
    if not size:
        return avalanche64(read64(SECRET, 56) ^ read64(SECRET, 64))
    combined = (data[0] << 16 | data[size >> 1] << 24 | data[size - 1] |
                size << 8)
    return avalanche64(combined ^ read32(SECRET, 0) ^ read32(SECRET, 4))


def hash_4_to_8(data, size):
    value = read32(data, size - 4) + (read32(data, 0) << 32)
    value ^= read64(SECRET, 8) ^ read64(SECRET, 16)
    value ^= rotate_left(value, 49) ^ rotate_left(value, 24)
    value = value * PRIME_MX2 & MASK
    value ^= (value >> 35) + size
    value = value * PRIME_MX2 & MASK
    return value ^ value >> 28


def hash_9_to_16(data, size):
    low = read64(data, 0) ^ read64(SECRET, 24) ^ read64(SECRET, 32)
    high = read64(data, size - 8) ^ read64(SECRET, 40) ^ read64(SECRET, 48)
    swapped = int.from_bytes(low.to_bytes(8, "little"), "big")
    return avalanche((size + swapped + high + multiply_fold(low, high)) & MASK)


def hash_17_to_128(data, size):
    value = size * PRIME64_1
    for i in range((size - 1) // 32, -1, -1):
        value += mix16(data, 16 * i, 32 * i)
        value += mix16(data, size - 16 * (i + 1), 32 * i + 16)
    return avalanche(value & MASK)


def hash_129_to_240(data, size):
    value = size * PRIME64_1
    for i in range(8):
        value += mix16(data, 16 * i, 16 * i)
    value = avalanche(value & MASK)
    for i in range(8, size // 16):
        value += mix16(data, 16 * i, 16 * (i - 8) + 3)
    value += mix16(data, size - 16, 119)
    return avalanche(value & MASK)


def xxh3(data):
    """XXH3 64-bit hash of up to 240 bytes, with seed 0."""
    size = len(data)
    for max_size, function in ((3, hash_0_to_3), (8, hash_4_to_8),
                               (16, hash_9_to_16), (128, hash_17_to_128),
                               (240, hash_129_to_240)):
        if size <= max_size:
            return function(data, size)
    raise ValueError("keys longer than 240 bytes are not supported")


@functools.cache
def point(key):
    return xxh3(key.encode()) % POINTS


def shard_ranges(shards):
    return [(i * POINTS // shards, (i + 1) * POINTS // shards - 1)
            for i in range(shards)]


def is_number(value):
    return isinstance(value, (int, float)) and not isinstance(value, bool)


def equal(left, right):
    """Whether two values have the same JSON type and value; 3 equals 3.0, and
    1 does not equal true."""
    if is_number(left) and is_number(right):
        return left == right
    return type(left) is type(right) and left == right


def matches(body, where):
    return all(name in body and equal(body[name], value)
               for name, value in where.items())


class Data:
    """The records of a service in all snapshot versions."""

    def __init__(self, directory, service):
        path = os.path.join(directory, service + ".jsonl")
        with open(path, encoding="utf-8") as file:
            self.records = [json.loads(line) for line in file]

    def snapshot(self, version, ranges=None):
        out = [r for r in self.records if r["from"] <= version and
               (r["to"] is None or version < r["to"])]
        if ranges is not None:
            out = [r for r in out
                   if any(lo <= point(r["key"]) <= hi for lo, hi in ranges)]
        return out

    def scan(self, version, where, limit=0, ranges=None):
        """Total, count and first records that a complete answer must have."""
        held = self.snapshot(version, ranges)
        found = [r for r in held if matches(r["body"], where)]
        found.sort(key=lambda r: (r["sort"].encode(), r["key"].encode()))
        return {"total": len(held), "count": len(found),
                "records": [r["body"] for r in found[:limit]]}

    def shards(self, version, where, shards, ranges=None):
        counts = [{"lo": lo, "hi": hi, "held": 0, "count": 0}
                  for lo, hi in shard_ranges(shards)]
        for record in self.snapshot(version, ranges):
            record_point = point(record["key"])
            shard = next(c for c in counts
                         if c["lo"] <= record_point <= c["hi"])
            shard["held"] += 1
            shard["count"] += matches(record["body"], where)
        return counts


def parse_ranges(text):
    return [tuple(int(bound) for bound in item.split("-"))
            for item in text.split(",") if item]


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("directory")
    parser.add_argument("service")
    parser.add_argument("--version", type=int, default=1)
    parser.add_argument("--where", type=json.loads, default={})
    parser.add_argument("--mode", choices=["count", "records"],
                        default="records")
    parser.add_argument("--limit", type=int, default=20)
    parser.add_argument("--shards", type=int)
    parser.add_argument("--ranges", type=parse_ranges, metavar="LO-HI,...")
    args = parser.parse_args()
    data = Data(args.directory, args.service)
    limit = args.limit if args.mode == "records" else 0
    out = data.scan(args.version, args.where, limit, args.ranges)
    if args.shards:
        out["shards"] = data.shards(args.version, args.where, args.shards,
                                    args.ranges)
    print(json.dumps(out, ensure_ascii=False))


if __name__ == "__main__":
    main()
