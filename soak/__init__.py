"""Fault soak: runs the programs as processes and injects faults."""
