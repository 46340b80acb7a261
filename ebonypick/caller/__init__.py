"""The client library for callers."""

from ebonypick.caller._client import Caller
from ebonypick.caller._client import CallerAnswer
from ebonypick.caller._client import make_caller
from ebonypick.caller._lookups import Endpoint
from ebonypick.caller._lookups import LookUp

__all__ = ('Caller', 'CallerAnswer', 'Endpoint', 'LookUp', 'make_caller')
