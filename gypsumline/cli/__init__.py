"""Command line: processes, settings and clients of the HTTP interface."""
