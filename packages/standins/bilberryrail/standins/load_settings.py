"""Settings of a load of callers."""

import msgspec

#: Time after which a caller submits its call no more, in seconds.
DEFAULT_PATIENCE_S = 10.0


class LoadService(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service that callers use."""

    service: str
    idempotent: bool


class LoadNode(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A node that callers use, and its region."""

    url: str
    region: str


class LoadSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A load and the processes it talks to.

    Attributes
    ----------
    rate
        Mean number of calls per second, over all services.
    nodes
        Nodes; a tenant with home regions uses only those of its regions.
    backends
        Base URLs of backend servers.
    tenants
        Home regions of each tenant; empty allows every region.
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
