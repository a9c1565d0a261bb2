"""The entry: HTTP for callers and operators, owner of submissions."""
