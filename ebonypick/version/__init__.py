"""Versions of the configuration: files, checks, deltas and shifts."""

from ebonypick.version._blocks import BlockTable
from ebonypick.version._blocks import make_block_table
from ebonypick.version._check import build_configuration
from ebonypick.version._check import Bundle
from ebonypick.version._check import parse_time
from ebonypick.version._convert import convert
from ebonypick.version._edit import set_value
from ebonypick.version._files import read_bundle
from ebonypick.version._holder import apply_delta
from ebonypick.version._holder import bundle_digest
from ebonypick.version._holder import decode_bundle
from ebonypick.version._holder import Delta
from ebonypick.version._holder import EMPTY_BUNDLE
from ebonypick.version._holder import encode_bundle
from ebonypick.version._holder import Holder
from ebonypick.version._holder import make_delta
from ebonypick.version._holder import make_version
from ebonypick.version._holder import Version
from ebonypick.version._merge import merge_patch
from ebonypick.version._model import Address
from ebonypick.version._model import Base
from ebonypick.version._model import Configuration
from ebonypick.version._model import Overlay
from ebonypick.version._model import Port
from ebonypick.version._model import Service
from ebonypick.version._model import Shift
from ebonypick.version._origin import differing_values
from ebonypick.version._origin import effective_values
from ebonypick.version._origin import Origin
from ebonypick.version._parse import parse_source
from ebonypick.version._parse import read_source
from ebonypick.version._shift import allowed_share
from ebonypick.version._submit import Accepted
from ebonypick.version._submit import changed_paths
from ebonypick.version._submit import Commit
from ebonypick.version._submit import Conflict
from ebonypick.version._submit import make_submission
from ebonypick.version._submit import PutObject
from ebonypick.version._submit import ReadRow
from ebonypick.version._submit import Row
from ebonypick.version._submit import Submission
from ebonypick.version._submit import Undecided
from ebonypick.version._traffic import CallerLimits
from ebonypick.version._traffic import RequestKind
from ebonypick.version._traffic import Route
from ebonypick.version._traffic import ServiceShare
from ebonypick.version._traffic import ServiceTerms
from ebonypick.version._traffic import TrafficConfig

__all__ = (
    'CallerLimits',
    'RequestKind',
    'Route',
    'ServiceShare',
    'ServiceTerms',
    'TrafficConfig',
    'Accepted',
    'Address',
    'Base',
    'BlockTable',
    'Bundle',
    'Commit',
    'Configuration',
    'Conflict',
    'Delta',
    'EMPTY_BUNDLE',
    'Holder',
    'Origin',
    'Overlay',
    'Port',
    'PutObject',
    'ReadRow',
    'Row',
    'Service',
    'Shift',
    'Submission',
    'Undecided',
    'Version',
    'allowed_share',
    'apply_delta',
    'build_configuration',
    'bundle_digest',
    'changed_paths',
    'convert',
    'decode_bundle',
    'differing_values',
    'effective_values',
    'encode_bundle',
    'make_block_table',
    'make_delta',
    'make_submission',
    'make_version',
    'merge_patch',
    'parse_source',
    'parse_time',
    'read_bundle',
    'read_source',
    'set_value',
)
