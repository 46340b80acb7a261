"""The memory and the descriptors of the machine of a host."""

import typing

import msgspec

Amount = typing.Annotated[float, msgspec.Meta(gt=0)]
Count = typing.Annotated[int, msgspec.Meta(ge=1)]
# The smallest machine that runs a host.
DEFAULT_MEMORY_MB = 300
DEFAULT_FDS = 4_100
