"""Benchmarks and fault runs."""
