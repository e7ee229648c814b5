"""The core: requests, attempts, holds and the fleet, with no I/O and no wire."""
