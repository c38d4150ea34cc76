"""Entries that another writer left among those of the endpoints."""

import json

LEVELS = 200_000
ENTRY = {
    "service": "orders",
    "address": "127.0.0.1:1",
    "zone": "north",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_remaining_ms": 0,
    "sequence": 1,
    "born": 1_700_000_000_000,
}
NUMBERS = {
    "negative": "-1",
    "fraction": "1.5",
    "above_64_bits": str(2**70),
    "400_digits": "9" * 400,
    "5000_digits": "9" * 5_000,
    "power": "1e400",
    "large_power": "1e300",
    "nan": "NaN",
    "infinite": "Infinity",
    "bool": "true",
    "null": "null",
    "text": '"8"',
    "list": "[8]",
    "nested": "[" * LEVELS + "]" * LEVELS,
}
WHOLE_FIELDS = ("slots", "born", "sequence")
ADDRESSES = {
    "empty": "",
    "no_port": "127.0.0.1",
    "empty_port": "127.0.0.1:",
    "no_host": ":80",
    "port_0": "127.0.0.1:0",
    "port_65536": "127.0.0.1:65536",
    "port_5000_digits": "127.0.0.1:" + "9" * 5_000,
    "negative_port": "127.0.0.1:-1",
    "superscript_port": "127.0.0.1:8\u00b2",
    "other_digits": "127.0.0.1:\u0661\u0662",
    "spaced": " 127.0.0.1:80",
    "spaced_port": "127.0.0.1: 80",
    "line_break": "127.0.0.1\r\nX: y:80",
    "line_end": "127.0.0.1:80\n",
    "nul": "127.0.0.1\0:80",
    "ipv6": "::1:80",
    "ipv6_in_brackets": "[::1]:80",
    "octet_256": "127.0.0.256:80",
    "name": "no such host:80",
    "letters": "h\u00f4te\u6771:80",
    "long": "x" * 1_000_000 + ":80",
}


def with_field(name: str, text: str) -> bytes:
    """Return an entry with one field replaced by a JSON text."""
    others = json.dumps({key: ENTRY[key] for key in ENTRY if key != name})
    return f'{others[:-1]}, "{name}": {text}}}'.encode()


def without_field(name: str) -> bytes:
    """Return an entry that lacks one field."""
    return json.dumps({key: ENTRY[key] for key in ENTRY if key != name}).encode()


ODD_ENTRIES: dict[str, bytes] = {
    **{
        f"{field}_{name}": with_field(field, text)
        for field in WHOLE_FIELDS
        for name, text in NUMBERS.items()
    },
    **{
        f"cold_{name}": with_field("cold_remaining_ms", text)
        for name, text in NUMBERS.items()
        if name != "fraction"
    },
    **{
        f"address_{name}": with_field("address", json.dumps(text))
        for name, text in ADDRESSES.items()
    },
    **{
        f"{field}_{name}": with_field(field, text)
        for field in ("service", "zone", "state", "address")
        for name, text in (
            ("number", "7"),
            ("bool", "true"),
            ("null", "null"),
            ("list", '["orders"]'),
            ("object", "{}"),
        )
    },
    **{
        f"no_{field}": without_field(field)
        for field in ("service", "address", "zone", "slots", "state")
    },
    "state_unknown": with_field("state", '"dreaming"'),
    "zone_1_mb": with_field("zone", json.dumps("z" * 1_000_000)),
    "service_1_mb": with_field("service", json.dumps("s" * 1_000_000)),
    "nested_elsewhere": with_field("other", "[" * LEVELS + "]" * LEVELS),
    "nested_objects": with_field("other", '{"a":' * LEVELS + "1" + "}" * LEVELS),
    "unfinished": b'{"service": "orders"',
    "two_values": json.dumps(ENTRY).encode() * 2,
    "no_json": b"\xff\xfe",
    "byte_order_mark": b"\xef\xbb\xbf" + json.dumps(ENTRY).encode(),
    "utf_16": json.dumps(ENTRY).encode("utf-16"),
    "broken_utf_8": with_field("zone", '"%s"').replace(b"%s", b"\xc3\x28"),
    "lone_surrogate": with_field("zone", '"\\ud800"'),
    "empty": b"",
    "empty_list": b"[]",
    "number": b"7",
}
"""Entries by what is wrong with them."""
ODD_IDS = ["", " ", "a b", "a\r\nX: y", "a\0", "\u6771", "h\u00f4te", "a\t"]
"""Names of endpoints that no header can carry, or only with changes."""
