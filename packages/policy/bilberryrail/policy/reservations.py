"""State of each reservation that this incarnation has issued.

Entries are created only when a token is issued. A valid token without an entry
has therefore been forgotten, and its call is never run.
"""

import heapq
import math
from dataclasses import dataclass
from enum import Enum

from result import Err, Ok, Result

from bilberryrail.core.ids import Seconds, ServiceId, TenantId
from bilberryrail.policy.events import Token
from bilberryrail.policy.settings import ReservationSettings
from bilberryrail.policy.tokens import (
    Reservation,
    ReservationError,
    TokenFault,
    TokenSigner,
)


class ReservationState(Enum):
    """State of a reservation.

    ``UNKNOWN`` means that its call started and failed, so it may have run.
    ``VOID`` means that it expired unused.
    """

    RESERVED = 'reserved'
    RUNNING = 'running'
    COMPLETED = 'completed'
    UNKNOWN = 'unknown'
    VOID = 'void'


@dataclass(frozen=True, slots=True)
class KeptAnswer:
    """Metadata of an answer kept by the shell; ``size`` is in bytes."""

    status: int
    size: int
    until: Seconds


@dataclass(slots=True)
class ReservationEntry:
    """A reservation and its state."""

    reservation: Reservation
    state: ReservationState = ReservationState.RESERVED
    answer: KeptAnswer | None = None

    @property
    def sequence(self) -> int:
        """Sequence number of the reservation."""
        return self.reservation.sequence


