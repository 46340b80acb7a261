"""The platform's store: tables of rows, and a feed of what changed."""

import asyncio
import base64
import dataclasses
import urllib.parse

import msgspec

from ebonypick import connection
from ebonypick import events
from ebonypick.platform import _revision
from ebonypick.platform import _units

OPERATOR_TABLE = 'op'
SERVER_TABLE = 'servers'
HOST_TABLE = 'ebonypick-hosts'

CALL_TIMEOUT_S = 2.0
# What a feed may take beyond the time that it waits at the store.
FEED_EXTRA_S = 1.0
PAGE_ROWS = 500
# In each answer: how often the store has come back from an older copy.
_ERA = 'store-era'


@dataclasses.dataclass(frozen=True)
class TableRow:
    """A row of a table.

    Parameters
    ==========
    key : str
        Its key.
    value : bytes or None
        Its value; None where the row was removed.
    revision : Revision
        The store's revision of its last change.
    """

    key: str
    value: bytes | None
    revision: _revision.Revision


@dataclasses.dataclass(frozen=True)
class TableState:
    """Rows of a table as of one moment.

    Parameters
    ==========
    revision : Revision
        The store's newest revision then.
    rows : tuple of TableRow
        The rows, or those that changed.
    """

    revision: _revision.Revision
    rows: tuple[TableRow, ...]


class HistoryGoneError(Exception):
    """The store no longer has the changes that were asked for."""


class _Row(msgspec.Struct):
    key: str
    value: str | None = None
    # The revision of the row, not of its contents.
    ver: int = 0
    # Whether the row was removed.
    tombstone: bool = False


class _Rows(msgspec.Struct):
    rows: list[_Row]
    # The newest revision of the whole store.
    ver: int
    hasMore: bool = False


class _Place(msgspec.Struct, omit_defaults=True):
    table: str
    key: str
    part: str = ''


class _Condition(_Place, omit_defaults=False):
    # The revision that the row must have; 0 where there must be none.
    ver: int = 0


class _Put(_Place, omit_defaults=False):
    value: str = ''


class _Transaction(msgspec.Struct):
    # Conditions on rows.
    expectedRev: list[_Condition]
    put: list[_Put]
    remove: list[_Place]


def _split(key):
    table, _, name = key.partition('/')
    return table, name


def _state(era, number, rows):
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
        # Nothing can be read of it; it is skipped, and logged, as a value.
        value = row.value.encode()
    return TableRow(row.key, value, revision)


@connection.platform_adapters.register('table')
class TableStore(connection.PlatformClient):
    """The users' store.

    Keys of single rows are a table and a name with a slash between.
    """

    def __init__(self, address, port, local_address=None):
        super().__init__(address, port, local_address)
        self._era = 0
        self._odd_era = None

    @property
    def era(self):
        """The highest era that is known."""
        return self._era

    def note_era(self, era):
        """Take in an era that another host has seen."""
        self._era = max(self._era, era)

    def _era_of(self, text, sent_in):
        """Return the era of an answer.

        Explanation
        ===========
        A header that is missing, unreadable or behind counts as the era
        known, so that a faulty one leaves no host blind. Where the era has
        risen since the call was sent, it shows an answer from before: what
        it says is not to be taken for news.

        Parameters
        ==========
        text : str
            The header; empty where there is none.
        sent_in : int
            The era known as the call was sent.
        """
        era = _units.parse_whole(text)
        if era is not None and era >= self._era:
            self._era = era
            return era
        # A store that knows no eras sends no header; that is no fault.
        if text != self._odd_era and (text or self._era):
            self._odd_era = text
            events.ERA_ODD.log(
                header=text[: _units.DIGITS_MOST], era=self._era
            )
        if sent_in < self._era:
            raise self._error('the answer is older than the store of now')
        return self._era

    async def _call(self, method, path, data=None, timeout_s=CALL_TIMEOUT_S):
        headers = [('content-type', 'application/json')] if data else []
        sent_in = self._era
        try:
            # Bounds the body too: its rest may never come.
            async with asyncio.timeout(timeout_s):
                async with self._pool.request(
                    method, path, headers, data
                ) as resp:
                    body = await connection.read_message(resp)
                    era = self._era_of(resp.headers.get(_ERA, ''), sent_in)
                    return resp.status, body, era
        except (connection.ConnectFailedError, connection.LostError) as exc:
            self._pool.retire()
            raise self._error(exc) from exc
        except OSError as exc:
            self._pool.retire()
            raise self._error(f'{exc!r}') from exc

    async def _get_rows(self, path, timeout_s=CALL_TIMEOUT_S):
        status, body, era = await self._call('GET', path, timeout_s=timeout_s)
        if status == 410:
            raise HistoryGoneError(path)
        if status != 200:
            raise self._error(f'status {status}')
        try:
            return msgspec.json.decode(body, type=_Rows), era
        except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
            raise self._error(exc) from exc

    async def read_table(self, table):
        """Return the whole of a table.

        Raises
        ======
        errors.PlatformError
            If the store did not answer.
        """
        path = f'/rows-get?table={table}&part=&limit={PAGE_ROWS}'
        found, era = await self._get_rows(path)
        # Later pages may be newer; the feed from the first one's revision
        # brings what changed between them.
        number = found.ver
        rows = list(found.rows)
        while found.hasMore:
            # The next key in byte order is this one and a zero byte.
            after = urllib.parse.quote(rows[-1].key + '\0', safe='')
            found, page_era = await self._get_rows(f'{path}&from={after}')
            if page_era != era:
                raise self._error('an older copy came between two pages')
            rows += found.rows
        return _state(era, number, rows)

    async def watch(self, table, revision, wait_s):
        """Return what changed in a table after a revision, once it did.

        In a later era than the revision's the rows are no changes to it.

        Parameters
        ==========
        table : str
            The table.
        revision : Revision
            As of the last answer.
        wait_s : float
            Longest time to wait for a change.

        Raises
        ======
        errors.PlatformError
            If the store did not answer.
        HistoryGoneError
            If the table has to be read anew.
        """
        path = f'/rows-feed?table={table}&after={revision.number}'
        found, era = await self._get_rows(
            f'{path}&waitMs={round(wait_s * 1000)}', wait_s + FEED_EXTRA_S
        )
        return _state(era, found.ver, found.rows)

    async def write(self, transaction):
        """Write rows; return whether the conditions held.

        Parameters
        ==========
        transaction : connection.Transaction
            Conditions and rows.

        Raises
        ======
        errors.PlatformError
            If the store did not answer; the writes may have been made.
        """
        conditions = [
            _Condition(*_split(cond.key), ver=cond.revision)
            for cond in transaction.conditions
        ]
        puts = []
        removed = []
        for put in transaction.puts:
            if put.value is None:
                removed.append(_Place(*_split(put.key)))
                continue
            value = base64.b64encode(msgspec.json.encode(put.value))
            puts.append(_Put(*_split(put.key), value=value.decode()))
        data = msgspec.json.encode(_Transaction(conditions, puts, removed))
        status, _, _ = await self._call('POST', '/rows-tx', data)
        if status not in (200, 412):
            raise self._error(f'status {status}')
        return status == 200
