"""Tests of the validated HTTP bodies."""
