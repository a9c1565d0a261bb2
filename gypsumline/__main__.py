"""Runs the command line: `python -m gypsumline`."""

from gypsumline.cli.main import main

if __name__ == "__main__":
    main()
