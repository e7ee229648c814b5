"""How much of a prompt a reader has yet to read, as far as one router can tell. No I/O, no clock."""

from __future__ import annotations

from .state import Job, Mean, Rate, Server, drop_before

UNKNOWN = 0.5  # part of a guess that is read, until reads have told: who has just started knows little
SPAN = 120_000_000_000  # how long a beginning that was read counts as seen
WEIGHT = 0.1  # of a new read in the averages
Known = tuple[bool, bool, bool, bool]


class Kept:
    """Guesses what a reader has to read, and learns from finished reads how far the guess was out.

    A router knows of a session's earlier turns, and of shared beginnings read, only what went through itself.
    What others sent, or it sent before its own restart, is kept at readers all the same: where it knows
    nothing, the whole prompt is a guess two to three times too high. The cases are kept apart, as a beginning
    that nobody has read yet is read whole.

    With `wary` the guess stays at the worst case: right where a refusal tells the client when to come back,
    and so costs little, while a refusal that cannot tell it is mostly the request's end."""

    def __init__(self, wary: bool) -> None:
        self.wary = wary
        self.means: dict[Known, tuple[Mean, Mean]] = {}  # tokens guessed and tokens read
        self.seen: dict[str, Rate] = {}  # beginnings that we had read anywhere, least lately first

    def known(self, job: Job, server: Server) -> Known:
        """Tell what we know: the session's read state here, its beginning here, and either one anywhere."""
        row, prefix = job.row, job.request.prefix or ""
        ours = row is not None and row.reader == server.entry.server and row.at >= server.read_since
        here = prefix in server.prefixes
        return ours, here, row is not None, here or prefix in self.seen

    def raw(self, job: Job, server: Server) -> int:
        """Give the tokens that we do not know to be kept."""
        return self.left(job, self.known(job, server))

    @staticmethod
    def left(job: Job, known: Known) -> int:
        """Give the tokens that are left of a prompt by what we know."""
        ours, here, _, _ = known
        kept = job.request.prefix_len if here else 0
        return max(0, job.request.prompt_tokens - max(kept, job.row.read if ours else 0))

    def unread(self, job: Job, server: Server) -> int:
        """Guess the tokens that the server has yet to read."""
        known = self.known(job, server)
        part = 1.0 if self.wary or known[2] else UNKNOWN
        if known in self.means and not self.wary:
            guessed, read = self.means[known]
            part = min(1.0, read.value / max(1.0, guessed.value))
        return round(self.left(job, known) * part)

    def learn(self, job: Job, server: Server, read: int, now: int) -> None:
        """Take in what a finished read had to read, before the server's own record of it is renewed."""
        known = self.known(job, server)
        pair = self.means.setdefault(known, (Mean(), Mean()))
        for mean, sample in zip(pair, (self.left(job, known), read), strict=True):
            mean.add(sample, WEIGHT)
        prefix = job.request.prefix or ""
        self.seen.pop(prefix, None)
        self.seen[prefix] = Rate(SPAN, at=now)
        drop_before(self.seen, now - SPAN)
