"""Command line: roles, settings and the HTTP clients."""
