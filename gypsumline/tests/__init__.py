"""Tests, in the same layout as the modules."""
