"""One process's view of the fleet, from what operators and endpoints published."""

from bilberryring.fleet.configuration import FleetConfiguration
from bilberryring.fleet.endpoints import EndpointList


class FleetState:
    """The configuration in force and the endpoints.

    A configuration is only ever replaced with one of a higher version.
    """

    def __init__(self):
        self._configuration: FleetConfiguration | None = None
        self._endpoints = EndpointList()
        self._stale_since: float | None = None
        self._refusal = ""

    @property
    def configuration(self) -> FleetConfiguration | None:
        """The configuration in force, or `None` before the first one."""
        return self._configuration

    @property
    def endpoints(self) -> EndpointList:
        """The announced endpoints."""
        return self._endpoints

    @property
    def stale_since(self) -> float | None:
        """The time since which reads have failed; `None` while the view is current."""
        return self._stale_since

    @property
    def refusal(self) -> str:
        """Why the last published configuration was refused; empty if it was not."""
        return self._refusal

    def record_refusal(self, reason: str) -> None:
        """Record why a published configuration cannot be used."""
        self._refusal = reason

    def put_in_force(self, configuration: FleetConfiguration) -> bool:
        """Put a configuration in force if its version is higher; return whether it was.

        The current version itself only clears a recorded refusal.
        """
        current = self._configuration
        if current is not None and configuration.version < current.version:
            return False
        self._refusal = ""
        if current is not None and configuration.version == current.version:
            return False
        self._configuration = configuration
        return True

    def set_stale_since(self, since: float | None) -> None:
        """Record since when reads have failed; `None` marks the view as current."""
        self._stale_since = since
