"""What one process believes of the fleet, from what operators published."""

from bilberryring.fleet.configuration import FleetConfiguration
from bilberryring.fleet.endpoints import EndpointList


class FleetState:
    """The configuration in force and the endpoints; versions only go forward."""

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
        """When the published state could last be read, if it cannot be now."""
        return self._stale_since

    @property
    def refusal(self) -> str:
        """Why the last published configuration was refused; empty if it was not."""
        return self._refusal

    def refuse(self, reason: str) -> None:
        """Note that a published configuration cannot be used."""
        self._refusal = reason

    def offer(self, configuration: FleetConfiguration) -> bool:
        """Put a configuration in force if its version is higher."""
        current = self._configuration
        if current is not None and configuration.version < current.version:
            return False
        self._refusal = ""
        if current is not None and configuration.version == current.version:
            return False
        self._configuration = configuration
        return True

    def mark_stale(self, since: float | None) -> None:
        """Note since when the published state cannot be read; `None`: it can."""
        self._stale_since = since
