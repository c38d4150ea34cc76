"""A configuration entry by entry, as it was written.

`FleetConfiguration` is what gateways use: of two services with one name, or two
workspaces with one key, it keeps one. The entries here show both.
"""

from dataclasses import dataclass, field
from enum import Enum

from bilberryring.fleet import (
    CallerLimits,
    Route,
    Service,
    WorkspaceName,
)


class Section(Enum):
    """The parts of a configuration."""

    VERSION = "version"
    ROUTES = "routes"
    SERVICES = "services"
    WORKSPACES = "workspaces"
    LIMITS = "limits"


@dataclass(frozen=True, slots=True, kw_only=True)
class UnreadableRoute:
    """An entry that is no route; `detail` says why."""

    detail: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ListedWorkspace:
    """A workspace with the digests of its API keys, in the order of the keys.

    The keys themselves are not kept, so that nothing can print them.
    """

    name: WorkspaceName
    priority: int | None
    regions: tuple[str, ...] = ()
    key_digests: tuple[str, ...] = field(default=(), repr=False)


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationListing:
    """All entries of one version of a configuration, in their order.

    Without `workspaces`, which is `None` then, callers need no API key.
    """

    version: int
    routes: tuple[Route | UnreadableRoute, ...]
    services: tuple[Service, ...]
    workspaces: tuple[ListedWorkspace, ...] | None
    limits: CallerLimits

    @property
    def is_readable(self) -> bool:
        """Whether all routes could be read."""
        return not any(isinstance(route, UnreadableRoute) for route in self.routes)
