"""The program that runs a gateway on the operators' platform."""

from collections.abc import Callable

from bilberryring.platform.early_start import open_caller_listener
from bilberryring.process.early_signals import PROCESS_SIGNALS


def main() -> None:
    """Take the signals and the callers of the process, and run the gateway."""
    PROCESS_SIGNALS.install()
    early_listener = open_caller_listener()
    run_gateway = import_gateway()
    run_gateway(early_listener)


def import_gateway() -> Callable[..., None]:
    """Import the gateway with as little memory as possible; return its function.

    These imports take most of the start, during which signals and callers may come.
    """
    from bilberryring.process.collection import no_collection
    from bilberryring.process.library_imports import needed_modules_only

    with no_collection(), needed_modules_only():
        from bilberryring.platform.gateway_process import run_gateway

    return run_gateway


if __name__ == "__main__":
    main()
