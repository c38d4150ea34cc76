"""Holds an entry back at its start until it can serve what is published."""

from bilberryring.entry.sidecar_links import SidecarLinks
from bilberryring.objects import ObjectSet
from bilberryring.process.loops import make_loop
from bilberryring.telemetry import EventLog

CHECK_SECONDS = 0.1
MAX_CHECKS = 30
"""Checks after which a model or service without an endpoint holds the entry back no
longer. The time is enough for a connection that times out, one more, and a report."""


class StartWait:
    """Waits until each model version and service has an endpoint that takes new work.

    The links open one after the other. A caller that came between two of them would
    be refused, though the other entries could serve it. Once the wait is over, it does
    not begin again: endpoints that fail later fail for all entries.
    """

    def __init__(self, *, reactor, links: SidecarLinks, log: EventLog):
        self._links = links
        self._objects: ObjectSet | None = None
        self._checks_left = MAX_CHECKS
        # Checks are counted rather than seconds: after a pause of this process, what
        # the sidecars have sent meanwhile is read before the wait ends.
        self._loop = make_loop(reactor=reactor, work=self._check, log=log)

    def begin(self, objects: ObjectSet) -> None:
        """Wait for the endpoints of the first set; later sets are not waited for."""
        if self._objects is None:
            self._objects = objects
            self._loop.start(CHECK_SECONDS)

    def is_over(self) -> bool:
        """Return whether callers need not wait for other links any more."""
        if self._objects is None:
            return False
        if self._checks_left and self._can_serve_all(self._objects):
            self._checks_left = 0
        return not self._checks_left

    def _check(self) -> None:
        if self.is_over():
            self._loop.stop()
            return
        self._checks_left -= 1

    def _can_serve_all(self, objects: ObjectSet) -> bool:
        groups = (
            *objects.endpoints_by_version.values(),
            *objects.endpoints_by_service.values(),
        )
        for endpoints in groups:
            wanted = [
                endpoint.name
                for endpoint in endpoints
                if endpoint.failure_domain not in objects.domains_out
            ]
            if wanted and not any(map(self._takes_new_work, wanted)):
                return False
        return True

    def _takes_new_work(self, name: str) -> bool:
        return (
            self._links.record(name) is not None
            and self._links.standing(name).takes_new_work
        )
