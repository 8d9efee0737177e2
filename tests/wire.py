"""Encoder and decoder of the messages and frames in docs/PROTOCOL.md.

Protocol buffers without generated code, for tests.
"""

import struct

FRAME_MAGIC = 0x4752
FRAME_HEADER = ">HBBII"
VARINT = 0
LENGTH_DELIMITED = 2


def varint(value):
    out = bytearray()
    while value > 0x7F:
        out.append(value & 0x7F | 0x80)
        value >>= 7
    out.append(value)
    return bytes(out)


def encode(*fields):
    """Encode a message from (number, value) pairs; None omits the field."""
    out = b""
    for number, value in fields:
        if value is None:
            continue
        if isinstance(value, int):
            out += varint(number << 3 | VARINT) + varint(value)
            continue
        if isinstance(value, str):
            value = value.encode()
        out += (varint(number << 3 | LENGTH_DELIMITED) + varint(len(value))
                + value)
    return out


def read_varint(data, pos):
    """Return the varint at pos and the position after it."""
    value = shift = 0
    while True:
        byte = data[pos]
        pos += 1
        value |= (byte & 0x7F) << shift
        if byte < 0x80:
            return value, pos
        shift += 7


def decode(data):
    """Map each field number to the list of its values, in message order."""
    fields = {}
    pos = 0
    while pos < len(data):
        tag, pos = read_varint(data, pos)
        if tag & 7 == VARINT:
            value, pos = read_varint(data, pos)
        elif tag & 7 == LENGTH_DELIMITED:
            size, pos = read_varint(data, pos)
            value = data[pos:pos + size]
            pos += size
        else:
            raise ValueError("wire type %d" % (tag & 7))
        fields.setdefault(tag >> 3, []).append(value)
    return fields


def last_int(fields, field):
    """Return the last value of an integer field, 0 if absent."""
    return fields.get(field, [0])[-1]


def last_text(fields, field):
    """Return the last value of a string field, "" if absent."""
    return fields.get(field, [b""])[-1].decode()


def unpack_ints(fields, field):
    """Return a repeated integer field, packed or not."""
    out = []
    for item in fields.get(field, []):
        if isinstance(item, int):
            out.append(item)
            continue
        pos = 0
        while pos < len(item):
            value, pos = read_varint(item, pos)
            out.append(value)
    return out


def key_range(lo, hi):
    return encode((1, lo or None), (2, hi or None))


def search_request(request_id, service, version, shards, mode, where, limit,
                   deadline_ms):
    fields = [(1, request_id), (2, service), (3, version)]
    fields += [(4, key_range(lo, hi)) for lo, hi in shards]
    fields += [(5, 1 if mode == "records" else None), (6, where),
               (7, limit or None), (8, deadline_ms or None)]
    return encode(*fields)


def run_request(request_id, service, ticket, key, payload, deadline_ms):
    return encode((1, request_id), (2, service), (3, ticket), (4, key),
                  (5, payload), (6, deadline_ms or None))


def cancel_request(request_id):
    return encode((1, request_id))


def read_range(data):
    fields = decode(data)
    return last_int(fields, 1), last_int(fields, 2)


def read_holdings(data):
    fields = decode(data)
    snapshots = {}
    for item in fields.get(5, []):
        snapshot = decode(item)
        infos = [decode(info) for info in snapshot.get(2, [])]
        snapshots[last_int(snapshot, 1)] = {
            "map": [(read_range(info[1][0]), last_int(info, 2))
                    for info in infos],
            "here": unpack_ints(snapshot, 3),
        }
    return {"server": last_text(fields, 1), "service": last_text(fields, 2),
            "draining": bool(last_int(fields, 3)),
            "cold": bool(last_int(fields, 4)), "snapshots": snapshots}


def read_partial(data):
    fields = decode(data)
    records = [decode(item) for item in fields.get(5, [])]
    return {"shard": read_range(fields[1][0]), "status": last_int(fields, 2),
            "held": last_int(fields, 3), "count": last_int(fields, 4),
            "records": [(last_text(r, 1), last_text(r, 2), last_text(r, 3))
                        for r in records]}


def read_search_answer(data):
    fields = decode(data)
    return {"request_id": last_text(fields, 1), "server": last_text(fields, 2),
            "version": last_int(fields, 3),
            "shards": [read_partial(item) for item in fields.get(4, [])]}


def frame(kind, payload=b"", magic=FRAME_MAGIC, version=1, length=None,
          reserved=0):
    if length is None:
        length = len(payload)
    return struct.pack(FRAME_HEADER, magic, version, kind, length,
                       reserved) + payload


def read_frame(stream):
    """Read a frame as (kind, payload); None at the end of the stream."""
    head = stream.read(struct.calcsize(FRAME_HEADER))
    if len(head) < struct.calcsize(FRAME_HEADER):
        return None
    _, _, kind, length, _ = struct.unpack(FRAME_HEADER, head)
    return kind, stream.read(length)
