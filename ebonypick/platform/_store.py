"""Client of the platform's store: tables of rows and a feed of changes."""

import asyncio
import base64
import dataclasses
import urllib.parse

import msgspec

from ebonypick import connection
from ebonypick import errors
from ebonypick import events
from ebonypick import json_text
from ebonypick.platform import _revision
from ebonypick import whole_numbers

OPERATOR_TABLE = 'op'
SERVER_TABLE = 'servers'
HOST_TABLE = 'ebonypick-hosts'

CALL_TIMEOUT_S = 2.0
# Time that a feed call may take beyond its wait for changes at the store.
FEED_MARGIN_S = 0.8
PAGE_ROWS = 500
# Header of each answer: the number of times that the store was restored from
# an older copy.
_ERA = 'store-era'


@dataclasses.dataclass(frozen=True)
class TableRow:
    """A row of a table.

    Parameters
    ==========
    key : str
        The key.
    value : bytes or None
        The value; None where the row was removed.
    revision : Revision
        The revision of the store at the last change of the row.
    """

    key: str
    value: bytes | None
    revision: _revision.Revision


@dataclasses.dataclass(frozen=True)
class TableState:
    """Rows of a table as of one revision of the store.

    Parameters
    ==========
    revision : Revision
        The newest revision of the store when the rows were read.
    rows : tuple of TableRow
        All rows of the table, or only the changed ones.
    """

    revision: _revision.Revision
    rows: tuple[TableRow, ...]


class HistoryExpiredError(Exception):
    """The store no longer has the requested history of changes."""


class _Row(msgspec.Struct):
    key: str
    value: str | None = None
    # Revision of the store at the last change of the row; it is no version of
    # the data in the row.
    ver: json_text.Whole = 0
    # Whether the row was removed.
    tombstone: bool = False


class _Rows(msgspec.Struct):
    # Each row is decoded by itself, so that an odd one costs no other.
    rows: list[msgspec.Raw]
    # Newest revision of the whole store.
    ver: json_text.Whole
    hasMore: bool = False


@dataclasses.dataclass(frozen=True)
class _Page:
    """The rows of one answer; rows that cannot be decoded are left out."""

    ver: int
    has_more: bool
    rows: list[_Row]


def _decode_rows(found):
    rows = []
    for data in found.rows:
        try:
            rows.append(json_text.decode(data, _Row))
        except msgspec.MsgspecError as exc:
            events.ENTRY_SKIPPED.log(table=None, key=None, why=str(exc))
    return rows


class _RowName(msgspec.Struct, omit_defaults=True):
    table: str
    key: str
    part: str = ''


class _Condition(_RowName, omit_defaults=False):
    # Revision that the row must have; 0 requires that the row does not exist.
    ver: int = 0


class _Put(_RowName, omit_defaults=False):
    value: str = ''


class _Transaction(msgspec.Struct):
    # Conditions that must all hold for the writes to be made.
    expectedRev: list[_Condition]
    put: list[_Put]
    remove: list[_RowName]


def _split_key(key):
    table, _, name = key.partition('/')
    return table, name


def _table_state(era, number, rows):
    return TableState(
        _revision.Revision(era, number),
        tuple(_table_row(era, row) for row in rows),
    )


def _table_row(era, row):
    revision = _revision.Revision(era, row.ver)
    if row.tombstone or row.value is None:
        return TableRow(row.key, None, revision)
    try:
        value = base64.b64decode(row.value)
    except ValueError:
        # The text is passed on as it is: it fails to decode later, where the
        # row is logged and skipped.
        value = row.value.encode()
    return TableRow(row.key, value, revision)


