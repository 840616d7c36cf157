"""Bounds of the numbers, names and lists that a node accepts from others.

What exceeds them cannot be passed on: MessagePack has no integers of more than
64 bits, calculations with infinite durations fail, and the size of a record in
the store and of the first message of a link is limited. Decoders reject it, so
that it does not stop the task that would use it much later.
"""

from typing import Annotated, Final

from msgspec import Meta

#: Largest count, offset or version. Every JSON library can represent it.
MAX_COUNT: Final = 0x1FFFFFFFFFFFFF

#: Latest Unix time, in milliseconds; it lies in the year 2248.
MAX_UNIX_MS: Final = 8_796_093_022_208

#: Largest lead of the clocks of other nodes over that of this node, in
#: milliseconds. What states a later time would stay the newest for ever.
MAX_CLOCK_LEAD_MS: Final = 86_400_000

#: Longest duration, in seconds: about 11 days.
MAX_DURATION_S: Final = 1e6

#: Largest ratio of two quantities, and largest rate per second. An unlimited
#: rate is infinite instead.
MAX_RATIO: Final = 1e6
MAX_RATE_PER_S: Final = 1e6

#: Largest weight of a service that shares a route.
MAX_WEIGHT: Final = 1e9

#: Longest name of a node, zone, region, service or instance, in characters.
MAX_NAME: Final = 255

#: Largest number of suspects of one crash. It is more than the requests that run
#: at once; the most recent ones count if many were lost in a silent crash.
MAX_SUSPECTS: Final = 64

#: Largest number of crashes and of clearances in an announcement or in the first
#: message of a link.
MAX_CRASHES: Final = 64

#: Longest fingerprint of a request, in bytes.
MAX_FINGERPRINT: Final = 16

#: Largest status of an answer (RFC 9110, section 15).
MAX_STATUS: Final = 599

_MAX_PORT: Final = 65535

Count = Annotated[int, Meta(ge=0, le=MAX_COUNT)]
#: An integer that may be negative.
Number = Annotated[int, Meta(ge=-MAX_COUNT, le=MAX_COUNT)]
UnixMs = Annotated[int, Meta(ge=0, le=MAX_UNIX_MS)]
Port = Annotated[int, Meta(ge=1, le=_MAX_PORT)]
Duration = Annotated[float, Meta(ge=0, le=MAX_DURATION_S)]
Ratio = Annotated[float, Meta(ge=0, le=MAX_RATIO)]
Share = Annotated[float, Meta(ge=0, le=1)]
#: A rate per second, which may be infinite.
Rate = Annotated[float, Meta(ge=0)]
#: A number of requests, which may be negative.
Credit = Annotated[float, Meta(ge=-MAX_COUNT, le=MAX_COUNT)]
Weight = Annotated[float, Meta(ge=-MAX_WEIGHT, le=MAX_WEIGHT)]
