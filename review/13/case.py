"""A new version of the configuration names tenants with letters beyond Latin-1."""

import ast
import asyncio
import re
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from kit3.stand import (  # noqa: E402
    CannotRunError,
    ask,
    configuration,
    entry,
    request_headers,
    route,
    run,
    trouble,
)

ROUTES = [
    route("lookup", "/lookup/", "idempotent", "app"),
    route("booking", "/booking/", "non_idempotent", "app", attempts=1),
]
KEYS = {"key-of-the-first-tenant": 0, "key-of-the-second-tenant": 1}
NAMES = ("Optica Ștefan", "Optica Țtefan") if trouble() else ("hule930", "hule931")
N_REQUESTS = 20


async def play(fleet):
    """Return how the rule was broken."""
    fleet.store.put("op/config", configuration(1, ROUTES, ["app"]))
    address = fleet.new_address()
    await fleet.start_server("--address", address, "--id", "i-1")
    await asyncio.sleep(0.7)
    fleet.store.put("servers/i-1", entry(address, "app"))
    await fleet.start_gateways(2)
    await asyncio.sleep(3.5)
    changed = configuration(4, ROUTES, ["app"])
    changed["tenants"] += [
        {"name": NAMES[number], "api_keys": [key], "priority": 1}
        for key, number in KEYS.items()
    ]
    fleet.store.put("op/config", changed)
    # Later than `config_apply_ms`.
    await asyncio.sleep(3.0)

    expected = {}
    for number in range(N_REQUESTS):
        key = tuple(KEYS)[number % 2]
        path = "lookup" if number % 4 < 2 else "booking"
        name = f"{path}-{number}"
        expected[name] = NAMES[KEYS[key]]
        fleet.record.write(f"client    sends {name} with {key} of {expected[name]}")
        answer = await ask(
            fleet.gateways[number // 2 % 2].front,
            "GET" if path == "lookup" else "POST",
            f"/{path}/whole?ms=20",
            request_headers(name, 3000, key=key),
        )
        fleet.record.write(f"client    {name}: status {answer.status}, {answer.end}")

    found, n_run = [], 0
    for line in fleet.server_lines():
        match = re.search(r" runs (\S+) .* tenant=(.*)$", line)
        if match is None or match[1] not in expected:
            continue
        n_run += 1
        wanted, got = expected[match[1]], ast.literal_eval(match[2])
        if got is None or wanted not in (got, _as_utf_8(got)):
            found.append(
                f"{match[1]}: run for tenant {got!r}, the key is of {wanted!r}"
            )
    # Gateways may refuse the version or its keys, but not what held before.
    before = await ask(
        fleet.gateways[0].front,
        "GET",
        "/lookup/whole?ms=20",
        request_headers("lookup-of-an-earlier-tenant", 3000),
    )
    fleet.record.write(f"client    an earlier tenant: status {before.status}")
    if before.status != 200 or (not n_run and not trouble()):
        raise CannotRunError("no request was run")
    return found


def _as_utf_8(text: str) -> str:
    """Return a header's value, read as Latin-1, as one that was sent in UTF-8."""
    return text.encode("latin-1").decode("utf-8", "replace")


run(play, Path(__file__).parent)