class ReservationTable:
    """Bounded table of reservations and of the answers kept for them.

    Attributes
    ----------
    dropped
        Sequence numbers whose answers are no longer kept; emptied by the
        dispatcher when it has dropped them.
    """

    def __init__(
        self,
        settings: ReservationSettings,
        signer: TokenSigner,
    ) -> None:
        self.settings = settings
        self.signer = signer
        self.dropped: list[int] = []
        self.answer_bytes = 0
        self._issued = 0
        self._entries: dict[int, ReservationEntry] = {}
        # Entries whose calls cannot run again, in the order of their end.
        self._ended: dict[int, None] = {}
        self._expiries: list[tuple[Seconds, int]] = []
        # The order is that of expiry, because all answers are kept for the
        # same time.
        self._answers: dict[int, KeptAnswer] = {}

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._entries)

    @property
    def next_expiry(self) -> float:
        """Time of the next expiry; infinite if there is none."""
        token = self._expiries[0][0] if self._expiries else math.inf
        answer = next(iter(self._answers.values()), None)
        return min(token, math.inf if answer is None else answer.until)

    def issue(
        self,
        service: ServiceId,
        tenant: TenantId,
        now: Seconds,
    ) -> Token | None:
        """Issue a token; None if the table is full and no entry can be removed.

        Only entries whose calls cannot run again are removed.
        """
        self.expire(now)
        if len(self) >= self.settings.max_reservations:
            if not self._ended:
                return None
            self._forget(next(iter(self._ended)))
        self._issued += 1
        reservation = Reservation(
            node=self.signer.node,
            incarnation=self.signer.incarnation,
            sequence=self._issued,
            service=service,
            tenant=tenant,
            expires_at=Seconds(now + self.settings.valid_s),
        )
        self._entries[self._issued] = ReservationEntry(reservation)
        heapq.heappush(
            self._expiries,
            (reservation.expires_at, self._issued),
        )
        return self.signer.encode(reservation)

    def find(
        self,
        token: Token,
        service: ServiceId,
        tenant: TenantId,
        now: Seconds,
    ) -> Result[ReservationEntry, ReservationError]:
        """Look up the reservation that a call was submitted with.

        Returns
        -------
        Result
            An entry that is reserved, running, or completed with a kept
            answer; otherwise the reason why it cannot be used.
        """
        self.expire(now)
        return self.signer.decode(token).and_then(
            lambda reservation: self._check(reservation, service, tenant),
        )

    def sequence_of(self, token: Token) -> int | None:
        """Return the sequence number of a token; None if not issued here."""
        return (
            self.signer.decode(token)
            .map(lambda reservation: reservation.sequence)
            .unwrap_or(None)
        )

    def may_have_run(self, token: Token) -> bool:
        """Return whether a call with this token may be running or have run."""
        match self.signer.decode(token):
            case Ok(reservation):
                entry = self._entries.get(reservation.sequence)
                return entry is None or entry.state not in {
                    ReservationState.RESERVED,
                    ReservationState.VOID,
                }
            case Err(error):
                return error.fault is TokenFault.OTHER_INCARNATION
        return True

    def start(self, sequence: int, now: Seconds) -> bool:
        """Mark a reservation as running; return whether that is allowed."""
        self.expire(now)
        entry = self._entries.get(sequence)
        if entry is None or entry.state is not ReservationState.RESERVED:
            return False
        entry.state = ReservationState.RUNNING
        return True

    def complete(
        self,
        sequence: int,
        status: int,
        size: int,
        now: Seconds,
    ) -> bool:
        """Record the end of a call; return whether its answer is kept."""
        entry = self._entries[sequence]
        entry.state = ReservationState.COMPLETED
        self._ended[sequence] = None
        if size > self.settings.answer_bytes:
            return False
        while self.answer_bytes + size > self.settings.answer_bytes:
            self._drop_answer(next(iter(self._answers)))
        until = Seconds(now + self.settings.answer_kept_s)
        entry.answer = KeptAnswer(status=status, size=size, until=until)
        self._answers[sequence] = entry.answer
        self.answer_bytes += size
        return True

    def fail(self, sequence: int, *, started: bool, now: Seconds) -> None:
        """Record a failed dispatch.

        If the call did not start, the reservation remains usable until it
        expires.
        """
        entry = self._entries[sequence]
        if started:
            entry.state = ReservationState.UNKNOWN
            self._ended[sequence] = None
            return
        entry.state = ReservationState.RESERVED
        # Its expiry may have been processed, without effect, while the call
        # was running, so it is added again.
        expiry = (entry.reservation.expires_at, sequence)
        heapq.heappush(self._expiries, expiry)
        self.expire(now)

    def expire(self, now: Seconds) -> None:
        """Void expired reservations and drop answers kept for too long."""
        while self._expiries and self._expiries[0][0] <= now:
            _, sequence = heapq.heappop(self._expiries)
            self._make_void(sequence)
        while self._answers:
            oldest = next(iter(self._answers))
            if self._answers[oldest].until > now:
                break
            self._drop_answer(oldest)

    def _make_void(self, sequence: int) -> None:
        entry = self._entries.get(sequence)
        if entry and entry.state is ReservationState.RESERVED:
            entry.state = ReservationState.VOID
            self._ended[sequence] = None

    def _check(
        self,
        reservation: Reservation,
        service: ServiceId,
        tenant: TenantId,
    ) -> Result[ReservationEntry, ReservationError]:
        if reservation.service != service:
            return _error(
                TokenFault.WRONG_SERVICE,
                f'token is for service {reservation.service!r}',
            )
        if reservation.tenant != tenant:
            return _error(
                TokenFault.WRONG_TENANT, 'token is for another tenant'
            )
        entry = self._entries.get(reservation.sequence)
        if entry is None:
            return _error(
                TokenFault.FORGOTTEN,
                'the reservation is no longer in the table',
            )
        return _usable_entry(entry)

    def _drop_answer(self, sequence: int) -> None:
        answer = self._answers.pop(sequence)
        self.answer_bytes -= answer.size
        self._entries[sequence].answer = None
        self.dropped.append(sequence)

    def _forget(self, sequence: int) -> None:
        if sequence in self._answers:
            self._drop_answer(sequence)
        self._ended.pop(sequence)
        self._entries.pop(sequence)


def _usable_entry(
    entry: ReservationEntry,
) -> Result[ReservationEntry, ReservationError]:
    match entry.state:
        case ReservationState.VOID:
            return _error(
                TokenFault.VOID, 'the reservation expired before the call ran'
            )
        case ReservationState.UNKNOWN:
            return _error(
                TokenFault.OUTCOME_UNKNOWN, 'the call started and failed'
            )
        case ReservationState.COMPLETED if entry.answer is None:
            return _error(
                TokenFault.ANSWER_NOT_KEPT, 'the answer is no longer kept'
            )
    return Ok(entry)


def _error(fault: TokenFault, detail: str) -> Err[ReservationError]:
    return Err(ReservationError(fault=fault, detail=detail))
