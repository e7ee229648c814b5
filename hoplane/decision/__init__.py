"""The decision module: routing decisions without I/O, in integer nanoseconds."""
