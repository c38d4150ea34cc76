"""The state of an open link from an entry, or from the lead of a span."""

from dataclasses import dataclass

from bilberryring.sidecar.token_batcher import TokenBatcher
from bilberryring.wire import LinkProtocol


@dataclass(slots=True, kw_only=True, eq=False)
class PeerLink:
    """An open link, the peer's incarnation, and the batcher of tokens sent to it."""

    link: LinkProtocol
    incarnation: str
    batcher: TokenBatcher
