"""Network layer: performs the reducer's effects on sockets and feeds the resulting events back to it.

Endpoints, retries, load shedding and ejections are chosen in `decision/router.py`; `core/permits.py` checks
each send again, and `pool.py` (`SendGate`) calls it as bytes are handed to the system.

Refused here are client connections over the limit (`http_server.py`), request bodies that are too large
or exceed the memory budget (`server.py`, called by `fronts/`), and new sockets over the pool's share of the
descriptors (`pool.py`).

`runtime.py` runs one conductor, `relay.py` passes responses on, `releases.py` makes release calls,
`discovery.py` watches endpoint lists, and `handover.py` exchanges heartbeats with the other processes on an
inherited socket.
"""
