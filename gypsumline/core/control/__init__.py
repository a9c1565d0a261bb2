"""Control state: evidence, acceptance, membership and readiness."""
