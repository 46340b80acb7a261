"""The processes of both kinds of host: membership, tasks and requests."""

from ebonypick.process._entry_host import EntryHost
from ebonypick.process._entry_host import make_entry_host
from ebonypick.process._gossip_messages import CentreRecord
from ebonypick.process._gossip_messages import HostRecord
from ebonypick.process._gossip_messages import Message
from ebonypick.process._links import make_budgets
from ebonypick.process._membership import Membership
from ebonypick.process._membership import View
from ebonypick.process._observations import LIFE_S
from ebonypick.process._observations import SUSPECT_SHARE
from ebonypick.process._ownership import make_layout
from ebonypick.process._settings import Endpoint
from ebonypick.process._settings import load_settings
from ebonypick.process._settings import Settings

__all__ = (
    'CentreRecord',
    'Endpoint',
    'EntryHost',
    'HostRecord',
    'LIFE_S',
    'Membership',
    'Message',
    'SUSPECT_SHARE',
    'Settings',
    'View',
    'load_settings',
    'make_budgets',
    'make_entry_host',
    'make_layout',
)
