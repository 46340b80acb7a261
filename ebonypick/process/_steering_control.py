"""Control endpoints of a steering host: look-ups, probes and peer calls."""

import msgspec

from ebonypick import connection
from ebonypick import errors
from ebonypick import events
from ebonypick import platform
from ebonypick.process import _body
from ebonypick.process import _substitutes
from ebonypick import spans

# Time for which a caller may cache the answer of a look-up. It is below the
# agreed maximum, so that callers soon stop using a failed host.
LOOKUP_TTL_S = 2.0
MAX_LOOKUP_HOSTS = 64
# Other hosts send a message at once, so its body arrives without pauses.
PEER_BODY_TIMEOUT_S = 1.0
JSON = [('content-type', 'application/json')]


class Control:
    """Answers look-ups, readiness probes, metrics and calls of other hosts.

    Parameters
    ==========
    node : SteeringHost
        The process.
    """

    def __init__(self, node):
        self._node = node

    async def serve_readiness(self, req):
        """Answer a readiness probe."""
        known = platform.is_readiness(req)
        status = 404 if not known else 200 if self._node.ready else 503
        await req.respond(status, [])

    async def serve_lookup(self, req):
        """Answer a look-up with the entry hosts that a caller should use."""
        if not platform.is_lookup(req):
            await req.respond(404, [])
            return
        region, centre = platform.lookup_place(req)
        addresses = self._addresses_for(region, centre)
        self._node.metrics.lookups.inc()
        events.LOOKUP.log(client=centre, region=region, hosts=addresses)
        if not addresses:
            await req.respond(503, [])
            return
        ttl_s = spans.parse_span_s(self._node.settings.terms.lookup_ttl)
        body = platform.answer_lookup(addresses, min(ttl_s, LOOKUP_TTL_S))
        await req.respond(200, JSON, body)

    def _addresses_for(self, region, centre):
        """Return the endpoints for callers of a region.

        These are the hosts of the region, or those of other regions if it
        has none, or else this host.
        """
        near = []
        far = []
        for name, names in self._node.roster.serving().items():
            found = [self._node.connections.rows[n].callers for n in names]
            if self._node.settings.data_centres.get(name) == region:
                near += found
            else:
                far += found
        found = near or far
        if not found and self._node.ready:
            found = [self._node.settings.callers]
        return found[:MAX_LOOKUP_HOSTS]

    async def serve_metrics(self, req):
        """Answer with the metrics."""
        if req.path != '/metrics':
            await req.respond(404, [])
            return
        await req.respond(
            200, [('content-type', 'text/plain')], self._node.metrics.render()
        )

    async def serve_peer(self, req):
        """Answer a call of another steering host.

        Raises
        ======
        errors.RequestError
            If the message cannot be decoded.
        """
        serve = _peer_paths.get((req.method, req.path))
        if serve is None:
            await req.respond(404, [])
            return
        try:
            await serve(self, req)
        except (msgspec.MsgspecError, ValueError) as exc:
            raise errors.RequestError(reason=str(exc)) from exc

    async def _exchange_gossip(self, req):
        reply = self._node.gossip.receive(await _read_body(req))
        await req.respond(200, JSON, reply)

    async def _receive_rows(self, req):
        broadcaster = self._node.store_view.broadcaster
        broadcaster.receive(await _read_body(req), req.client)
        await req.respond(204, [])

    async def _read_store(self, req):
        substitutes = self._node.store_view.substitutes
        reads = await substitutes.read_for(await _read_body(req), req.client)
        await req.respond(204 if reads else 503, [])

    async def _receive_leaving(self, req):
        self._node.store_view.broadcaster.receive_leaving(
            await _read_body(req)
        )
        await req.respond(204, [])

    async def _send_rows(self, req):
        follower = self._node.store_view.followers.get(req.query.get('table'))
        if follower is None:
            await req.respond(404, [])
            return
        after = platform.Revision(
            int(req.query.get('era', '0')), int(req.query.get('after', '-1'))
        )
        if follower.revision <= after:
            await req.respond(204, [])
            return
        body = msgspec.json.encode(follower.rows_since(after))
        headers = JSON
        accepted = req.headers.get('accept-encoding')
        if accepted == connection.coding.CODING:
            body = connection.coding.compress(body)
            headers = [*JSON, ('content-encoding', accepted)]
        self._node.metrics.row_bytes.inc(len(body))
        await req.respond(200, headers, body)


_peer_paths = {
    ('POST', '/peer/v1/gossip'): Control._exchange_gossip,
    ('POST', '/peer/v1/rows'): Control._receive_rows,
    ('GET', '/peer/v1/rows'): Control._send_rows,
    ('POST', '/peer/v1/leaving'): Control._receive_leaving,
    ('POST', _substitutes.PATH): Control._read_store,
}


async def _read_body(req):
    limit = connection.MAX_MESSAGE_BYTES
    body = await _body.read_message(req, limit, PEER_BODY_TIMEOUT_S)
    if req.headers.get('content-encoding') == connection.coding.CODING:
        return connection.coding.expand(body, limit)
    return body
