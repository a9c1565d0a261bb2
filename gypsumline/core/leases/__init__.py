"""Best-effort submissions: runs under a lease that may start again."""
