"""The fronts: each turns a wire's requests into the core's events and its effects into answers."""
