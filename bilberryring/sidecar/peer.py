"""An entry that has an open link to this sidecar."""

from dataclasses import dataclass

from bilberryring.sidecar.token_batcher import TokenBatcher
from bilberryring.wire import LinkProtocol


@dataclass(slots=True, kw_only=True, eq=False)
class PeerLink:
    """The link, the entry's incarnation, and the tokens that go there."""

    link: LinkProtocol
    incarnation: str
    batcher: TokenBatcher
