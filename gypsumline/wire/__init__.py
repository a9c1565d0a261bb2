"""Frames and connections between the system's processes."""
