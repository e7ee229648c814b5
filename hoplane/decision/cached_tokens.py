"""Estimates how many tokens of a prompt a reader does not have cached, as seen by one router. No I/O."""

from __future__ import annotations

from .state import DecayingCounter, Job, MovingAverage, Server, drop_older_than, limit_entries

DEFAULT_UNREAD_SHARE = 0.5  # of the tokens not known to be cached, until reads have been observed
PREFIX_WINDOW = 120_000_000_000  # for which a prefix that was read counts as cached somewhere
AVERAGE_WEIGHT = 0.1  # of a new read in the averages
CacheEvidence = tuple[bool, bool, bool, bool]


class CachedTokensEstimator:
    """Estimates the tokens that a reader must read, corrected by the results of finished reads.

    A router knows only the sessions and prefixes of requests that it sent itself. Readers also cache those of
    other routers, and those that this one sent before its restart. Counting all unknown tokens as unread
    would therefore overestimate them by a factor of two to three. There is a correction per kind of evidence,
    as a prefix that nobody has read yet is read in full.

    If `pessimistic`, all tokens that are not known to be cached count as unread. That is right where a
    refusal tells the client when to retry and so costs little; a refusal without that advice mostly loses the
    request.
    """

    def __init__(self, pessimistic: bool) -> None:
        self.pessimistic = pessimistic
        # Estimated tokens and tokens read.
        self.averages: dict[CacheEvidence, tuple[MovingAverage, MovingAverage]] = {}
        # Prefixes read at any reader, least recently read first.
        self.recent_prefixes: dict[str, DecayingCounter] = {}

    def evidence(self, job: Job, server: Server) -> CacheEvidence:
        """Return whether session and prefix were read here, and whether either was read anywhere."""
        session_record, prefix = job.session_record, job.request.prefix or ""
        same_reader = (
            session_record is not None
            and session_record.reader == server.entry.server
            and session_record.updated_at >= server.reads_valid_since
        )
        prefix_cached = prefix in server.cached_prefixes
        return (
            same_reader,
            prefix_cached,
            session_record is not None,
            prefix_cached or prefix in self.recent_prefixes,
        )

    def known_unread_tokens(self, job: Job, server: Server) -> int:
        """Return the number of tokens that are not known to be cached."""
        return self.remaining_tokens(job, self.evidence(job, server))

    @staticmethod
    def remaining_tokens(job: Job, evidence: CacheEvidence) -> int:
        """Return the tokens of a prompt that are not cached according to the evidence."""
        same_reader, prefix_cached, _, _ = evidence
        cached_prefix_tokens = job.request.prefix_tokens if prefix_cached else 0
        return max(
            0,
            job.request.prompt_tokens
            - max(cached_prefix_tokens, job.session_record.read_tokens if same_reader else 0),
        )

    def unread_tokens(self, job: Job, server: Server) -> int:
        """Estimate the tokens that the server has yet to read."""
        evidence = self.evidence(job, server)
        share = 1.0 if self.pessimistic or evidence[2] else DEFAULT_UNREAD_SHARE
        if evidence in self.averages and not self.pessimistic:
            estimated, read = self.averages[evidence]
            share = min(1.0, read.value / max(1.0, estimated.value))
        return round(self.remaining_tokens(job, evidence) * share)

    def observe_read(self, job: Job, server: Server, read: int, now: int) -> None:
        """Update the averages from a finished read.

        Must be called before the server's `cached_prefixes` are updated with this read.
        """
        evidence = self.evidence(job, server)
        pair = self.averages.setdefault(evidence, (MovingAverage(), MovingAverage()))
        for mean, sample in zip(pair, (self.remaining_tokens(job, evidence), read), strict=True):
            mean.add(sample, AVERAGE_WEIGHT)
        prefix = job.request.prefix or ""
        self.recent_prefixes.pop(prefix, None)
        self.recent_prefixes[prefix] = DecayingCounter(PREFIX_WINDOW, updated_at=now)
        drop_older_than(self.recent_prefixes, now - PREFIX_WINDOW)
        limit_entries(self.recent_prefixes)