@connection.platform_adapters.register('table')
class TableStore(connection.PlatformClient):
    """Client of the platform's store of tables.

    The key of a single row is the table and the name, joined by a slash.
    """

    def __init__(self, address, port, local_address=None):
        super().__init__(address, port, local_address)
        self._era = 0
        self._last_invalid_era = None

    @property
    def era(self):
        """The highest era known."""
        return self._era

    def record_era(self, era):
        """Record an era that another host has received."""
        self._era = max(self._era, era)

    def _accept_era(self, text, era_at_send):
        """Return the era of an answer and record it if it is the highest.

        Explanation
        ===========
        A header that is missing, unreadable or below the era known counts as
        the era known, so that a faulty header does not stop a host from
        following the store. If the era known has risen since the call was
        sent, such an answer may predate the restore and is rejected.

        Parameters
        ==========
        text : str
            The value of the header; empty where it is missing.
        era_at_send : int
            The era known when the call was sent.

        Raises
        ======
        errors.PlatformError
            If the answer may predate a restore of the store.
        """
        era = whole_numbers.parse_whole(text)
        if era is not None and era >= self._era:
            self._era = era
            return era
        # A store without eras never sends the header, which is not logged.
        if text != self._last_invalid_era and (text or self._era):
            self._last_invalid_era = text
            events.ERA_INVALID.log(
                header=text[: whole_numbers.MAX_DIGITS], era=self._era
            )
        if era_at_send < self._era:
            raise self._error(
                f'the answer may predate era {self._era} of the store; the '
                f'call was sent in era {era_at_send}'
            )
        return self._era

    async def _call(self, method, path, data=None, timeout_s=CALL_TIMEOUT_S):
        headers = [('content-type', 'application/json')] if data else []
        era_at_send = self._era
        try:
            # The timeout covers the body too, as a transfer may stall.
            async with asyncio.timeout(timeout_s):
                async with self._pool.request(
                    method, path, headers, data
                ) as resp:
                    body = await connection.read_message(resp)
                    era = self._accept_era(
                        resp.headers.get(_ERA, ''), era_at_send
                    )
                    return resp.status, body, era
        except (connection.ConnectFailedError, connection.LostError) as exc:
            self._pool.retire()
            raise self._error(exc) from exc
        except TimeoutError as exc:
            self._pool.retire()
            raise errors.SilentPlatformError(
                address=self._address, reason=f'no answer in {timeout_s} s'
            ) from exc
        except OSError as exc:
            self._pool.retire()
            raise self._error(f'{exc!r}') from exc

    async def _get_rows(self, path, timeout_s=CALL_TIMEOUT_S):
        status, body, era = await self._call('GET', path, timeout_s=timeout_s)
        if status == 410:
            raise HistoryExpiredError(path)
        if status != 200:
            raise self._error(f'status {status}')
        try:
            found = json_text.decode(body, _Rows)
        except msgspec.MsgspecError as exc:
            raise self._error(exc) from exc
        return _Page(found.ver, found.hasMore, _decode_rows(found)), era

    async def read_table(self, table):
        """Return all rows of a table.

        Raises
        ======
        errors.PlatformError
            If the store did not answer.
        """
        path = f'/rows-get?table={table}&part=&limit={PAGE_ROWS}'
        found, era = await self._get_rows(path)
        # Later pages may be newer than the first one. The feed that starts
        # at the revision of the first page delivers the changes in between.
        number = found.ver
        rows = list(found.rows)
        while found.has_more:
            if not found.rows:
                raise self._error(f'no row of a page of {table} is readable')
            # The next key in byte order is the last key plus a zero byte.
            after = urllib.parse.quote(rows[-1].key + '\0', safe='')
            found, page_era = await self._get_rows(f'{path}&from={after}')
            if page_era != era:
                raise self._error(
                    f'the store was restored between two pages of {table}: '
                    f'era {era}, then {page_era}'
                )
            rows += found.rows
        return _table_state(era, number, rows)

    async def watch(self, table, revision, wait_s):
        """Wait for changes to a table after a revision and return them.

        If the era of the result is later than that of ``revision``, the rows
        are not a continuation of it: the table has to be read again.

        Parameters
        ==========
        table : str
            The name of the table.
        revision : Revision
            The revision of the last answer.
        wait_s : float
            Longest time that the store waits for a change.

        Raises
        ======
        errors.SilentPlatformError
            If the store did not answer in time.
        errors.PlatformError
            If the call failed otherwise.
        HistoryExpiredError
            If the whole table has to be read again.
        """
        path = f'/rows-feed?table={table}&after={revision.number}'
        found, era = await self._get_rows(
            f'{path}&waitMs={round(wait_s * 1000)}', wait_s + FEED_MARGIN_S
        )
        return _table_state(era, found.ver, found.rows)

    async def write(self, transaction):
        """Write rows in one transaction; return whether it was committed.

        Parameters
        ==========
        transaction : connection.Transaction
            The conditions and the rows to write or remove.

        Raises
        ======
        errors.PlatformError
            If the store did not answer; the rows may have been written.
        """
        conditions = [
            _Condition(*_split_key(cond.key), ver=cond.revision)
            for cond in transaction.conditions
        ]
        puts = []
        removed = []
        for put in transaction.puts:
            if put.value is None:
                removed.append(_RowName(*_split_key(put.key)))
                continue
            value = base64.b64encode(msgspec.json.encode(put.value))
            puts.append(_Put(*_split_key(put.key), value=value.decode()))
        data = msgspec.json.encode(_Transaction(conditions, puts, removed))
        status, _, _ = await self._call('POST', '/rows-tx', data)
        if status not in (200, 412):
            raise self._error(f'status {status}')
        return status == 200
