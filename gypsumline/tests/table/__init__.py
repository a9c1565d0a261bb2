"""Tests; the layout mirrors the modules."""
