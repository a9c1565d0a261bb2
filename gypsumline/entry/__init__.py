"""The entry: HTTP for callers and operators, key ownership and placement."""
