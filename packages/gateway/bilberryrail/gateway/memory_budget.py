"""Limits the memory of the request bodies that a process holds."""

from typing import Final

#: Size of a body, in bytes, from which it counts as large.
LARGE_BODY_BYTES: Final = 65_536

#: Default limit on the size of all large bodies together, in bytes. It admits
#: one body of the default size limit. The smallest hosts have 200 MB of memory,
#: and a body is copied once while it is put together.
MAX_LARGE_BYTES: Final = 67_108_864

#: Limit on the size of all small bodies together, in bytes. It is separate, so
#: that small bodies are accepted while a large one takes up the other limit.
MAX_SMALL_BYTES: Final = 16_777_216


class _Pool:
    """Total size of some bodies, with a limit."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.held = 0


class MemoryBudget:
    """Size of all request bodies that are held, with limits.

    Attributes
    ----------
    large, small
        Large and small bodies.
    """

    def __init__(self, max_large_bytes: int = MAX_LARGE_BYTES) -> None:
        self.large = _Pool(max_large_bytes)
        self.small = _Pool(MAX_SMALL_BYTES)

    def pool_of(self, size: int) -> _Pool:
        """Return the pool that a body of a size belongs to."""
        return self.large if size >= LARGE_BODY_BYTES else self.small


class Reservation:
    """The part of a budget that one body takes up.

    Attributes
    ----------
    size
        Size that is reserved, in bytes; zero before the first call of
        ``resize`` and after ``release``.
    """

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget = budget
        self.size = 0

    def resize(self, size: int) -> bool:
        """Reserve another size; return false, and keep it, if it does not fit.

        Raising the size of a body step by step may move it to another pool.
        """
        before = self.size
        self.release()
        pool = self.budget.pool_of(size)
        fits = pool.held + size <= pool.max_bytes
        self.size = size if fits else before
        self.budget.pool_of(self.size).held += self.size
        return fits

    def release(self) -> None:
        """Give the reserved bytes back."""
        self.budget.pool_of(self.size).held -= self.size
        self.size = 0
