"""One mechanism of the system with the test that guards it."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Mechanism:
    """A source text that implements a mechanism, and the test that guards it.

    In `module`, a path below the package, the text `present` is replaced by `absent`
    to remove the mechanism. `test` is the pytest id of the test.
    """

    name: str
    module: str
    present: str
    absent: str
    test: str
