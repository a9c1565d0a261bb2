"""Dispatcher for sub-second tasks, and a library of coordination parts."""

__version__ = "0.1.0"
