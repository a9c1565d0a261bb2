"""Tests of leased submissions."""
