"""Decodes the traffic configuration that operators write to the store."""

import typing

import msgspec

from ebonypick import errors
from ebonypick import json_text
from ebonypick.platform import _units
from ebonypick import version


# Finite products and sums of weights and rates.
MAX_WEIGHT = 1e9
Weight = typing.Annotated[float, msgspec.Meta(le=MAX_WEIGHT)]
# Negative counts are replaced or rejected later.
Count = typing.Annotated[int, msgspec.Meta(le=json_text.MAX_WHOLE)]


class _Share(msgspec.Struct):
    service: str
    weight: Weight


class _Path(msgspec.Struct):
    name: str
    prefix: str
    kind: str
    timeout: str
    # Latency up to which an answer counts with its full value.
    targetLatency: str
    maxAttempts: Count = 1
    priority: json_text.Whole = 0
    service: str | None = None
    # Services that share the traffic of the route, by weight; these are not
    # addresses of backend servers.
    backends: list[_Share] | None = None
    allowedRegions: list[str] | None = None
    sessionAffinity: bool = False


class _Host(msgspec.Struct):
    host: str
    # The routes of the host; each has one path prefix.
    paths: list[_Path]


class _Service(msgspec.Struct):
    name: str
    healthPath: str = '/'
    maxConns: Count = 1
    warmup: str = '0s'
    warmupPerS: Weight = 1.0


class _Limits(msgspec.Struct):
    maxHeaderBytes: json_text.Whole = 16_384
    maxBodyBytes: json_text.Whole = 64 << 20
    headerTimeout: str = '3s'
    idleTimeout: str = '15s'


class _Config(msgspec.Struct):
    version: json_text.Whole
    hosts: list[_Host]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)


def _route(host, path):
    if not (path.prefix.startswith('/') and path.prefix.endswith('/')):
        raise errors.InvalidValueError(
            field=f'{path.name}.prefix',
            found=path.prefix,
            wanted='a path that begins and ends with a slash',
        )
    shares = [
        version.ServiceShare(share.service, share.weight)
        for share in path.backends or ()
        if share.weight > 0
    ]
    if not shares and path.service:
        shares = [version.ServiceShare(path.service, 1.0)]
    if not shares:
        raise errors.InvalidValueError(
            field=f'{path.name}.service', found='none', wanted='a service'
        )
    try:
        kind = version.RequestKind(path.kind)
    except ValueError:
        raise errors.InvalidValueError(
            field=f'{path.name}.kind',
            found=path.kind,
            wanted=', '.join(version.RequestKind),
        ) from None
    return version.Route(
        name=path.name,
        host=host.lower(),
        prefix=path.prefix,
        kind=kind,
        shares=tuple(shares),
        timeout_s=_units.parse_span_s(path.timeout, f'{path.name}.timeout'),
        objective_s=_units.parse_span_s(
            path.targetLatency, f'{path.name}.targetLatency'
        ),
        max_attempts=max(1, path.maxAttempts),
        priority=path.priority,
        regions=frozenset(path.allowedRegions or ()),
        sticky=path.sessionAffinity,
    )


def decode_config(data):
    """Return the traffic configuration decoded from JSON.

    Parameters
    ==========
    data : bytes
        The JSON that an operator wrote.

    Returns
    =======
    version.TrafficConfig

    Raises
    ======
    errors.InvalidValueError
        If the JSON or a value is not valid; the error names the field.
    """
    try:
        found = json_text.decode(data, _Config)
    except msgspec.MsgspecError as exc:
        raise errors.InvalidValueError(
            field='config', found=str(exc), wanted='a valid configuration'
        ) from exc
    return version.TrafficConfig(
        number=found.version,
        routes=tuple(
            _route(host.host, path)
            for host in found.hosts
            for path in host.paths
        ),
        services=tuple(
            version.ServiceTerms(
                service.name,
                service.healthPath,
                service.maxConns,
                _units.parse_span_s(service.warmup, 'warmup'),
                service.warmupPerS,
            )
            for service in found.services
        ),
        limits=version.CallerLimits(
            found.limits.maxHeaderBytes,
            found.limits.maxBodyBytes,
            _units.parse_span_s(found.limits.headerTimeout, 'headerTimeout'),
            _units.parse_span_s(found.limits.idleTimeout, 'idleTimeout'),
        ),
    )
