"""Benchmarks, simulations and fault injection."""
