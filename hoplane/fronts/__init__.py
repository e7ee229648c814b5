"""Protocol fronts. Each translates requests into the core's events, and the core's effects into responses."""
