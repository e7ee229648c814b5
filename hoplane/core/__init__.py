"""The core: state of requests, attempts, reservations and the fleet, without I/O or wire formats."""
