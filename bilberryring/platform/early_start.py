"""What a gateway does before its imports: it opens the listener for callers.

Faulty settings are reported by the start itself, which reads them again.
"""

import os
import tomllib

from bilberryring.platform.names import SETTINGS_VARIABLE
from bilberryring.process.early_listener import EarlyListener, failed, open_early


def open_caller_listener() -> EarlyListener:
    """Open the listener for callers unless a peer of the settings is found to serve."""
    try:
        with open(os.environ[SETTINGS_VARIABLE], "rb") as file:
            settings = tomllib.load(file)
        listen = settings["listen"]
        own_address = _address(listen["front"])
        ready_port = _address(listen["ready"])[1]
        seed_hosts = {seed.rpartition(":")[0] for seed in settings.get("seeds", ())}
        return open_early(
            own_address,
            ready_addresses=[
                (host, ready_port) for host in seed_hosts - {own_address[0]}
            ],
        )
    except (OSError, ValueError, LookupError, TypeError, AttributeError) as error:
        return failed(error)


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)
