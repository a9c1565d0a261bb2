"""An agent's slots, journal and results."""
