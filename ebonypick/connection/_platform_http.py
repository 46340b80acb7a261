"""The adapter of the platform's table and object store."""

import asyncio
import dataclasses
import time

import msgspec

from ebonypick.connection import _adapters
from ebonypick.connection import _pool
from ebonypick import errors
from ebonypick import version

CURRENT = 'config/current'
TIMEOUT_S = 2.0


@dataclasses.dataclass(frozen=True)
class Condition:
    """A row must have this revision; 0 stands for no row."""

    key: str
    revision: int


@dataclasses.dataclass(frozen=True)
class Put:
    """Set a row; a null value removes it."""

    key: str
    value: dict | None


@dataclasses.dataclass(frozen=True)
class Transaction:
    """Writes that take effect together if all conditions hold."""

    conditions: tuple[Condition, ...]
    puts: tuple[Put, ...]


@dataclasses.dataclass(frozen=True)
class StoredRow:
    """A row as it was read."""

    key: str
    revision: int
    value: dict


@dataclasses.dataclass(frozen=True)
class PlatformTime:
    """A lower bound of the platform's time, kept between answers."""

    platform_s: float
    monotonic_s: float

    def now(self):
        """Return the lower bound now, in seconds since the epoch."""
        return self.platform_s + time.monotonic() - self.monotonic_s


class PlatformClient:
    """The connections to a service of the platform; an async context manager.

    Parameters
    ==========
    address : str
        IP number.
    port : int
        TCP port.
    local_address : str, optional
        IP number to connect from.
    """

    def __init__(self, address, port, local_address=None):
        self._address = f'{address}:{port}'
        self._pool = _pool.Pool(address, port, local_address)

    async def __aenter__(self):
        await self._pool.__aenter__()
        return self

    async def __aexit__(self, *exc_info):
        await self._pool.__aexit__(*exc_info)

    def _error(self, reason):
        return errors.PlatformError(address=self._address, reason=reason)


@_adapters.platform_adapters.register('http')
class Platform(PlatformClient):
    """The project's own form of the platform's tables and objects."""

    def __init__(self, address, port, local_address=None):
        super().__init__(address, port, local_address)
        self.time = None
        self._etag = None

    async def _call(self, method, path, data=None, headers=()):
        try:
            async with asyncio.timeout(TIMEOUT_S):
                async with self._pool.request(
                    method, path, headers, data, fresh=True
                ) as resp:
                    body = await _pool.read_message(resp)
        except _pool.ConnectFailedError as exc:
            raise self._error(exc) from exc
        except (_pool.LostError, OSError) as exc:
            raise self._error(exc) from exc
        except Exception as exc:
            raise self._error(type(exc).__name__) from exc
        if resp.status >= 500:
            raise self._error(f'status {resp.status}')
        stamp = resp.headers.get('x-platform-time')
        if stamp:
            self._note_time(float(stamp))
        return resp, body

    def _note_time(self, platform_s):
        found = PlatformTime(platform_s, time.monotonic())
        if self.time is None or found.now() > self.time.now():
            self.time = found

    async def read_row(self, key):
        """Return a row or None.

        Raises
        ======
        errors.PlatformError
            If the platform did not answer.
        """
        resp, body = await self._call('GET', f'/table/{key}')
        if resp.status == 404:
            return None
        return msgspec.json.decode(body, type=StoredRow)

    async def write(self, transaction):
        """Write rows; return whether the conditions held.

        Raises
        ======
        errors.PlatformError
            If the platform did not answer; the writes may have been made.
        """
        data = msgspec.json.encode(transaction)
        resp, _ = await self._call('POST', '/table', data)
        return resp.status == 200

    async def poll_current(self):
        """Return the current version's row if it changed since last time.

        Raises
        ======
        errors.PlatformError
            If the platform did not answer.
        """
        headers = [('If-None-Match', self._etag)] if self._etag else []
        resp, body = await self._call(
            'GET', f'/table/{CURRENT}', headers=headers
        )
        if resp.status != 200:
            return None
        self._etag = resp.headers.get('etag')
        stored = msgspec.json.decode(body, type=StoredRow)
        return msgspec.convert(stored.value, version.Row)

    async def read_version_row(self, number):
        """Return the row of a version, or None if there is none."""
        stored = await self.read_row(f'config/versions/{number}')
        if stored is None:
            return None
        return msgspec.convert(stored.value, version.Row)

    async def commit(self, operation):
        """Move the current row; return None, or the row that stands there.

        The current row is written once for each version, so its revision
        is the version's number, and the condition needs no read before.

        Parameters
        ==========
        operation : version.Commit
            What to commit.

        Raises
        ======
        errors.PlatformError
            If the platform did not answer; it may have taken effect.
        """
        row = operation.row
        value = msgspec.to_builtins(row)
        name = f'config/versions/{row.number}'
        held = await self.write(
            Transaction(
                (Condition(CURRENT, operation.base), Condition(name, 0)),
                (Put(CURRENT, value), Put(name, value)),
            )
        )
        if held:
            return None
        found = await self.read_version_row(row.number)
        return found or await self.read_current()

    async def read_current(self):
        """Return the current version's row, or None before the first.

        Raises
        ======
        errors.PlatformError
            If the platform did not answer.
        """
        stored = await self.read_row(CURRENT)
        if stored is None:
            return None
        return msgspec.convert(stored.value, version.Row)

    async def put_object(self, key, data):
        """Store an object.

        Raises
        ======
        errors.PlatformError
            If the platform did not answer.
        """
        await self._call('PUT', f'/objects/{key}', data)

    async def get_object(self, key):
        """Return an object's bytes, or None if there is none.

        Raises
        ======
        errors.PlatformError
            If the platform did not answer.
        """
        resp, body = await self._call('GET', f'/objects/{key}')
        return body if resp.status == 200 else None


def make_platform(kind, address, port, local_address=None):
    """Return the platform by the adapter ``kind``."""
    return _adapters.platform_adapters.get(kind)(address, port, local_address)
