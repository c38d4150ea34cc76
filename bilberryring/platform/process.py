"""The program that runs a gateway on the operators' platform."""

from bilberryring.process.early_signals import PROCESS_SIGNALS


def main() -> None:
    """Take the signals of the process, and run the gateway."""
    PROCESS_SIGNALS.install()
    # These imports take most of the start, during which signals may come.
    from bilberryring.process.collection import no_collection

    with no_collection():
        from bilberryring.platform.gateway_process import run_gateway

    run_gateway()


if __name__ == "__main__":
    main()
