"""The entry: callers' and operators' HTTP, ownership and placement."""
