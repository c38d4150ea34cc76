"""Decodes published items and applies them to the gateway's fleet state."""

import math

from bilberryring.fleet import (
    LAPSE_HOLD_SECONDS,
    RECOVERY_GRACE_SECONDS,
    AnnouncedEndpoint,
    EndpointId,
    FailureDomain,
    FleetState,
    Replica,
    Revision,
)
from bilberryring.platform.configuration import (
    ContentError,
    decode_configuration,
    decode_endpoint,
)
from bilberryring.platform.names import (
    CONFIGURATION_KEY,
    ENDPOINT_PREFIX,
    EVACUATION_PREFIX,
    OPERATOR_PREFIX,
)
from bilberryring.platform.watch import StoreHealth
from bilberryring.telemetry import EventLog, LogEvent

PREFIXES = (OPERATOR_PREFIX, ENDPOINT_PREFIX)
MAX_LOGGED_KEYS = 16


class Translator:
    """Updates the fleet state from the published keys that changed.

    An entry whose service no configuration has named is no endpoint of the fleet, and
    says nothing of what else runs at its address. It is kept until a configuration
    names its service.

    `on_endpoint_removed` is called with a known endpoint whose announcement was
    removed, unless the announcement may only have lapsed during an outage of the store,
    and `on_endpoint_started` with each run of an endpoint that is announced.
    """

    def __init__(
        self,
        *,
        reactor,
        fleet: FleetState,
        health: StoreHealth,
        log: EventLog,
        on_endpoint_removed,
        on_endpoint_started=lambda endpoint: None,
    ):
        self._reactor = reactor
        self._fleet = fleet
        self._health = health
        self._log = log
        self._on_endpoint_removed = on_endpoint_removed
        self._on_endpoint_started = on_endpoint_started
        self._restored_at = -math.inf
        self._unusable: dict[EndpointId, tuple[str, str]] = {}
        self._of_unknown_services: dict[EndpointId, AnnouncedEndpoint] = {}

    def begin_era(self, prefix: str, replica: Replica) -> None:
        """Note that the store is in a later era, and log what it has lost.

        The first era of a process that knew nothing before is no return.
        """
        latest_lost = replica.position.latest_lost
        if latest_lost == Revision():
            return
        self._restored_at = now = self._reactor.seconds()
        self._fleet.endpoints.hold_lapsed(until=now + RECOVERY_GRACE_SECONDS)
        held = [write.key for write in replica.lost_writes(now=now)]
        self._log.write(
            LogEvent.STORE_RESTORED,
            prefix=prefix,
            era=replica.era,
            revision=replica.revision,
            items=len(replica.items),
            lost_era=latest_lost.era,
            lost_revision=latest_lost.number,
            holds=held[:MAX_LOGGED_KEYS],
            n_holds=len(held),
        )

    def update_fleet(self, replica: Replica, keys: tuple[str, ...]) -> None:
        """Apply the changed keys of one replica to the fleet state.

        The replica counts them as known, so none may be left out for another's fault.
        """
        for key in keys:
            try:
                self._apply(key, replica.value(key))
            except Exception as error:
                self._log.write(LogEvent.INTERNAL_FAULT, key=key, detail=repr(error))
        if any(key.startswith(EVACUATION_PREFIX) for key in keys):
            self._apply_evacuations(replica)

    def expire(self) -> None:
        """Remove lapsed endpoints that were not announced again in time.

        Nothing is removed while the store is unreachable, since no endpoint can then
        renew its announcement.
        """
        if self._health.is_recovering(0.0):
            return
        for endpoint_id in self._fleet.endpoints.expire_lapsed(
            now=self._reactor.seconds()
        ):
            self._log.write(
                LogEvent.ENDPOINT_STANDING_CHANGED,
                endpoint=endpoint_id,
                standing="gone",
            )

    def _apply(self, key: str, value: bytes | None) -> None:
        if key == CONFIGURATION_KEY and value is not None:
            self._apply_configuration(value)
        elif key.startswith(ENDPOINT_PREFIX):
            self._apply_announcement(key, value)

    def _apply_configuration(self, value: bytes) -> None:
        try:
            configuration = decode_configuration(value)
        except ContentError as error:
            if self._fleet.refusal != str(error):
                self._fleet.record_refusal(str(error))
                self._log.write(LogEvent.SET_REFUSED, detail=str(error))
            return
        if self._fleet.put_in_force(configuration):
            self._log.write(
                LogEvent.SET_IN_FORCE,
                version=configuration.version,
                routes=len(configuration.routes),
                keys=len(configuration.workspaces_by_key),
                idle_seconds=configuration.limits.idle_timeout,
            )
            self._announce_of_new_services()

    def _apply_announcement(self, key: str, value: bytes | None) -> None:
        endpoint_id = EndpointId(key.removeprefix(ENDPOINT_PREFIX))
        now = self._reactor.seconds()
        self._of_unknown_services.pop(endpoint_id, None)
        if value is None:
            self._remove(endpoint_id)
            return
        try:
            endpoint = decode_endpoint(key, value, now=now)
        except ContentError as error:
            self._fleet.endpoints.withdraw(endpoint_id, now=now)
            self._log_unusable(endpoint_id, "unreadable", str(error))
            return
        if not self._is_of_known_service(endpoint):
            self._fleet.endpoints.withdraw(endpoint_id, now=now)
            self._of_unknown_services[endpoint_id] = endpoint
            self._log_unusable(endpoint_id, "unknown_service", endpoint.service)
            return
        self._announce(endpoint)

    def _remove(self, endpoint_id: EndpointId) -> None:
        now = self._reactor.seconds()
        known = self._fleet.endpoints.get(endpoint_id)
        is_return = now - self._restored_at < RECOVERY_GRACE_SECONDS
        is_lapse = is_return or self._health.is_recovering(RECOVERY_GRACE_SECONDS)
        hold = RECOVERY_GRACE_SECONDS if is_return else LAPSE_HOLD_SECONDS
        self._fleet.endpoints.withdraw(
            endpoint_id, now=now, is_lapse=is_lapse, hold_seconds=hold
        )
        self._unusable.pop(endpoint_id, None)
        self._log_standing(endpoint_id, "lapsed" if is_lapse else "gone")
        if known is not None and not is_lapse:
            self._on_endpoint_removed(known)

    def _announce(self, endpoint: AnnouncedEndpoint) -> None:
        known = self._fleet.endpoints.get(endpoint.id)
        self._unusable.pop(endpoint.id, None)
        self._fleet.endpoints.announce(endpoint)
        if known is None or known.state is not endpoint.state:
            self._log_standing(endpoint.id, endpoint.state.value)
        if known is None or known.run != endpoint.run:
            self._on_endpoint_started(endpoint)

    def _is_of_known_service(self, endpoint: AnnouncedEndpoint) -> bool:
        """Whether a configuration names the service of an endpoint.

        It is the one in force, or an earlier one if the endpoint was announced then:
        requests may still run there although its service is dropped since.
        """
        configuration = self._fleet.configuration
        if configuration is not None and endpoint.service in configuration.services:
            return True
        known = self._fleet.endpoints.get(endpoint.id)
        return known is not None and known.service == endpoint.service

    def _announce_of_new_services(self) -> None:
        """Announce the endpoints whose service the new configuration names."""
        for endpoint in tuple(self._of_unknown_services.values()):
            if not self._is_of_known_service(endpoint):
                continue
            del self._of_unknown_services[endpoint.id]
            try:
                self._announce(endpoint)
            except Exception as error:
                self._log.write(
                    LogEvent.INTERNAL_FAULT, endpoint=endpoint.id, detail=repr(error)
                )

    def _apply_evacuations(self, replica: Replica) -> None:
        domains = {
            FailureDomain(key.removeprefix(EVACUATION_PREFIX))
            for key in replica.keys
            if key.startswith(EVACUATION_PREFIX)
        }
        self._fleet.endpoints.set_domains_out(domains)
        self._log.write(LogEvent.DOMAINS_OUT, domains=sorted(domains))

    def _log_unusable(self, endpoint: EndpointId, standing: str, detail: str) -> None:
        """Log why an entry names no endpoint, once while that stays the same."""
        if self._unusable.get(endpoint) == (standing, detail):
            return
        self._unusable[endpoint] = (standing, detail)
        self._log_standing(endpoint, standing, detail=detail)

    def _log_standing(self, endpoint: EndpointId, standing: str, **fields) -> None:
        self._log.write(
            LogEvent.ENDPOINT_STANDING_CHANGED,
            endpoint=endpoint,
            standing=standing,
            **fields,
        )
