"""Connection pools and the adapters of the external interfaces.

The adapters for callers, backend servers, the platform and its host list are
registered by name, so that support for another protocol needs only one more
module.
"""

from ebonypick.connection._adapters import backend_adapters
from ebonypick.connection._adapters import caller_adapters
from ebonypick.connection._adapters import hostlist_adapters
from ebonypick.connection._adapters import platform_adapters
from ebonypick.connection._backend_http import AnswerMismatchError
from ebonypick.connection._backend_http import make_backend_link
from ebonypick.connection._backend_http import read_start
from ebonypick.connection._caller_http import make_caller_server
from ebonypick.connection._caller_http import problem
from ebonypick.connection._caller_request import CallerRequest
from ebonypick.connection._client_budget import Capacity
from ebonypick.connection import _coding as coding
from ebonypick.connection._exchange import Answer
from ebonypick.connection import _headers as headers
from ebonypick.connection._hostlist_http import make_host_list
from ebonypick.connection._platform_http import Condition
from ebonypick.connection._platform_http import make_platform
from ebonypick.connection._platform_http import PlatformClient
from ebonypick.connection._platform_http import PlatformTime
from ebonypick.connection._platform_http import Put
from ebonypick.connection._platform_http import StoredRow
from ebonypick.connection._platform_http import Transaction
from ebonypick.connection._pool import BadAnswerError
from ebonypick.connection._pool import ConnectFailedError
from ebonypick.connection._pool import LostError
from ebonypick.connection._pool import MAX_MESSAGE_BYTES
from ebonypick.connection._pool import Pool
from ebonypick.connection._pool import read_message
from ebonypick.connection._server_pool import request_bytes
from ebonypick.connection._server_pool import ServerPool
from ebonypick.connection._server_pool import ServerPools

__all__ = (
    'Answer',
    'BadAnswerError',
    'CallerRequest',
    'Capacity',
    'Condition',
    'ConnectFailedError',
    'AnswerMismatchError',
    'LostError',
    'MAX_MESSAGE_BYTES',
    'PlatformClient',
    'PlatformTime',
    'Pool',
    'Put',
    'ServerPool',
    'ServerPools',
    'StoredRow',
    'Transaction',
    'backend_adapters',
    'caller_adapters',
    'coding',
    'headers',
    'hostlist_adapters',
    'make_backend_link',
    'make_caller_server',
    'make_host_list',
    'make_platform',
    'platform_adapters',
    'problem',
    'read_message',
    'read_start',
    'request_bytes',
)
