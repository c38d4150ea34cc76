"""Findings of a validation: codes with a severity and a remedy, and locations."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from types import MappingProxyType

from bilberryring.objects import FindingCode as ObjectFindingCode

MAX_SHOWN_CHARS = 300
"""Characters of a name or message that are printed; a name may have 4,096."""
NO_NAMES: Mapping[str, str] = MappingProxyType({})
"""The names of a format whose fields have the names of this package."""


class Severity(Enum):
    """How severe a finding is.

    With an error a configuration is refused, or requests fail; with a warning it
    works, but a part of it has no effect or is probably not what was meant.
    """

    ERROR = "error"
    WARNING = "warning"


class FindingCode(Enum):
    """The problems that are found in a configuration.

    A member's value is the stable code; `remedy` says what operators can do.
    """

    def __new__(cls, value: str, severity: Severity, remedy: str):
        member = object.__new__(cls)
        member._value_ = value
        member.severity = severity
        member.remedy = remedy
        return member

    INPUT_UNREADABLE = (
        "input_unreadable",
        Severity.ERROR,
        "name a readable file within the size limit",
    )
    CONFIGURATION_UNREADABLE = (
        "configuration_unreadable",
        Severity.ERROR,
        "correct the JSON or the named field; gateways refuse the whole configuration",
    )
    ROUTE_UNREADABLE = (
        "route_unreadable",
        Severity.ERROR,
        "correct the named field; gateways refuse the whole configuration",
    )
    ROUTE_SHADOWED = (
        "route_shadowed",
        Severity.ERROR,
        "remove one of the two routes, or change its host or prefix",
    )
    HOST_IMPOSSIBLE = (
        "host_impossible",
        Severity.ERROR,
        "write the host as callers send it: a name or address, and a port if they "
        "send one; there are no wildcards",
    )
    PREFIX_IMPOSSIBLE = (
        "prefix_impossible",
        Severity.ERROR,
        "begin and end the prefix with a slash, and write it as callers send it, in "
        "printable ASCII without a query",
    )
    WEIGHTS_ALL_ZERO = (
        "weights_all_zero",
        Severity.ERROR,
        "give at least one service of the route a weight above 0",
    )
    SERVICE_MISSING = (
        "service_missing",
        Severity.ERROR,
        "add the service, or name an existing one",
    )
    SERVICE_UNUSED = (
        "service_unused",
        Severity.WARNING,
        "name the service in a route, or remove it",
    )
    NAME_REPEATED = (
        "name_repeated",
        Severity.WARNING,
        "give each route and each workspace its own name",
    )
    NAME_NOT_ASCII = (
        "name_not_ascii",
        Severity.WARNING,
        "check that endpoints read the name of a workspace as UTF-8, or use ASCII",
    )
    SERVICE_REPEATED = (
        "service_repeated",
        Severity.ERROR,
        "keep one entry for each service; gateways use only the last one",
    )
    KEY_OF_TWO_WORKSPACES = (
        "key_of_two_workspaces",
        Severity.ERROR,
        "leave the key in one workspace; gateways use only the last one",
    )
    WORKSPACE_WITHOUT_KEYS = (
        "workspace_without_keys",
        Severity.WARNING,
        "give the workspace a key, or remove it",
    )
    TIMEOUT_BELOW_OBJECTIVE = (
        "timeout_below_objective",
        Severity.ERROR,
        "raise the timeout above the latency objective, or lower the objective",
    )
    GAP_ABOVE_TIMEOUT = (
        "gap_above_timeout",
        Severity.WARNING,
        "lower the gap objective below the timeout, or raise the timeout",
    )
    ATTEMPTS_ABOVE_ENDPOINTS = (
        "attempts_above_endpoints",
        Severity.WARNING,
        "lower the number of attempts, or start more endpoints",
    )
    ATTEMPTS_NOT_REPEATABLE = (
        "attempts_not_repeatable",
        Severity.WARNING,
        "set 1 attempt, or declare that requests of the route may be repeated",
    )
    IDLE_BELOW_HEADER_TIMEOUT = (
        "idle_below_header_timeout",
        Severity.WARNING,
        "raise the idle timeout to the header timeout, or lower the latter",
    )
    BODY_BELOW_HEADER_LIMIT = (
        "body_below_header_limit",
        Severity.WARNING,
        "raise the limit on bodies, or lower the one on headers",
    )
    REGIONS_DISJOINT = (
        "regions_disjoint",
        Severity.WARNING,
        "allow a common region, unless these workspaces must not use the route",
    )
    REGIONS_NOT_COMPARED = (
        "regions_not_compared",
        Severity.WARNING,
        "use fewer different lists of regions",
    )
    VERSION_NOT_HIGHER = (
        "version_not_higher",
        Severity.ERROR,
        "raise the version above the one in force; gateways keep the higher one",
    )
    IN_FORCE_UNKNOWN = (
        "in_force_unknown",
        Severity.WARNING,
        "check again when the store can be reached, or name a file with the version "
        "in force",
    )
    SERVICE_WITHOUT_ENDPOINTS = (
        "service_without_endpoints",
        Severity.WARNING,
        "publish an endpoint of the service, or delete the service",
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class Location:
    """Where a finding is: a section, an entry of it, and a field.

    Empty parts are left out; `index` is `None` if the section is no list. A name that
    operators chose is in `name`; the other texts are those of this package.

    >>> Location(section="routes", index=2, name="chat", field="timeout").text()
    'routes[2]:chat:timeout'
    """

    section: str = ""
    index: int | None = None
    name: str = ""
    field: str = ""

    def text(self, *, names: Mapping[str, str] = NO_NAMES) -> str:
        """Return the location as text; `names` are the format's names of fields."""
        entry = names.get(self.section, self.section)
        if self.index is not None:
            entry += f"[{self.index}]"
        parts = (entry, self.name, names.get(self.field, self.field))
        return ":".join(printable(part) for part in parts if part)


