"""Responses that are still received, by the address of the endpoint that sends them.

A connection to an endpoint that vanished without a reset stays open and silent, also
after the endpoint has started again. Nothing here does I/O.
"""

from bilberryring.fleet import AnnouncedEndpoint
from bilberryring.gateway.endpoint_connection import EndpointResponse


class OpenResponses:
    """The responses of all attempts that are in progress."""

    def __init__(self):
        self._endpoints: dict[str, dict[EndpointResponse, AnnouncedEndpoint]] = {}

    def add(self, endpoint: AnnouncedEndpoint, response: EndpointResponse) -> None:
        """Add the response of a run of an endpoint; it must be removed at its end."""
        self._endpoints.setdefault(endpoint.address, {})[response] = endpoint

    def remove(self, endpoint: AnnouncedEndpoint, response: EndpointResponse) -> None:
        """Remove a response, if it was added."""
        responses = self._endpoints.get(endpoint.address, {})
        responses.pop(response, None)
        if not responses:
            self._endpoints.pop(endpoint.address, None)

    def abort_earlier(self, endpoint: AnnouncedEndpoint) -> int:
        """Abort the responses of earlier runs at an endpoint's address.

        A run is earlier if both state when they started, which a step of the clock
        can disguise. Returns the number of responses that were aborted.
        """
        responses = self._endpoints.get(endpoint.address, {})
        earlier = [
            response
            for response, sender in responses.items()
            if 0 < sender.started_at_ms < endpoint.started_at_ms
        ]
        for response in earlier:
            response.abort()
        return len(earlier)
