"""Leases for tasks that one conductor of the fleet does at a time; see docs/leases.md."""