@dataclass(frozen=True, slots=True, kw_only=True)
class Finding:
    """One problem of a configuration or of a set of objects."""

    code: FindingCode | ObjectFindingCode
    severity: Severity
    location: Location
    message: str
    file: str = ""

    @property
    def remedy(self) -> str:
        """What operators can do."""
        return self.code.remedy

    def text(self, *, names: Mapping[str, str] = NO_NAMES) -> str:
        """Return the finding as one line; that of a warning begins with its severity.

        >>> Finding(
        ...     code=FindingCode.SERVICE_UNUSED,
        ...     severity=Severity.WARNING,
        ...     location=Location(section="services", index=0, name="orders"),
        ...     message="no route leads to it",
        ... ).text().partition(" Remedy")[0]
        'warning: service_unused: services[0]:orders: no route leads to it.'
        """
        parts = (printable(self.file), self.location.text(names=names))
        place = ":".join(part for part in parts if part)
        prefix = "warning: " if self.severity is Severity.WARNING else ""
        message = printable(self.message)
        return f"{prefix}{self.code.value}: {place}: {message}. Remedy: {self.remedy}."


def make_finding(code: FindingCode, location: Location, message: str) -> Finding:
    """Return a finding with the severity of its code."""
    return Finding(
        code=code, severity=code.severity, location=location, message=message
    )


def printable(text: str) -> str:
    """Return a text on one line, without control characters, and not too long.

    >>> printable("a\\x1b[2J\\nb")
    'a?[2J?b'
    """
    shown = text[: MAX_SHOWN_CHARS + 1]
    if not shown.isprintable():
        shown = "".join(char if char.isprintable() else "?" for char in shown)
    if len(shown) > MAX_SHOWN_CHARS:
        return shown[:MAX_SHOWN_CHARS] + "..."
    return shown
