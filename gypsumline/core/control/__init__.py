"""Control state: evidence, acceptance, membership, ownership readiness."""
