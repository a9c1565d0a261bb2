"""Frames and connections between the processes of the system."""
