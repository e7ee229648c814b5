"""Stand-ins, fault injection and benchmarks for development; see docs/lab.md."""
