"""Translates between the formats of the users' platform and our types.

The names, headers, paths and fields of the platform occur in this package
only.
"""

from ebonypick.platform._config import decode_config
from ebonypick.platform._entries import decode_evacuation
from ebonypick.platform._entries import decode_server
from ebonypick.platform._headers import answer_head
from ebonypick.platform._headers import caller_request
from ebonypick.platform._headers import forward_head
from ebonypick.platform._headers import own_answer_headers
from ebonypick.platform._headers import relay_head
from ebonypick.platform._lookup import answer_lookup
from ebonypick.platform._lookup import is_lookup
from ebonypick.platform._lookup import is_readiness
from ebonypick.platform._lookup import lookup_place
from ebonypick.platform._revision import NO_REVISION
from ebonypick.platform._revision import Revision
from ebonypick.platform._store import FEED_MARGIN_S
from ebonypick.platform._store import HistoryExpiredError
from ebonypick.platform._store import HOST_TABLE
from ebonypick.platform._store import OPERATOR_TABLE
from ebonypick.platform._store import SERVER_TABLE
from ebonypick.platform._store import TableRow
from ebonypick.platform._store import TableState
from ebonypick.platform._store import TableStore

__all__ = (
    'FEED_MARGIN_S',
    'HOST_TABLE',
    'HistoryExpiredError',
    'NO_REVISION',
    'OPERATOR_TABLE',
    'Revision',
    'SERVER_TABLE',
    'TableRow',
    'TableState',
    'TableStore',
    'answer_head',
    'answer_lookup',
    'caller_request',
    'decode_config',
    'decode_evacuation',
    'decode_server',
    'forward_head',
    'is_lookup',
    'is_readiness',
    'lookup_place',
    'own_answer_headers',
    'relay_head',
)
