"""A caller that sends further requests before the first one is answered."""

import asyncio
import contextlib

import httptools


class _Answers:
    """Collects answers in their order, as a parser finds them."""

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
        self.whole.append((self.parser.get_status_code(), *self._rest()))

    def _rest(self):
        return self._body, self._headers


class PipeliningConnection:
    """One connection of such a caller; an async context manager.

    Parameters
    ==========
    address : (str, int)
        Of the entry host.
    """

    def __init__(self, address):
        self._address = address
        self._reader = None
        self._writer = None
        self._answers = _Answers()
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
        """Send requests at once; return the answers that came, in order.

        Parameters
        ==========
        requests : list of bytes
            Whole requests.

        Returns
        =======
        list of (int, bytes, dict)
            Status, body and headers; fewer than requests where the
            connection ended.
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
            # A broken answer counts as none, like a lost connection.
            self.open = False
        return answers.whole
