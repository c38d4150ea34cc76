"""Addresses of an IPv4 host and a port."""

import re

ADDRESS_PATTERN = re.compile(
    r"(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})\Z", re.ASCII
)
MAX_PORT = 65535
MAX_OCTET = 255


def is_address(value: str) -> bool:
    """Return whether `value` is an IPv4 address and a port, separated by a colon.

    >>> is_address("127.0.0.1:9000"), is_address("localhost:9000")
    (True, False)
    """
    found = ADDRESS_PATTERN.match(value)
    if found is None:
        return False
    octets = [int(octet) for octet in found.groups()[:4]]
    port = int(found.group(5))
    return max(octets) <= MAX_OCTET and 0 < port <= MAX_PORT
