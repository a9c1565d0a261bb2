"""Submissions and their owner."""
