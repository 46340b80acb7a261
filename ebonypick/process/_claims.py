"""Claims of idempotency keys, stored at an entry host or in the table."""

import asyncio
import base64
import dataclasses
import time
import uuid

import msgspec

from ebonypick import connection
from ebonypick import errors
from ebonypick import events
from ebonypick import json_text
from ebonypick import registry
from ebonypick import request

claim_kinds = registry.Registry('place of idempotency keys')

CLAIM_TIMEOUT_S = 1.0
RECORD_BODY_LIMIT_BYTES = 16_384
RELEASE_TRIES = 20
RELEASE_PAUSE_S = 1.0


@dataclasses.dataclass(frozen=True)
class ClaimCall:
    """A request about a key, sent to the entry host that issued it.

    Parameters
    ==========
    action : str
        ``claim``, ``finish`` or ``release``.
    key : str
        The idempotency key.
    holder : str
        Unique id of the claiming request.
    record : Record or None
        The answer, if the action is ``finish``.
    """

    action: str
    key: str
    holder: str
    record: request.Record | None = None


@dataclasses.dataclass(frozen=True)
class ClaimReply:
    """The reply to a ``ClaimCall``.

    Parameters
    ==========
    state : str
        ``granted``, ``running``, ``finished``, ``forgotten``, ``full`` or
        ``noted``.
    record : Record or None
        The answer, if the state is ``finished``.
    reason : str
        The reason for the state ``forgotten``.
    """

    state: str
    record: request.Record | None = None
    reason: str = ''


def make_record(status, headers, body):
    """Return the record of an answer, without the body if it is too large."""
    stored = None
    if body is not None and len(body) <= RECORD_BODY_LIMIT_BYTES:
        stored = base64.b64encode(body).decode('ascii')
    return request.Record(status, tuple(headers), stored)


def record_body(record):
    """Return the body of a record; empty if it was too large to store."""
    return base64.b64decode(record.body) if record.body else b''


def apply_call(ledger, call, now):
    """Apply a call to the ledger of this host and return the reply."""
    key = request.parse_key(call.key)
    if key is None:
        return ClaimReply('forgotten', reason='it is malformed')
    if call.action == 'finish' and call.record is not None:
        ledger.finish(key, call.holder, call.record)
        return ClaimReply('noted')
    if call.action == 'release':
        ledger.release(key, call.holder)
        return ClaimReply('noted')
    found = ledger.claim(key, call.holder, now)
    if isinstance(found, request.Granted):
        return ClaimReply('granted')
    if isinstance(found, request.Running):
        return ClaimReply('running')
    if isinstance(found, request.Finished):
        return ClaimReply('finished', found.record)
    if isinstance(found, request.NoRoom):
        return ClaimReply('full')
    return ClaimReply('forgotten', reason=found.reason)


def _record_or_raise(reply, key):
    """Return the record of a finished key, or None for a granted claim.

    Raises
    ======
    errors.DuplicateRequestError, errors.KeyOutcomeUnknownError,
    errors.OverloadedError
        If the request must not be run.
    """
    if reply.state == 'granted':
        return None
    if reply.state == 'finished':
        return reply.record
    if reply.state == 'running':
        raise errors.DuplicateRequestError(key=key)
    if reply.state == 'full':
        raise errors.OverloadedError()
    raise errors.KeyOutcomeUnknownError(key=key, reason=reply.reason)


