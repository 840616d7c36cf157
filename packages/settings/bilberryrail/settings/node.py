"""Settings of a node process, read from one JSON file."""

from typing import Annotated, Final

import msgspec

from bilberryrail.control.settings import SECONDS_PER_DAY
from bilberryrail.policy.settings import EngineSettings

#: Highest TCP port number.
MAX_PORT: Final = 65535

_Duration = Annotated[float, msgspec.Meta(gt=0, le=SECONDS_PER_DAY)]
_Port = Annotated[int, msgspec.Meta(ge=1, le=MAX_PORT)]
_Count = Annotated[int, msgspec.Meta(ge=1)]
_Level = Annotated[str, msgspec.Meta(pattern='^(debug|info|warning|error)$')]
_Url = Annotated[str, msgspec.Meta(pattern='^https?://[^/]+(/.*)?$')]
_Stream = Annotated[str, msgspec.Meta(pattern='^[a-z0-9][a-z0-9.-]*$')]

#: Default of the largest body of a call or an answer, in bytes.
DEFAULT_MAX_BODY_BYTES: Final = 1_048_576
#: Largest body that may be configured, in bytes. It is bounded because a node
#: holds each frame in memory as a whole.
MAX_BODY_BYTES: Final = 67_108_864


class LogSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Access to the platform's log service.

    Attributes
    ----------
    timeout_s
        Time after which a request counts as failed; a long poll gets
        ``read_wait_s`` in addition.
    read_wait_s
        Longest duration of a long poll. It must be below the engine's
        ``max_staleness_s``: a log without new records answers only when the
        poll ends, and a reader refuses calls if it has not learned the current
        offset within ``max_staleness_s``.
    read_limit
        Number of records requested in one read.
    """

    url: _Url
    stream: _Stream = 'bilberryrail'
    timeout_s: _Duration = 2.0
    read_wait_s: _Duration = 1.0
    read_limit: _Count = 500


class BackendSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Address of the backend server beside this node."""

    port: _Port
    host: str = '127.0.0.1'
    connect_timeout_s: _Duration = 1.0


class NodeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of a node process.

    Attributes
    ----------
    max_body_bytes
        Largest body of a call or an answer that is accepted.

    Raises
    ------
    ValueError
        If a long poll may take as long as ``max_staleness_s`` or longer.
    """

    engine: EngineSettings
    log: LogSettings
    backend: BackendSettings
    operator_port: _Port
    operator_host: str = '127.0.0.1'
    max_body_bytes: Annotated[
        int,
        msgspec.Meta(ge=1, le=MAX_BODY_BYTES),
    ] = DEFAULT_MAX_BODY_BYTES
    log_level: _Level = 'info'

    def __post_init__(self) -> None:
        """Check the constraint between ``read_wait_s`` and the engine."""
        staleness_s = self.engine.pause.max_staleness_s
        if self.log.read_wait_s >= staleness_s:
            raise ValueError(
                f'log.read_wait_s must be below {staleness_s} s, '
                'the value of engine.pause.max_staleness_s',
            )
