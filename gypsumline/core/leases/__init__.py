"""Best-effort submissions, whose runs hold a lease and may be repeated."""
