"""Runs the command line as ``python -m hibiscustiller``."""

from hibiscustiller.cli import main

if __name__ == "__main__":
    main()
