"""Validated HTTP bodies, shared by entries and agents."""
