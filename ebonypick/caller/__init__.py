"""The client library for callers."""

from ebonypick.caller._client import Caller
from ebonypick.caller._client import CallerAnswer
from ebonypick.caller._client import Endpoint
from ebonypick.caller._client import LookUp
from ebonypick.caller._client import make_caller

__all__ = ('Caller', 'CallerAnswer', 'Endpoint', 'LookUp', 'make_caller')
