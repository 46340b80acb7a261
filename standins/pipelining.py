"""HTTP/1.1 client that pipelines requests."""

import asyncio
import contextlib

import httptools


class _AnswerCollector:
    """Parser callbacks that collect complete answers in order."""

    def __init__(self):
        self.whole = []
        self._headers = {}
        self._body = b''

    def on_message_begin(self):
        self._headers = {}
        self._body = b''

    def on_header(self, name, value):
        self._headers[name.decode().lower()] = value.decode()

    def on_body(self, data):
        self._body += data

    def on_message_complete(self):
        self.whole.append(
            (self.parser.get_status_code(), *self._body_and_headers())
        )

    def _body_and_headers(self):
        return self._body, self._headers


class PipeliningConnection:
    """A connection with pipelining; an async context manager.

    Parameters
    ==========
    address : (str, int)
        IP address and port of the entry host.
    """

    def __init__(self, address):
        self._address = address
        self._reader = None
        self._writer = None
        self._answers = _AnswerCollector()
        self._answers.parser = httptools.HttpResponseParser(self._answers)
        self.open = True

    async def __aenter__(self):
        self._reader, self._writer = await asyncio.open_connection(
            *self._address
        )
        return self

    async def __aexit__(self, *exc_info):
        self._writer.close()
        with contextlib.suppress(OSError):
            await self._writer.wait_closed()

    async def ask(self, requests):
        """Send requests at once; return the answers received, in order.

        Parameters
        ==========
        requests : list of bytes
            Complete requests, head and body.

        Returns
        =======
        list of (int, bytes, dict)
            Status, body and headers of each answer. The list is shorter
            than ``requests`` if the connection closed early.
        """
        answers = self._answers
        answers.whole = []
        try:
            self._writer.write(b''.join(requests))
            while self.open and len(answers.whole) < len(requests):
                data = await self._reader.read(65_536)
                if not data:
                    self.open = False
                    break
                answers.parser.feed_data(data)
                if any(
                    headers.get('connection') == 'close'
                    for _, _, headers in answers.whole
                ):
                    self.open = False
        except (OSError, httptools.HttpParserError):
            # A malformed answer counts as missing, as on a lost connection.
            self.open = False
        return answers.whole
