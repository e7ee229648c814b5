"""The decision module: routing decisions without I/O, in integer nanoseconds.

`Router.handle` in `router.py` takes each event and returns actions. These functions decide:

- Local or remote read: `local_writer`, once at arrival; `fallback_writers` if readers are congested.
- Choice of server: `rank_readers` (hash ring, session, backlog) and `rank_writers` (by `cost`).
- Retry: `continue_request` and `start_next_attempt`, within the limits of `may_attempt`.
- Load shedding: `would_be_late` and `no_server_in_time`; `finish` chooses between refused and failed.
- Outlier ejection: `record_failure`, `on_probe_result` and `sweep` find faults, and `eject` acts on them.
- Slow start of cold servers: `SlowStart.allows_send`, checked by `send` for each attempt.
"""
