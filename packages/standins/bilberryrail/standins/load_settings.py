"""Settings of a load of callers."""

import msgspec

#: Time in seconds after which a caller does not submit its call again.
DEFAULT_PATIENCE_S = 10.0


class LoadService(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service that callers call."""

    service: str
    idempotent: bool


class LoadNode(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A node to which callers send calls, and its region."""

    url: str
    region: str


class LoadSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A load and the processes that it sends requests to.

    Attributes
    ----------
    nodes
        Nodes that receive calls; calls of a tenant with home regions go only
        to nodes in these regions.
    backends
        Base URLs of the backend servers.
    tenants
        Home regions of each tenant; none means that every region is allowed.
    seconds
        Time in which calls arrive.
    rate
        Mean number of calls per second, over all services.
    deadline_s
        Deadline of each submission, in seconds from its sending.
    patience_s
        Time in seconds after which a caller does not submit its call again.
    """

    nodes: tuple[LoadNode, ...]
    backends: tuple[str, ...]
    services: tuple[LoadService, ...]
    tenants: dict[str, tuple[str, ...]]
    seed: int = 0
    seconds: float = 10.0
    rate: float = 50.0
    deadline_s: float = 1.0
    patience_s: float = DEFAULT_PATIENCE_S
