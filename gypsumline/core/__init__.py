"""Decisions as pure state machines: no clock, socket or task inside."""
