"""``python -m orchidlane``."""

from .cli import main

main()
