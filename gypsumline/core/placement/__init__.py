"""Placement of tasks on upstreams."""
