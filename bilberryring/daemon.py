"""The program `bilberryringd`, which runs an entry, a sidecar or a gateway."""

from bilberryring.process.early_signals import PROCESS_SIGNALS


def main() -> None:
    """Take the signals of the process, and run the command of its arguments."""
    PROCESS_SIGNALS.install()
    # These imports take most of the start, during which signals may come.
    from bilberryring.process.collection import no_collection

    with no_collection():
        from bilberryring.commands import run

    run()


if __name__ == "__main__":
    main()
