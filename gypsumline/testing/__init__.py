"""Stand-ins for external systems, for tests and benchmarks on loopback."""
