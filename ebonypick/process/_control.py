"""Control endpoints: look-ups, status, metrics and calls of peers."""

import dataclasses
import time

import msgspec

from ebonypick import errors
from ebonypick import events
from ebonypick import json_text
from ebonypick.process import _body
from ebonypick.process import _claims
from ebonypick.process import _config_reader
from ebonypick.process import _status
from ebonypick import registry
from ebonypick import request

controls = registry.Registry('control path')

BODY_LIMIT_BYTES = 1 << 20
BODY_TIMEOUT_S = 2.0
JSON = [('content-type', 'application/json')]
TEXT = [('content-type', 'text/plain; version=0.0.4; charset=utf-8')]
PUBLIC_PATHS = frozenset({'/livez', '/readyz', '/v1/entry-hosts'})


@dataclasses.dataclass(frozen=True)
class Reply:
    """The answer of a control endpoint."""

    status: int
    body: bytes
    headers: list = dataclasses.field(default_factory=lambda: list(JSON))


def _json(value, status=200):
    return Reply(status, msgspec.json.encode(value))


async def serve_control(node, req):
    """Answer a request to a control endpoint.

    Raises
    ======
    errors.NotFoundError
        If no endpoint has the request's path.
    errors.NotAllowedError
        If the client may not use the endpoint.
    """
    path = req.path
    if path not in controls.names():
        raise errors.NotFoundError(path=path[:80])
    if path not in PUBLIC_PATHS and not node.trusts(req.client):
        raise errors.NotAllowedError(address=req.client, path=path)
    reply = await controls.get(path)(node, req)
    await req.respond(reply.status, reply.headers, reply.body)


async def _read_body(req):
    return await _body.read_message(req, BODY_LIMIT_BYTES, BODY_TIMEOUT_S)


@controls.register('/livez')
async def livez(node, req):
    """Answer the liveness probe."""
    return _json({'live': True})


@controls.register('/readyz')
async def readyz(node, req):
    """Answer the readiness probe."""
    reason = node.not_ready_reason()
    body = {'ready': reason is None, 'reason': reason}
    return _json(body, 200 if reason is None else 503)


@controls.register('/metrics')
async def metrics(node, req):
    """Answer with the metrics in the Prometheus text format."""
    return Reply(200, node.metrics.render(), list(TEXT))


def _look_up(node, req):
    """Return service, client, region and entry hosts of a look-up.

    Raises
    ======
    errors.NotReadyError
        If this host is not ready and is not in a planned stop.
    errors.RequestError
        If the service is unknown or the client is no IP address.
    """
    reason = node.not_ready_reason()
    if reason is not None and not node.board.leaving:
        raise errors.NotReadyError(reason=reason)
    cfg = node.board.version.cfg
    service = req.query.get('service')
    if service not in cfg.base.services:
        raise errors.UnknownServiceError(
            service=service, known=', '.join(sorted(cfg.base.services))
        )
    client = req.query.get('client', req.client)
    region = _client_region(node, client)
    return service, client, region, node.layouts.look_up(service, region)


@controls.register('/v1/entry-hosts')
async def entry_hosts(node, req):
    """Answer a look-up."""
    service, client, region, found = _look_up(node, req)
    node.metrics.lookups.inc()
    events.LOOKUP.log(
        client=client, region=region, hosts=[item.name for item in found]
    )
    return _json(
        {
            'service': service,
            'region': region,
            'entry_hosts': found,
            'config_version': node.board.number,
            'ttl_ms': node.board.version.cfg.base.lookup_ttl_ms,
            'key_prefix': node.key_prefix(),
        }
    )


@controls.register('/v1/explain-route')
async def explain_route(node, req):
    """Answer with the target of a request and the considered targets."""
    service, _, region, found = _look_up(node, req)
    targets, chosen = await node.layouts.services[service].explain()
    service_s = node.board.version.cfg.base.services[service].service_ms / 1e3
    rows = [
        {
            'name': target.name,
            'region': target.region,
            'free': round(target.free, 1),
            'queued': target.queued,
            'capacity': target.capacity,
            'expected_ms': round(
                request.expected_s(target, service_s) * 1000, 3
            ),
        }
        for target in targets
    ]
    return _json(
        {
            'host': node.host,
            'region': region,
            'entry_hosts': found,
            'targets': rows,
            'policy': node.board.version.cfg.base.services[service].objective,
            'chosen': chosen,
        }
    )


def _client_region(node, client):
    try:
        return node.region_of(client)
    except ValueError as exc:
        raise errors.RequestError(
            reason=f'client={client[:60]!r} is no IP number'
        ) from exc


@controls.register('/v1/status')
async def status(node, req):
    """Answer with the status for operators."""
    return _json(_status.describe(node))


@controls.register('/peer/v1/gossip')
async def gossip(node, req):
    """Apply a peer's gossip message and answer with this host's."""
    return Reply(200, node.gossip.receive(await _read_body(req)))


@controls.register('/peer/v1/config')
async def config(node, req):
    """Answer a peer with the delta to the configuration in force."""
    text = req.query.get('since', '0')
    since = int(text) if text.isdigit() else 0
    delta = node.reader.delta_since(since)
    if delta is None:
        return _json({}, 404)
    return Reply(200, _config_reader.encode_delta(delta))


@controls.register('/peer/v1/claims')
async def claims(node, req):
    """Apply a peer's call to the ledger of idempotency keys."""
    call = json_text.decode(await _read_body(req), _claims.ClaimCall)
    return _json(_claims.apply_call(node.ledger, call, time.monotonic()))
