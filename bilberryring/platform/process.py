"""The program that runs a gateway on the operators' platform."""

from bilberryring.platform.early_start import open_caller_listener
from bilberryring.process.early_signals import PROCESS_SIGNALS


def main() -> None:
    """Take the signals and the callers of the process, and run the gateway."""
    PROCESS_SIGNALS.install()
    early_listener = open_caller_listener()
    # These imports take most of the start, during which signals and callers may come.
    from bilberryring.process.collection import no_collection

    with no_collection():
        from bilberryring.platform.gateway_process import run_gateway

    run_gateway(early_listener)


if __name__ == "__main__":
    main()
