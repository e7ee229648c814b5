"""Leader election for tasks that only one conductor of the fleet runs at a time; see docs/leases.md."""
