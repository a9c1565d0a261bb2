"""Control state: evidence, acceptance, membership and tenure."""
