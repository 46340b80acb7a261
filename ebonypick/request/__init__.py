"""Handles single requests: slots, routes, budgets, keys and outcomes."""

from ebonypick.request._budget import LinkBudget
from ebonypick.request._budget import RetryBudget
from ebonypick.request._budget import ShiftCredit
from ebonypick.request._choice import Ask
from ebonypick.request._choice import Chosen
from ebonypick.request._choice import Rejected
from ebonypick.request._choice import Ticket
from ebonypick.request._dispatcher import Arrival
from ebonypick.request._dispatcher import Dispatcher
from ebonypick.request._dispatcher import Forward
from ebonypick.request._dispatcher import Layout
from ebonypick.request._dispatcher import OwnerPlace
from ebonypick.request._fleet import Fleet
from ebonypick.request._hedge import HedgeDelay
from ebonypick.request._idempotency import ClaimLedger
from ebonypick.request._idempotency import Finished
from ebonypick.request._idempotency import Forgotten
from ebonypick.request._idempotency import Granted
from ebonypick.request._idempotency import NoRoom
from ebonypick.request._idempotency import parse_key
from ebonypick.request._idempotency import Record
from ebonypick.request._idempotency import Running
from ebonypick.request._lookup import EntryHostChoice
from ebonypick.request._lookup import look_up
from ebonypick.request._outcome import IDEMPOTENT_METHODS
from ebonypick.request._outcome import may_send_again
from ebonypick.request._outcome import Outcome
from ebonypick.request._outcome import RequestInfo
from ebonypick.request._outcome import Result
from ebonypick.request._owner import SlotOwner
from ebonypick.request._placement import Load
from ebonypick.request._placement import NoSlot
from ebonypick.request._placement import Offer
from ebonypick.request._placement import OwnerSettings
from ebonypick.request._placement import Placed
from ebonypick.request._placement import Queued
from ebonypick.request._placement import Report
from ebonypick.request._planned_stop import PlannedStop
from ebonypick.request._policy import expected_s
from ebonypick.request._policy import make_policy
from ebonypick.request._policy import policies
from ebonypick.request._policy import Target
from ebonypick.request._quarantine import CrashRecord
from ebonypick.request._quarantine import fingerprint
from ebonypick.request._quarantine import MAX_CRASHES
from ebonypick.request._quarantine import Quarantine
from ebonypick.request._rank import rendezvous
from ebonypick.request._rank import weighted_rendezvous
from ebonypick.request._reach import Reach
from ebonypick.request._relay_host import choose_relay_host
from ebonypick.request._retry_limit import RepeatLimit
from ebonypick.request._retry_limit import RepeatTerms
from ebonypick.request._round_robin import WeightedRoundRobin
from ebonypick.request._selection import Selection
from ebonypick.request._server import AnswerHead
from ebonypick.request._server import CallerHead
from ebonypick.request._server import LoadReport
from ebonypick.request._server import ServerEntry
from ebonypick.request._server_limits import ServerLimit
from ebonypick.request._serving import serving_hosts
from ebonypick.request._verdict import judge
from ebonypick.request._verdict import NOT_RUN_STATUSES
from ebonypick.request._verdict import Verdict

__all__ = (
    'AnswerHead',
    'Arrival',
    'Ask',
    'CallerHead',
    'Chosen',
    'ClaimLedger',
    'CrashRecord',
    'Dispatcher',
    'EntryHostChoice',
    'Finished',
    'Fleet',
    'Forgotten',
    'Forward',
    'Granted',
    'HedgeDelay',
    'IDEMPOTENT_METHODS',
    'Layout',
    'LinkBudget',
    'Load',
    'LoadReport',
    'MAX_CRASHES',
    'NOT_RUN_STATUSES',
    'NoRoom',
    'NoSlot',
    'Offer',
    'Outcome',
    'OwnerPlace',
    'OwnerSettings',
    'Placed',
    'PlannedStop',
    'Quarantine',
    'Queued',
    'Reach',
    'Record',
    'Rejected',
    'RepeatLimit',
    'RepeatTerms',
    'Report',
    'RequestInfo',
    'Result',
    'RetryBudget',
    'Running',
    'Selection',
    'ServerEntry',
    'ServerLimit',
    'ShiftCredit',
    'SlotOwner',
    'Target',
    'Ticket',
    'Verdict',
    'WeightedRoundRobin',
    'choose_relay_host',
    'expected_s',
    'fingerprint',
    'judge',
    'look_up',
    'make_policy',
    'may_send_again',
    'parse_key',
    'policies',
    'rendezvous',
    'serving_hosts',
    'weighted_rendezvous',
)
