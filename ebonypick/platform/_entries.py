"""Decodes the store rows of backend servers and of evacuations."""

import typing

import msgspec

from ebonypick import endpoints
from ebonypick import errors
from ebonypick import json_text
from ebonypick.platform import _units
from ebonypick import request

EVACUATION_PREFIX = 'evacuate/'


# Servers get requests in proportion to their slots, so that a number far above
# those of real servers would draw the requests of all others.
MAX_SLOTS = 10_000


class _Info(msgspec.Struct):
    service: str
    zone: str
    slots: typing.Annotated[int, msgspec.Meta(le=MAX_SLOTS)]
    # The version of the server's software, not of a configuration.
    version: str = ''


class _Status(msgspec.Struct):
    state: str
    # Remaining warm-up time, counted from the time of the write.
    warmupLeft: str = '0ms'
    sequence: json_text.Whole = 0


class _Entry(msgspec.Struct):
    address: str
    info: _Info
    status: _Status
    # Start time of the server, in milliseconds since the epoch.
    born: json_text.Whole


def decode_server(name, data):
    """Return the backend server that a row of the store describes.

    Parameters
    ==========
    name : str
        The key of the row, which is the instance name of the server.
    data : bytes
        The value of the row, as JSON.

    Returns
    =======
    request.ServerEntry

    Raises
    ======
    errors.InvalidValueError
        If the row cannot be decoded, has an unknown state or no slots.
    """
    try:
        entry = json_text.decode(data, _Entry)
        address = endpoints.parse_endpoint(entry.address)
    except (msgspec.MsgspecError, ValueError) as exc:
        raise errors.InvalidValueError(
            field=f'servers/{name}',
            found=str(exc)[:120],
            wanted='a row that describes a backend server',
        ) from exc
    if entry.status.state not in ('ready', 'draining') or entry.info.slots < 1:
        raise errors.InvalidValueError(
            field=f'servers/{name}',
            found=f'state {entry.status.state!r}, {entry.info.slots} slots',
            wanted="the state 'ready' or 'draining' and at least 1 slot",
        )
    return request.ServerEntry(
        instance=name,
        service=entry.info.service,
        address=address,
        data_centre=entry.info.zone,
        slots=entry.info.slots,
        draining=entry.status.state == 'draining',
        warmup_left_s=_units.parse_span_s(
            entry.status.warmupLeft, f'servers/{name}.warmupLeft'
        ),
        started_ms=entry.born,
        sequence=entry.status.sequence,
    )


def decode_evacuation(key):
    """Return the data centre to evacuate by the key of a row, or None.

    Examples
    ========
    >>> decode_evacuation('evacuate/rvk-a')
    'rvk-a'
    >>> decode_evacuation('config') is None
    True
    """
    if key.startswith(EVACUATION_PREFIX):
        return key.removeprefix(EVACUATION_PREFIX)
    return None
