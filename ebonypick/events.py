"""Numbered log events; the catalogue page is generated from here."""

import dataclasses

import eliot

_catalogue = {}


@dataclasses.dataclass(frozen=True)
class Event:
    """One kind of log line.

    Parameters
    ==========
    code : str
        Its number, such as ``EP1203``.
    text : str
        What happened, in one sentence.
    fields : tuple of str
        The names of the fields that each line carries.
    """

    code: str
    text: str
    fields: tuple

    def log(self, **fields):
        """Write one line with the given fields."""
        eliot.log_message(message_type=self.code, text=self.text, **fields)


def define(code, text, *fields):
    """Return a new event and file it in the catalogue.

    Raises
    ======
    ValueError
        If the code is taken.
    """
    if code in _catalogue:
        raise ValueError(f'The event {code} is defined twice.')
    event = Event(code, text, fields)
    _catalogue[code] = event
    return event


def catalogue():
    """Return all events, sorted by their code."""
    return tuple(_catalogue[code] for code in sorted(_catalogue))


PROCESS_STARTED = define(
    'EP1001', 'The process serves.', 'host', 'address', 'port'
)
PROCESS_LEAVING = define(
    'EP1002', 'A planned stop began.', 'host', 'in_flight'
)
PROCESS_STOPPED = define('EP1003', 'The process ends.', 'host', 'in_flight')
LOOKUP = define(
    'EP1101', 'A caller was told its entry hosts.', 'client', 'region', 'hosts'
)
ROUTED = define(
    'EP1201',
    'A request was routed to an owner.',
    'req',
    'service',
    'owner',
    'reason',
    'attempt',
)
PLACED = define(
    'EP1202',
    'A request was given a slot.',
    'req',
    'service',
    'backend',
    'waited_ms',
)
REFUSED = define(
    'EP1203',
    'A request was refused by an owner.',
    'req',
    'service',
    'reason',
    'retry_after_s',
)
ANSWERED = define(
    'EP1204', 'A request was answered.', 'req', 'service', 'outcome', 'status'
)
FOREIGN_ANSWER = define(
    'EP1205', 'An answer to another request was dropped.', 'req', 'found'
)
SHED = define(
    'EP1206', 'A backend server shed a request.', 'req', 'backend', 'limit'
)
HEDGED = define(
    'EP1207', 'A read was sent a second time.', 'req', 'service', 'waited_ms'
)
SILENT = define(
    'EP1208', 'A silent connection was retired.', 'peer', 'generation'
)
SENT = define(
    'EP1211',
    'A request was sent to a backend server.',
    'req',
    'route',
    'service',
    'backend',
    'attempt',
    'why',
    'on_hand',
    'report_age_s',
    'config',
)
ATTEMPT_ENDED = define(
    'EP1212',
    'An attempt gave no answer to pass on.',
    'req',
    'backend',
    'outcome',
    'why',
    'took_ms',
)
REQUEST_ENDED = define(
    'EP1213',
    'A request left this host.',
    'req',
    'route',
    'status',
    'outcome',
    'why',
    'took_ms',
    'config',
)
BACKEND_CHANGED = define(
    'EP1301', 'A backend server changed its state.', 'backend', 'state', 'why'
)
OWNERSHIP_CHANGED = define(
    'EP1302', 'The owned backend servers changed.', 'service', 'backends'
)
MEMBER_CHANGED = define(
    'EP1303', 'An entry host changed its state.', 'member', 'state', 'why'
)
CONFIG_IN_FORCE = define(
    'EP1401', 'A configuration is in force.', 'version', 'digest', 'source'
)
CONFIG_IGNORED = define(
    'EP1402', 'A configuration was not taken.', 'version', 'have', 'why'
)
STORE_LOST = define(
    'EP1411',
    'A table of the store cannot be followed; its last rows hold.',
    'table',
    'revision',
    'why',
)
STORE_REGAINED = define(
    'EP1412',
    'A table of the store is followed again.',
    'table',
    'revision',
    'away_s',
)
HISTORY_GONE = define(
    'EP1413',
    'The store forgot changes; the table is read anew.',
    'table',
    'revision',
)
STORE_RESTORED = define(
    'EP1419',
    'The store came back from an older copy; rows known from before hold '
    'until they are written again.',
    'table',
    'known',
    'revision',
    'kept',
)
KEPT_ENDED = define(
    'EP1420',
    'Rows that were not written again in time are as the store has them now.',
    'table',
    'revision',
    'keys',
)
ERA_ODD = define(
    'EP1421',
    'An answer of the store tells no era, or one that is behind.',
    'header',
    'era',
)
PEER_FAILED = define(
    'EP1414',
    'Rows did not go between this host and another.',
    'table',
    'peer',
    'why',
)
EXCHANGE_FAILED = define(
    'EP1416',
    'A message about who lives was not exchanged.',
    'member',
    'why',
)
HOST_REMOVED = define(
    'EP1418',
    'The row of a host that is gone was removed, or had changed.',
    'member',
    'revision',
    'removed',
)
CLAIM_FAILED = define(
    'EP1417',
    'A call about an idempotency key has no certain result.',
    'key',
    'call',
    'why',
)
ENTRY_SKIPPED = define(
    'EP1415', 'A row of the store cannot be used.', 'table', 'key', 'why'
)
BACKENDS_CHANGED = define(
    'EP1311',
    'The backend servers of the store changed.',
    'revision',
    'backends',
    'draining',
    'added',
    'removed',
)
BACKEND_LEAVES = define(
    'EP1313',
    'A backend server said that it leaves; it gets nothing more.',
    'backend',
    'source',
    'req',
)
BACKEND_HOLDS_OFF = define(
    'EP1314',
    'A backend server wants nothing from this host for a while.',
    'backend',
    'req',
    'span_s',
)
EVACUATION_CHANGED = define(
    'EP1312', 'The evacuated data centres changed.', 'revision', 'centres'
)
SETTINGS_RELOADED = define(
    'EP1004', 'The settings were read again.', 'host', 'changed', 'why'
)
SETTINGS_REFUSED = define(
    'EP1005', 'Changed settings cannot be used; the earlier ones hold.', 'why'
)
PLATFORM_FAILED = define('EP1403', 'The platform failed.', 'why')
TASK_FAILED = define('EP1901', 'A task failed and goes on.', 'task', 'why')
