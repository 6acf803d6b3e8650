"""Which life of a store's member counts. No I/O.

Guards the log against a file that was copied back, and against a name used twice: a member that votes by a
file that has forgotten what it promised can have two leaders elected in one term (Ongaro, "Consensus", 2014,
3.8: what a server has promised must outlive it). So each start of a member is a life: a number that its
file counts up, and a tag drawn at random. Every member keeps the latest life of each other one in its own
file, and tells what it knows with each message.

- A life with a lower number than the latest one known is that of an earlier copy of the file.
- Two tags with one number are two processes, or a start on a copy: neither counts any more.
- Who has said that its log reaches an index, and whose log is shorter in the next life, has lost a promise.

What does not count is not heard, and is told so; its file then says so for good, so that starting it again
and again does not count it up to where it would be heard. What is left open is in docs/store.md.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

TAG_MOST = 2**31


@dataclass(frozen=True, slots=True, order=True)
class Life:
    """One start of a member. `tag` 0: this number and all below it are over."""

    number: int
    tag: int


OVER = 0


class Lives:
    """What one member knows of the others' lives. `save` is called before anything rests on a change."""

    def __init__(self, known: dict[str, Life], save: Callable[[dict[str, Life]], None]) -> None:
        self.known = known
        self.save = save

    def counts(self, name: str, life: Life) -> bool:
        """Whether a member's word counts, in the life that it tells. Raises OSError with nothing changed."""
        return self._learn(name, life) and self.known[name] == life

    def heard(self, told: Iterable[tuple[str, Life]]) -> None:
        """What another member knows. Raises OSError with nothing changed."""
        for name, life in told:
            self._learn(name, life)

    def end(self, name: str, life: Life) -> None:
        """A member's life has broken a promise: it is over. Raises OSError with nothing changed."""
        if self.known.get(name) == life:
            self._keep(name, Life(life.number, OVER))

    def _learn(self, name: str, life: Life) -> bool:
        known = self.known.get(name)
        if known is None or life.number > known.number:
            self._keep(name, life)
        elif life.number == known.number and life.tag != known.tag != OVER:
            self._keep(name, Life(life.number, OVER))  # two of one number, or somebody's word that it is over
        return life.number >= self.known[name].number

    def _keep(self, name: str, life: Life) -> None:
        changed = {**self.known, name: life}
        self.save(changed)
        self.known = changed