@claim_kinds.register('host')
class HostClaim:
    """A claim stored by the entry host that issued the key.

    Parameters
    ==========
    node : object
        An object with ``host``, ``ledger``, ``connections``, ``tasks`` and
        ``platform``.
    service, key : str
        The service and the idempotency key to claim.
    """

    def __init__(self, node, service, key):
        self._node = node
        self._key = key
        self._holder = uuid.uuid4().hex
        self._parsed = request.parse_key(key)
        if self._parsed is None:
            raise errors.BadKeyError(
                found=key[:80], reason='it has no prefix of an entry host'
            )

    async def take(self):
        """Claim the key; return the record if the request already ran."""
        reply = await self._call('claim')
        return _record_or_raise(reply, self._key)

    async def _call(self, action, record=None):
        call = ClaimCall(action, self._key, self._holder, record)
        if self._parsed.host == self._node.host:
            return apply_call(self._node.ledger, call, time.monotonic())
        peer = self._node.connections.peers.get(self._parsed.host)
        if peer is None:
            reason = f'there is no entry host {self._parsed.host!r}'
            return ClaimReply('forgotten', reason=reason)
        try:
            status, body = await peer.call_json(
                'POST',
                '/peer/v1/claims',
                msgspec.json.encode(call),
                timeout_s=CLAIM_TIMEOUT_S,
            )
            if status == 200:
                return json_text.decode(body, ClaimReply)
        except (
            connection.ConnectFailedError,
            connection.LostError,
            msgspec.MsgspecError,
        ) as exc:
            # The claim may have been granted, so the outcome is unknown; the
            # reply ``forgotten`` states that.
            events.CLAIM_FAILED.log(key=self._key, call=action, why=repr(exc))
        reason = f'the entry host {self._parsed.host} cannot be asked'
        return ClaimReply('forgotten', reason=reason)

    async def finish(self, record):
        """Store the answer of the request, which was run."""
        await self._call('finish', record)

    async def release(self):
        """Release the claim of a request that was certainly not run."""
        await self._call('release')


@claim_kinds.register('table')
class TableClaim:
    """A claim stored as a row of the platform's table.

    Explanation
    ===========
    The row survives the failure of any entry host. It is written with a
    condition that only one holder can meet, so no clocks or leases are
    needed. While the table is unavailable, requests with keys are answered
    ``not-run``.
    """

    def __init__(self, node, service, key):
        if len(key) > 200 or not key.isprintable() or '/' in key:
            raise errors.BadKeyError(found=key[:80], reason='its form')
        self._node = node
        self._key = key
        self._row = f'once/{service}/{key}'
        self._holder = uuid.uuid4().hex

    async def _write(self, revision, value):
        return await self._node.platform.write(
            connection.Transaction(
                (connection.Condition(self._row, revision),),
                (connection.Put(self._row, value),),
            )
        )

    async def take(self):
        """Claim the key; return the record if the request already ran."""
        try:
            with_holder = {'holder': self._holder, 'record': None}
            if await self._write(0, with_holder):
                return None
        except errors.PlatformError as exc:
            # The write may have succeeded. The row shows whether it did.
            self._log_failed('claim', exc)
        try:
            row = await self._node.platform.read_row(self._row)
        except errors.PlatformError as exc:
            # The row may exist although the request was not run. It is
            # removed later, so that the caller's next try can run.
            self._node.tasks.start(self._release_later())
            raise errors.StoreUnavailableError() from exc
        if row is None:
            raise errors.StoreUnavailableError()
        if row.value['holder'] == self._holder:
            return None
        if row.value['record'] is None:
            raise errors.DuplicateRequestError(key=self._key)
        return msgspec.convert(row.value['record'], request.Record)

    async def finish(self, record):
        """Store the answer of the request, which was run."""
        value = {
            'holder': self._holder,
            'record': msgspec.to_builtins(record),
        }
        try:
            await self._write(1, value)
        except errors.PlatformError as exc:
            # The row stays claimed. Repeats are answered as duplicates and
            # are not run.
            self._log_failed('finish', exc)

    def _log_failed(self, call, exc):
        events.CLAIM_FAILED.log(key=self._key, call=call, why=str(exc))

    async def release(self):
        """Release the claim of a request that was certainly not run."""
        self._node.tasks.start(self._release_later())

    async def _release_later(self):
        for _ in range(RELEASE_TRIES):
            try:
                row = await self._node.platform.read_row(self._row)
                if row is None or row.value['holder'] != self._holder:
                    return
                if await self._write(row.revision, None):
                    return
            except errors.PlatformError as exc:
                self._log_failed('release', exc)
            await asyncio.sleep(RELEASE_PAUSE_S)


def make_claim(kind, node, service, key):
    """Return a claim of the registered kind.

    Raises
    ======
    errors.BadKeyError
        If the form of the key is not valid for the kind.
    """
    return claim_kinds.get(kind)(node, service, key)
