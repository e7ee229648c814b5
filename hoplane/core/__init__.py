"""The core: state of requests, attempts, reservations and the fleet, without I/O or wire formats.

The reducer (`reducer.py`) turns events into effects and alone changes the state (`state.py`). Whether a
prompt is read locally or by a reader, and on which endpoint, is decided in `decision/router.py`, and so are
retries, load shedding and outlier ejection; the reducer carries the router's actions out. `permits.py` checks
a send, a retry, a response or a close again, at the moment that it happens. `timers.py` has the reducer's
timers, `pacing.py` times discovery calls, `release.py` orders release calls, and `handover.py` decides which
process drains. Limits of connections, memory and request size are enforced in `net/` and `fronts/`.
"""
