"""Entry point of ``python -m orchidlane``."""

from orchidlane.cli import main

main()
