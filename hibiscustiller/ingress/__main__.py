"""Entry point of the daemon, run as ``python -m hibiscustiller.ingress``.

It is separate from the command line interface, which would take twice the memory.
"""

import signal


def main() -> None:
    """Run the daemon.

    Importing its packages takes some tenths of a second. A SIGHUP meanwhile needs no
    action, since the settings are read later; its default action ends the process.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from hibiscustiller.ingress._daemon import main as run

    run()


if __name__ == "__main__":
    main()
