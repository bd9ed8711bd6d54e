"""Reads bills from records of the log stream `bills`.

A record is a MessagePack array of bills. As records are JSON text, it is written as "base64:" and
base64url without padding. Each bill is [vm, run, sequence, team, outcome, [[version, upstream, prompt tokens, generated
tokens, cost in millionths], ...]].
"""

import base64
import struct

OUTCOMES = ["answered", "cancelled"]


def unpack(data, at=0):
    """One MessagePack value; returns (value, position after it)."""
    tag = data[at]
    at += 1
    if tag < 0x80:
        return tag, at
    if 0x80 <= tag < 0x90:
        return unpack_map(data, at, tag & 0x0F)
    if 0x90 <= tag < 0xA0:
        return unpack_array(data, at, tag & 0x0F)
    if 0xA0 <= tag < 0xC0:
        return unpack_bytes(data, at, tag & 0x1F)
    if tag >= 0xE0:
        return tag - 0x100, at
    if tag in (0xC0, 0xC2, 0xC3):
        return {0xC0: None, 0xC2: False, 0xC3: True}[tag], at
    numbers = {0xCA: ">f", 0xCB: ">d", 0xCC: ">B", 0xCD: ">H", 0xCE: ">I", 0xCF: ">Q",
               0xD0: ">b", 0xD1: ">h", 0xD2: ">i", 0xD3: ">q"}
    if tag in numbers:
        size = struct.calcsize(numbers[tag])
        return struct.unpack_from(numbers[tag], data, at)[0], at + size
    sizes = {0xC4: ">B", 0xC5: ">H", 0xC6: ">I", 0xD9: ">B", 0xDA: ">H", 0xDB: ">I",
             0xDC: ">H", 0xDD: ">I", 0xDE: ">H", 0xDF: ">I"}
    count = struct.unpack_from(sizes[tag], data, at)[0]
    at += struct.calcsize(sizes[tag])
    if tag in (0xDC, 0xDD):
        return unpack_array(data, at, count)
    if tag in (0xDE, 0xDF):
        return unpack_map(data, at, count)
    return unpack_bytes(data, at, count)


def unpack_bytes(data, at, count):
    return data[at:at + count], at + count


def unpack_array(data, at, count):
    out = []
    for _ in range(count):
        value, at = unpack(data, at)
        out.append(value)
    return out, at


def unpack_map(data, at, count):
    out = {}
    for _ in range(count):
        key, at = unpack(data, at)
        out[key], at = unpack(data, at)
    return out, at


def read_bill(data):
    (vm, run, sequence, team, outcome, lines), _ = unpack(data)
    return {
        "request": f"{vm.decode()}/{run}/{sequence}",
        "team": team.decode(),
        "outcome": OUTCOMES[outcome],
        "lines": [{"version": line[0].decode(), "upstream": line[1].decode(),
                   "prompt_tokens": line[2], "generated_tokens": line[3],
                   "cost": line[4] / 1e6} for line in lines],
        "cost": sum(line[4] for line in lines) / 1e6,
    }


def decode_record(text):
    encoded = text.removeprefix("base64:")
    return base64.urlsafe_b64decode(encoded + "=" * (-len(encoded) % 4))


def read_bills(records):
    """The first bill of each request, by request id; repeated records are dropped."""
    out = {}
    for record in records:
        batch, _ = unpack(decode_record(record))
        for data in batch:
            bill = read_bill(data)
            out.setdefault(bill["request"], bill)
    return out
