"""Log events with codes; the catalogue page is generated from them."""

import dataclasses

import eliot

_catalogue = {}


@dataclasses.dataclass(frozen=True)
class Event:
    """A kind of log line.

    Parameters
    ==========
    code : str
        The unique code, such as ``EP1203``.
    text : str
        A sentence that names the object and what happened to it.
    fields : tuple of str
        The names of the fields that each log line has.
    """

    code: str
    text: str
    fields: tuple

    def log(self, **fields):
        """Write a log line with the given fields."""
        eliot.log_message(message_type=self.code, text=self.text, **fields)


def define(code, text, *fields):
    """Return a new event after adding it to the catalogue.

    Raises
    ======
    ValueError
        If another event has the code.
    """
    if code in _catalogue:
        raise ValueError(f'The event code {code} is already defined.')
    event = Event(code, text, fields)
    _catalogue[code] = event
    return event


def catalogue():
    """Return all events, sorted by code."""
    return tuple(_catalogue[code] for code in sorted(_catalogue))


PROCESS_STARTED = define(
    'EP1001', 'The process accepts requests.', 'host', 'address', 'port'
)
PROCESS_LEAVING = define(
    'EP1002', 'A planned stop of the process began.', 'host', 'in_flight'
)
PROCESS_STOPPED = define(
    'EP1003', 'The process exits after a planned stop.', 'host', 'in_flight'
)
LOOKUP = define(
    'EP1101',
    'A look-up of entry hosts was answered.',
    'client',
    'region',
    'hosts',
)
ROUTED = define(
    'EP1201',
    'A request was routed to an owner of backend servers.',
    'req',
    'service',
    'owner',
    'reason',
    'attempt',
)
PLACED = define(
    'EP1202',
    'A request was assigned a slot of a backend server.',
    'req',
    'service',
    'backend',
    'waited_ms',
)
REFUSED = define(
    'EP1203',
    'An owner of backend servers rejected a request.',
    'req',
    'service',
    'reason',
    'retry_after_s',
)
ANSWERED = define(
    'EP1204', 'A request was answered.', 'req', 'service', 'outcome', 'status'
)
MISMATCHED_ANSWER = define(
    'EP1205',
    'An answer that names another request was discarded.',
    'req',
    'found',
)
SHED = define(
    'EP1206', 'A backend server shed a request.', 'req', 'backend', 'limit'
)
HEDGED = define(
    'EP1207',
    'A read without an answer was sent a second time as a hedge.',
    'req',
    'service',
    'waited_ms',
)
PEER_SILENT = define(
    'EP1208',
    'The connections to a peer that stopped answering were retired.',
    'peer',
    'generation',
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
    'limit_per_s',
    'passed_limited',
    'config',
    'in_force',
    'homes',
)
ATTEMPT_ENDED = define(
    'EP1212',
    'An attempt on a backend server ended without an answer to forward.',
    'req',
    'backend',
    'outcome',
    'why',
    'took_ms',
    'unreached',
)
REQUEST_ENDED = define(
    'EP1213',
    'A request ended on this host.',
    'req',
    'route',
    'status',
    'outcome',
    'why',
    'took_ms',
    'config',
    'relayed_by',
)
RELAYED = define(
    'EP1214',
    'A request was passed on to another entry host, as this one reaches no '
    'backend server.',
    'req',
    'route',
    'service',
    'host',
    'outcome',
    'why',
    'took_ms',
    'config',
)
REPEAT_DECIDED = define(
    'EP1215',
    'The limit on repeated attempts allowed a repeat of a request or '
    'refused it.',
    'req',
    'service',
    'allowed',
    'room',
    'hosts',
)
CLIENTS_SHED = define(
    'EP1216',
    'Connections were closed, or their requests refused, as the clients of a '
    'port hold too much.',
    'port',
    'connections',
    'used_bytes',
    'closed',
    'why',
)
BACKEND_CHANGED = define(
    'EP1301', 'A backend server changed its state.', 'backend', 'state', 'why'
)
OWNERSHIP_CHANGED = define(
    'EP1302',
    'The backend servers that this host owns changed.',
    'service',
    'backends',
)
MEMBER_CHANGED = define(
    'EP1303',
    'An entry host changed its state.',
    'member',
    'state',
    'why',
    'age_s',
    'round_s',
)
CONFIG_IN_FORCE = define(
    'EP1401',
    'A configuration version is in force.',
    'version',
    'digest',
    'source',
    'bytes',
)
CONFIG_IGNORED = define(
    'EP1402',
    'A received configuration was ignored; the one in force stays.',
    'version',
    'have',
    'why',
)
STORE_LOST = define(
    'EP1411',
    'A table of the store cannot be followed; its last known rows stay '
    'in use.',
    'table',
    'revision',
    'answer_age_s',
    'why',
)
FEED_SILENT = define(
    'EP1422',
    'A feed of the store did not answer in time; its changes are requested '
    'on a new connection.',
    'table',
    'revision',
    'answer_age_s',
)
SUBSTITUTE_ASKED = define(
    'EP1423',
    'The store does not answer this host, which asked another one to read it '
    'in its place.',
    'peer',
    'status',
    'unanswered_s',
)
SUBSTITUTE_READS = define(
    'EP1424',
    'This host was asked to read the store for the region and called it; the '
    'store answered or not.',
    'peer',
    'served',
    'revision',
)
STORE_REGAINED = define(
    'EP1412',
    'A table of the store is followed again after an outage.',
    'table',
    'revision',
    'away_s',
)
HISTORY_EXPIRED = define(
    'EP1413',
    'The store no longer has the changes to a table after a revision; the '
    'whole table is read again.',
    'table',
    'revision',
)
STORE_RESTORED = define(
    'EP1419',
    'The store was restored from an older copy; rows known from before stay '
    'in use until they are written again.',
    'table',
    'known',
    'revision',
    'kept',
)
RETAINED_ROWS_EXPIRED = define(
    'EP1420',
    'Retained rows were not written again before their deadline; the rows '
    'of the store replace them.',
    'table',
    'revision',
    'keys',
)
ERA_INVALID = define(
    'EP1421',
    'The era in an answer of the store is missing, unreadable or lower than '
    'the era known.',
    'header',
    'era',
)
PEER_FAILED = define(
    'EP1414',
    'Rows of a table could not be exchanged with another host.',
    'table',
    'peer',
    'why',
    'bytes',
)
GOSSIP_FAILED = define(
    'EP1416',
    'A membership message could not be exchanged with another host.',
    'member',
    'why',
)
HOST_REMOVED = define(
    'EP1418',
    'The row of a departed host was removed, or was left because it had '
    'changed.',
    'member',
    'revision',
    'removed',
)
CLAIM_FAILED = define(
    'EP1417',
    'The result of a call about the claim of an idempotency key is unknown.',
    'key',
    'call',
    'why',
)
ENTRY_SKIPPED = define(
    'EP1415',
    'A row of the store cannot be used and was skipped.',
    'table',
    'key',
    'why',
)
BACKENDS_CHANGED = define(
    'EP1311',
    'The backend servers that are registered in the store changed.',
    'revision',
    'backends',
    'draining',
    'added',
    'removed',
)
BACKEND_LEAVES = define(
    'EP1313',
    'A backend server announced that it leaves; it gets no new requests.',
    'backend',
    'source',
    'req',
)
BACKEND_HOLDS_OFF = define(
    'EP1314',
    'A backend server asked this host to pause its requests for a time.',
    'backend',
    'req',
    'span_s',
)
BACKEND_LIMITS = define(
    'EP1315',
    'A backend server changed the rate of requests that it accepts from all '
    'hosts together; without a limit, it accepts any rate.',
    'backend',
    'limit_per_s',
    'before_per_s',
    'sends',
    'source',
    'req',
)
BACKEND_LIMIT_UNREADABLE = define(
    'EP1316',
    'A backend server named a limit that cannot be read; the known limit '
    'stays in force.',
    'backend',
    'header',
    'req',
)
BACKEND_CRASHED = define(
    'EP1317',
    'A backend server crashed while it ran a request.',
    'backend',
    'req',
    'digest',
    'crashes',
)
CRASHES_RECEIVED = define(
    'EP1318',
    'Another host reported that backend servers crashed with a request, or '
    'that one answered it.',
    'digest',
    'crashes',
    'source',
)
HOST_CUT_OFF = define(
    'EP1319',
    'This host reaches no backend server; other hosts take its requests.',
    'unreached',
)
HOST_RECONNECTED = define(
    'EP1320',
    'This host reaches backend servers again.',
    'cut_s',
    'others_reach',
)
EVACUATION_CHANGED = define(
    'EP1312',
    'The set of evacuated data centres changed.',
    'revision',
    'centres',
)
SETTINGS_RELOADED = define(
    'EP1004', 'The settings file was read again.', 'host', 'changed', 'why'
)
SETTINGS_REFUSED = define(
    'EP1005',
    'The changed settings are not valid; the earlier ones stay in force.',
    'why',
)
PLATFORM_FAILED = define('EP1403', 'A call to the platform failed.', 'why')
TASK_FAILED = define(
    'EP1901',
    'A task met an unexpected error; the process continues.',
    'task',
    'why',
)
