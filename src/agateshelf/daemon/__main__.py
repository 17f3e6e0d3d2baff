"""The daemon's command, which handles signals before it imports the rest."""

import importlib

from agateshelf.daemon import early_signals


def main() -> None:
    """Run one entry of agateshelf until it is asked to stop."""
    early_signals.install()
    importlib.import_module("agateshelf.daemon.early_imports").prepare()
    importlib.import_module("agateshelf.daemon.main").main()


if __name__ == "__main__":
    main()
