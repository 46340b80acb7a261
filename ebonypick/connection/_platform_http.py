"""The adapter for the platform's table and object store over HTTP."""

import asyncio
import dataclasses
import time

import msgspec

from ebonypick.connection import _adapters
from ebonypick.connection import _pool
from ebonypick import errors
from ebonypick import json_text
from ebonypick import version

CURRENT_KEY = 'config/current'
TIMEOUT_S = 2.0


@dataclasses.dataclass(frozen=True)
class Condition:
    """Requires that a row has this revision; 0 means that it is absent."""

    key: str
    revision: int


@dataclasses.dataclass(frozen=True)
class Put:
    """Sets the value of a row; None removes the row."""

    key: str
    value: dict | None


@dataclasses.dataclass(frozen=True)
class Transaction:
    """Writes that are applied atomically if all conditions hold."""

    conditions: tuple[Condition, ...]
    puts: tuple[Put, ...]


@dataclasses.dataclass(frozen=True)
class StoredRow:
    """A row as read from the table."""

    key: str
    revision: int
    value: dict


@dataclasses.dataclass(frozen=True)
class PlatformTime:
    """A lower bound of the platform's time, extrapolated between answers."""

    platform_s: float
    monotonic_s: float

    def now(self):
        """Return the current lower bound in seconds since the epoch."""
        return self.platform_s + time.monotonic() - self.monotonic_s


class PlatformClient:
    """Connections to a service of the platform; an async context manager.

    Parameters
    ==========
    address : str
        IP address of the service.
    port : int
        TCP port of the service.
    local_address : str, optional
        Local IP address to connect from.
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
    """Client of the table and object store in this project's own protocol."""

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
            self._update_time(float(stamp))
        return resp, body

    def _update_time(self, platform_s):
        found = PlatformTime(platform_s, time.monotonic())
        if self.time is None or found.now() > self.time.now():
            self.time = found

    async def read_row(self, key):
        """Return a row, or None if there is no such row.

        Raises
        ======
        errors.PlatformError
            If the platform did not answer.
        """
        resp, body = await self._call('GET', f'/table/{key}')
        if resp.status == 404:
            return None
        return json_text.decode(body, StoredRow)

    async def write(self, transaction):
        """Apply a transaction; return whether its conditions held.

        Raises
        ======
        errors.PlatformError
            If the platform did not answer. The writes may have been applied.
        """
        data = msgspec.json.encode(transaction)
        resp, _ = await self._call('POST', '/table', data)
        return resp.status == 200

    async def poll_current(self):
        """Return the row of the current version if it has changed.

        The ETag of the previous answer identifies a change. The result is
        None if there is no change or no version.

        Raises
        ======
        errors.PlatformError
            If the platform did not answer.
        """
        headers = [('If-None-Match', self._etag)] if self._etag else []
        resp, body = await self._call(
            'GET', f'/table/{CURRENT_KEY}', headers=headers
        )
        if resp.status != 200:
            return None
        self._etag = resp.headers.get('etag')
        stored = json_text.decode(body, StoredRow)
        return msgspec.convert(stored.value, version.Row)

    async def read_version_row(self, number):
        """Return the row of a version, or None if there is none."""
        stored = await self.read_row(f'config/versions/{number}')
        if stored is None:
            return None
        return msgspec.convert(stored.value, version.Row)

    async def commit(self, operation):
        """Commit a version as the current one.

        The current row is written once for each version. Its revision is
        therefore the number of the version, and the condition on it needs
        no preceding read.

        Parameters
        ==========
        operation : version.Commit
            The version to commit and the version on which it is based.

        Returns
        =======
        version.Row or None
            None if the commit succeeded. After a conflict, the stored row of
            this version number, or else the row of the current version.

        Raises
        ======
        errors.PlatformError
            If the platform did not answer. The commit may have been applied.
        """
        row = operation.row
        value = msgspec.to_builtins(row)
        name = f'config/versions/{row.number}'
        held = await self.write(
            Transaction(
                (Condition(CURRENT_KEY, operation.base), Condition(name, 0)),
                (Put(CURRENT_KEY, value), Put(name, value)),
            )
        )
        if held:
            return None
        found = await self.read_version_row(row.number)
        return found or await self.read_current()

    async def read_current(self):
        """Return the row of the current version, or None if there is none.

        Raises
        ======
        errors.PlatformError
            If the platform did not answer.
        """
        stored = await self.read_row(CURRENT_KEY)
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
        """Return the bytes of an object, or None if it does not exist.

        Raises
        ======
        errors.PlatformError
            If the platform did not answer.
        """
        resp, body = await self._call('GET', f'/objects/{key}')
        return body if resp.status == 200 else None


def make_platform(kind, address, port, local_address=None):
    """Create the client of the platform with the adapter ``kind``."""
    return _adapters.platform_adapters.get(kind)(address, port, local_address)
