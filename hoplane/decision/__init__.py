"""The decision module: no I/O, integer nanoseconds."""
