"""Published items, turned into what the gateway believes of the fleet."""

from bilberryring.fleet import (
    RETURN_GRACE,
    EndpointId,
    FailureDomain,
    FleetState,
    Replica,
)
from bilberryring.platform.configuration import (
    ContentError,
    decode_configuration,
    decode_endpoint,
)
from bilberryring.platform.names import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    OPERATOR_PREFIX,
    SERVER_PREFIX,
)
from bilberryring.platform.watch import StoreHealth
from bilberryring.telemetry import EventLog, LogEvent

PREFIXES = (OPERATOR_PREFIX, SERVER_PREFIX)


class Translator:
    """Listens to changed keys and brings the fleet's state up to date."""

    def __init__(
        self,
        *,
        reactor,
        fleet: FleetState,
        health: StoreHealth,
        log: EventLog,
        on_gone,
    ):
        self._reactor = reactor
        self._fleet = fleet
        self._health = health
        self._log = log
        self._on_gone = on_gone

    def on_changed(self, replica: Replica, keys: tuple[str, ...]) -> None:
        """Take changed keys of one replica."""
        for key in keys:
            value = replica.value(key)
            if key == CONFIGURATION_KEY and value is not None:
                self._take_configuration(value)
            elif key.startswith(SERVER_PREFIX):
                self._take_server(key, value)
        if any(key.startswith(EVACUATION_PREFIX) for key in keys):
            self._take_domains(replica)

    def expire(self) -> None:
        """Drop endpoints that did not come back after the store did."""
        if self._health.is_returning(0.0):
            return
        for endpoint_id in self._fleet.endpoints.expire_lapsed(
            now=self._reactor.seconds()
        ):
            self._log.write(
                LogEvent.ENDPOINT_STANDING_CHANGED,
                endpoint=endpoint_id,
                standing="gone",
            )

    def _take_configuration(self, value: bytes) -> None:
        try:
            configuration = decode_configuration(value)
        except ContentError as error:
            self._fleet.refuse(str(error))
            self._log.write(LogEvent.SET_REFUSED, detail=str(error))
            return
        if self._fleet.offer(configuration):
            self._log.write(
                LogEvent.SET_IN_FORCE,
                version=configuration.version,
                routes=len(configuration.routes),
                keys=len(configuration.workspaces_by_key),
            )

    def _take_server(self, key: str, value: bytes | None) -> None:
        endpoint_id = EndpointId(key.removeprefix(SERVER_PREFIX))
        now = self._reactor.seconds()
        known = self._fleet.endpoints.get(endpoint_id)
        if value is None:
            is_lapse = self._health.is_returning(RETURN_GRACE)
            self._fleet.endpoints.withdraw(endpoint_id, now=now, is_lapse=is_lapse)
            self._log_standing(endpoint_id, "lapsed" if is_lapse else "gone")
            if known is not None and not is_lapse:
                self._on_gone(known)
            return
        try:
            endpoint = decode_endpoint(key, value, now=now)
        except ContentError as error:
            self._fleet.endpoints.withdraw(endpoint_id, now=now)
            self._log_standing(endpoint_id, "unreadable", detail=str(error))
            return
        self._fleet.endpoints.announce(endpoint)
        if known is None or known.state is not endpoint.state:
            self._log_standing(endpoint_id, endpoint.state.value)

    def _take_domains(self, replica: Replica) -> None:
        domains = {
            FailureDomain(item.key.removeprefix(EVACUATION_PREFIX))
            for item in replica.items
            if item.key.startswith(EVACUATION_PREFIX)
        }
        self._fleet.endpoints.take_out(domains)
        self._log.write(LogEvent.DOMAINS_OUT, domains=sorted(domains))

    def _log_standing(self, endpoint: EndpointId, standing: str, **fields) -> None:
        self._log.write(
            LogEvent.ENDPOINT_STANDING_CHANGED,
            endpoint=endpoint,
            standing=standing,
            **fields,
        )
