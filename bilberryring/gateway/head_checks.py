"""Decisions on a request with a body before the body arrives."""

from bilberryring.core import ErrorCode, ServingError
from bilberryring.gateway.caller_site import CallerExchange
from bilberryring.gateway.refusals import not_run
from bilberryring.gateway.request_context import HeaderCodec
from bilberryring.gateway.request_gate import RequestGate
from bilberryring.http import CheckHead


def caller_head_check(*, codec: HeaderCodec, gate: RequestGate) -> CheckHead:
    """Return the check of requests on the callers' listener: route and API key."""

    def check(exchange: CallerExchange) -> ServingError | None:
        try:
            metadata = codec.decode_request_headers(exchange.read_headers())
            gate.check_head(exchange.uri, metadata)
        except ServingError as error:
            # The traceback would keep what was read with the head.
            return error.with_traceback(None)
        return None

    return check


def refuse_body(exchange: CallerExchange) -> ServingError:
    """Refuse the body of a request on a listener whose requests have none."""
    return not_run(ErrorCode.BODY_TOO_LARGE)
