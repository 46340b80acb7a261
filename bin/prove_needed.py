"""Takes each mechanism away in a copy and shows that its proof fails.

A proof that passes without its mechanism proves nothing. Prints one line
for each mechanism and returns 1 where a proof passed without it.
"""

import dataclasses
import pathlib
import shutil
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).parent.parent
LONGEST_S = 240


@dataclasses.dataclass(frozen=True)
class Cut:
    """A mechanism, how to take it away, and the tests that must fail.

    Parameters
    ==========
    invariant, mechanism : str
        What is proved, and what carries it.
    file, old, new : str
        An edit that takes the mechanism away.
    tests : tuple of str
        Arguments of pytest.
    more : tuple of (str, str, str)
        More edits: file, old and new text.
    """

    invariant: str
    mechanism: str
    file: str
    old: str
    new: str
    tests: tuple
    more: tuple = ()


UNRULY = 'tests/test_unruly_clients.py'
LOST_HOSTS = 'ebonypick/process/tests/test_lost_hosts.py'

CUTS = (
    Cut(
        'clients leave room on a host',
        'connections are shed for memory',
        'ebonypick/connection/_client_budget.py',
        'SHED_ABOVE = 0.75',
        'SHED_ABOVE = 75.0',
        (UNRULY, '-k', 'abound and uploads'),
        (
            (
                'ebonypick/connection/_client_budget.py',
                'return self.used_bytes >= self.capacity.memory_bytes',
                'return False',
            ),
        ),
    ),
    Cut(
        'clients leave room on a host',
        'connections make room for new ones',
        'ebonypick/connection/_client_budget.py',
        'return len(self._sizes) >= self.capacity.connections',
        'return False',
        (UNRULY, '-k', 'callers-idle'),
    ),
    Cut(
        'clients leave room on a host',
        'few requests are parsed ahead',
        'ebonypick/connection/_caller_stream.py',
        'MAX_PARSED_REQUESTS = 32',
        'MAX_PARSED_REQUESTS = 1_000',
        ('ebonypick/connection/tests/test_pipelining.py', '-k', 'burst'),
    ),
    Cut(
        'clients leave room on a host',
        'heads are held as bytes',
        'ebonypick/connection/_header_fields.py',
        'MAX_UNPACKED_FIELDS = 64',
        'MAX_UNPACKED_FIELDS = 64_000',
        ('ebonypick/connection/tests/test_header_fields.py',),
    ),
    Cut(
        'clients leave room on a host',
        'long names of objects are digested',
        'ebonypick/platform/_headers.py',
        '_MAX_OBJECT_KEY_CHARS = 64',
        '_MAX_OBJECT_KEY_CHARS = 64_000',
        (UNRULY, '-k', 'callers-long and names'),
    ),
    Cut(
        'callers of hosts without servers are served',
        'requests are passed on',
        'ebonypick/process/_attempt_series.py',
        'if self._node.reach.cut_off:',
        'if False:',
        ('tests/test_cut_off_hosts.py', '-k', 'are_served and 3'),
    ),
    Cut(
        'callers of hosts without servers are served',
        'look-ups leave them out',
        'ebonypick/process/_roster.py',
        'return self._with_capacity(self.reaching() or self.live())',
        'return self._with_capacity(self.live())',
        ('tests/test_cut_off_hosts.py', '-k', 'look_ups'),
    ),
    Cut(
        'callers of hosts without servers are served',
        'hosts probe when a neighbour is cut off',
        'ebonypick/process/_gossip.py',
        'self._node.receive_cut_off(name)',
        'pass',
        ('tests/test_cut_off_hosts.py', '-k', 'neighbours'),
    ),
    Cut(
        'callers of hosts without servers are served',
        'a wait lasts until an answer',
        'ebonypick/request/_fleet.py',
        'if self._unanswered_since is None:',
        'if True:',
        ('ebonypick/request/tests/test_reach.py',),
    ),
    Cut(
        'callers of hosts without servers are served',
        'an announcement that comes late is no news',
        'ebonypick/process/_life_signs.py',
        'if known is None or record.order > known.record.order:',
        'if True:',
        ('ebonypick/process/tests/test_membership.py', '-k', 'in_calm'),
    ),
    Cut(
        'look-ups name no host that is lost',
        'a sign of life ages on its way',
        'ebonypick/process/_membership.py',
        'RELAYED_AGE_S if age_ds is None else age_ds / 10',
        '0.0',
        (LOST_HOSTS, '-k', 'is_lost and (35 or 77)'),
    ),
    Cut(
        'look-ups name no host that is lost',
        'a host that has started trusts the list for a time only',
        'ebonypick/process/_roster.py',
        'contact_s - TRUST_MARGIN_S',
        'contact_s + 2.0',
        (LOST_HOSTS, '-k', 'restarted and 7'),
    ),
    Cut(
        'look-ups leave no live host out',
        'a host makes no digest before it has heard of the others',
        'ebonypick/process/_membership.py',
        'speaks and self._known.is_informed(now)',
        'speaks',
        (LOST_HOSTS, '-k', 'restarts'),
    ),
    Cut(
        'look-ups leave no live host out',
        'others have time again after a pause of the host',
        'ebonypick/process/_observations.py',
        'signs.extend(seen_at - self._life_s, now - self._suspect_s)',
        'pass',
        (LOST_HOSTS, '-k', 'frozen'),
    ),
    Cut(
        'look-ups leave no live host out',
        'one message without an answer is no suspicion',
        'ebonypick/process/_observations.py',
        'self._unanswered.get(name, _NEVER)[0] > at',
        'self._unanswered.get(name, _NEVER)[1] > at',
        ('ebonypick/process/tests/test_membership.py', '-k', 'unanswered'),
    ),
    Cut(
        'membership keeps its budget of bytes',
        'records of servers get what signs of life leave',
        'ebonypick/process/_gossip.py',
        'limits, crashes, loads = self._pace.records(now, spare)',
        'limits, crashes, loads = _gossip_pace.MAX_RECORDS',
        (LOST_HOSTS, '-k', 'budget'),
    ),
    Cut(
        'membership keeps its budget of bytes',
        'signs of life are packed',
        'ebonypick/process/_membership.py',
        'packs = self._reads_packed(partner)',
        'packs = False',
        (LOST_HOSTS, '-k', 'budget or calm'),
    ),
    Cut(
        'servers are not blamed for links of a host',
        'its failures are forgotten',
        'ebonypick/request/_fleet.py',
        'server.suspect_until = 0.0',
        'pass',
        ('ebonypick/request/tests/test_reach.py',),
    ),
    Cut(
        'servers are not blamed for links of a host',
        'a crash counts if another server is reached',
        'ebonypick/process/_server_attempt.py',
        'if await self._node.reach.reaches_servers():',
        'if True:',
        ('tests/test_cut_off_hosts.py', '-k', 'crashes'),
    ),
    Cut(
        'a large version is in force in time',
        'one transfer at a time',
        'ebonypick/process/_table_follower.py',
        'if self._is_fetching:',
        'if False:',
        ('ebonypick/process/tests/test_table_follower.py', '-k', 'slow'),
    ),
    Cut(
        'a large version is in force in time',
        'a transfer goes on while bytes arrive',
        'ebonypick/connection/_pool.py',
        'if transfer_s:',
        'if False:',
        ('ebonypick/process/tests/test_table_follower.py', '-k', 'slow'),
    ),
    Cut(
        'an odd row costs no other',
        'deep nesting is malformed JSON',
        'ebonypick/json_text.py',
        'except (RecursionError, UnicodeDecodeError) as exc:',
        'except UnicodeDecodeError as exc:',
        ('tests/test_odd_rows.py', '-k', 'servers'),
    ),
    Cut(
        'an odd row costs no other',
        'bounded numbers of slots',
        'ebonypick/platform/_entries.py',
        'slots: typing.Annotated[int, msgspec.Meta(le=MAX_SLOTS)]',
        'slots: int',
        ('tests/test_odd_rows.py', '-k', 'servers'),
    ),
    Cut(
        'versions and drains after connections go silent',
        'feeds wait less than contact',
        'ebonypick/process/_table_follower.py',
        'return min(WATCH_TIMEOUT_S, max(MIN_WATCH_TIMEOUT_S, wait_s))',
        'return WATCH_TIMEOUT_S',
        ('tests/test_silent_store.py',),
    ),
    Cut(
        'a server that leaves gets nothing new',
        'an announcement counts for the start that made it',
        'ebonypick/request/_fleet.py',
        'latest_ms = max(ticket.started_ms, wall_ms)',
        'latest_ms = ticket.started_ms',
        ('ebonypick/request/tests/test_departure.py',),
    ),
    Cut(
        'hold-offs and limits',
        'a hold-off and a limit count for the start that named them',
        'ebonypick/request/_fleet.py',
        'server.entry.started_ms < entry.started_ms <= server.answered_ms',
        'False',
        ('ebonypick/request/tests/test_departure.py',),
    ),
    Cut(
        'requests that crash servers',
        'crashes are told to other hosts',
        'ebonypick/process/_gossip.py',
        'self._node.crashes.receive(message.crashes, source)',
        'pass',
        ('tests/test_deadly_requests.py',),
    ),
    Cut(
        'requests that crash servers',
        'one host makes the trial of a withheld request',
        'ebonypick/request/_quarantine.py',
        'return _rank.rendezvous(digest, self._hosts) == (self._host,)',
        'return True',
        ('ebonypick/request/tests/test_quarantine.py',),
    ),
    Cut(
        'requests that crash servers',
        'no host sends a convicted request',
        'ebonypick/request/_quarantine.py',
        'if len(known.record.crashed) >= CONVICTED_FROM:',
        'if False:',
        ('ebonypick/request/tests/test_quarantine.py',),
    ),
    Cut(
        'outcomes are true',
        'no connection carries the same id twice',
        'ebonypick/connection/_server_pool.py',
        'elif conn.has_carried(req):',
        'elif False:',
        ('ebonypick/connection/tests/test_exchange.py',),
    ),
    Cut(
        'planned stops',
        'what would outlast a planned stop is refused unsent',
        'ebonypick/request/_planned_stop.py',
        'return self.end_at - now > TIME_RATIO * work_s',
        'return True',
        ('ebonypick/request/tests/test_planned_stop.py',),
    ),
    Cut(
        'planned stops',
        'late requests are passed on only if they surely end',
        'ebonypick/request/_planned_stop.py',
        'if received_at > self.started_at + LATE_S:',
        'if False:',
        (
            'ebonypick/request/tests/test_planned_stop.py',
            'tests/test_late_in_a_stop.py',
        ),
    ),
    Cut(
        'a store that comes back older',
        'rows of before are kept',
        'ebonypick/process/_table_rows.py',
        'self._retain_differing_rows(present, now + self._retention_s)',
        'pass',
        ('ebonypick/process/tests/test_table_rows.py',),
    ),
    Cut(
        'a store that comes back older',
        'the era goes before the number',
        'ebonypick/platform/_store.py',
        '_revision.Revision(era, number)',
        '_revision.Revision(0, number)',
        ('ebonypick/process/tests/test_table_follower.py',),
    ),
    Cut(
        'a store that comes back older',
        'what is kept is told on',
        'ebonypick/process/_table_rows.py',
        'self._adopt_retained(item, row, now)',
        'pass',
        ('ebonypick/process/tests/test_table_rows.py',),
    ),
    Cut(
        'a store that comes back older',
        'each host writes its row again',
        'ebonypick/process/_host_rows.py',
        'if self._own_row_lost() and not self._rewriting:',
        'if False:',
        ('tests/test_restored_store.py', '-k', 'each_once'),
    ),
    Cut(
        'a store that comes back older',
        'a number of a configuration may be used again',
        'ebonypick/process/_store_view.py',
        'return era > self._config_era',
        'return False',
        ('tests/test_restored_store.py', '-k', 'stays_in_force'),
    ),
    Cut(
        'busy homes',
        'relief only where slots are taken',
        'ebonypick/request/_relief.py',
        'if load < QUEUEING_LOAD:',
        'if False:',
        ('ebonypick/request/tests/test_relief.py',),
    ),
    Cut(
        'shed in spite of room',
        'callers return at once',
        'ebonypick/request/_retry_after.py',
        'if load < 1.0:',
        'if False:',
        (
            'ebonypick/experiment/tests/test_objects.py',
            '-k',
            'spite_of_room',
        ),
    ),
    Cut(
        'shift cap',
        'credit starts at nothing',
        'ebonypick/request/_budget.py',
        'self._credit = 0\n',
        'self._credit = self.SCALE - 1\n',
        ('ebonypick/request/tests/test_budget.py',),
    ),
    Cut(
        'shift cap',
        'spill keeps off the way of a shift',
        'ebonypick/request/_dispatcher.py',
        'lambda r: r not in capped',
        'lambda r: True',
        ('ebonypick/request/tests/test_dispatcher.py',),
    ),
    Cut(
        'no overload',
        'exact count of slots',
        'ebonypick/request/_slots.py',
        'return max(0, self.room - len(self.held))',
        'return self.room',
        ('ebonypick/request/tests/test_owner.py',),
    ),
    Cut(
        'common bound on repeats',
        'a new process has few',
        'ebonypick/request/_retry_limit.py',
        'self._kept = max(MIN_KEPT, terms.slack * START_SHARE / max(1, hosts))',
        'self._kept = 1e9',
        ('ebonypick/process/tests/test_repeats.py',),
    ),
    Cut(
        'common bound on repeats',
        'parts by the listed hosts',
        'ebonypick/process/_repeats.py',
        'room = limit.room(hosts)',
        'hosts = len(self._node.roster.live()["a"]); room = 0.0',
        ('ebonypick/process/tests/test_repeats.py', '-k', 'cut_off'),
    ),
    Cut(
        'in force everywhere',
        'compressed rows',
        'ebonypick/process/_row_broadcast.py',
        'if not deflates or len(data) < connection.coding.MIN_BYTES:',
        'if True:',
        ('ebonypick/process/tests/test_row_broadcast.py',),
    ),
    Cut(
        'in force everywhere',
        'bounded length of expanded messages',
        'ebonypick/connection/_coding.py',
        'found = parser.decompress(data, max_bytes)',
        'found = parser.decompress(data)',
        ('ebonypick/connection/tests/test_coding.py',),
    ),
    Cut(
        'in force everywhere',
        'readers with wide links',
        'ebonypick/process/_roster.py',
        'if _count(hosts) > MAX_ALL_READERS and _count(wide) >= READERS:',
        'if False:',
        ('ebonypick/process/tests/test_narrow_links.py', '-k', 'hosts_with'),
    ),
    Cut(
        'no overload',
        'reserve of a region',
        'ebonypick/request/_owner.py',
        'kept = math.ceil(share * load.capacity)',
        'kept = 0',
        ('ebonypick/request/tests/test_owner.py',),
    ),
    Cut(
        'whole answers',
        'echo of the request id',
        'ebonypick/connection/_backend_http.py',
        'if found != info.req:',
        'if False:',
        ('tests/test_requests.py', '-k', 'mixed'),
    ),
    Cut(
        'not-run is true',
        'a lost answer is unknown',
        'ebonypick/request/_outcome.py',
        'if self in (Result.SHED, Result.CONNECT_FAILED):',
        'if self is not Result.DONE:',
        ('ebonypick/request/tests/test_outcome.py',),
    ),
    Cut(
        'at most once',
        'no second send after unknown',
        'ebonypick/process/_relay.py',
        'if late or not again or not self._body.repeatable:',
        'if late:',
        ('tests/test_requests.py', '-k', 'reset'),
    ),
    Cut(
        'at most once',
        'claim of the key',
        'ebonypick/request/_idempotency.py',
        'return Granted() if entry.holder == holder else Running()',
        'return Granted()',
        ('ebonypick/request/tests/test_idempotency.py',),
    ),
    Cut(
        'leaving servers',
        "the server's own word",
        'ebonypick/request/_owner.py',
        'server.reported_leaving = report.leaving',
        'server.reported_leaving = False',
        ('tests/test_stops.py', '-k', 'the_server or server'),
    ),
    Cut(
        'planned stop',
        'waiting out the look-up answers and the requests',
        'ebonypick/process/_entry_host.py',
        '        await self._server.stop_listening(keep_new=True)\n',
        '        return\n',
        ('tests/test_stops.py', '-k', 'stop_while'),
    ),
    Cut(
        'never reverts',
        'only higher numbers are taken',
        'ebonypick/version/_holder.py',
        'if version.number <= self.number:',
        'if version.number == self.number:',
        ('ebonypick/version/tests/test_holder.py',),
    ),
    Cut(
        'in force everywhere',
        'fetching from peers',
        'ebonypick/process/_config_reader.py',
        'if self._holder.behind:',
        'if False:',
        ('tests/test_configuration.py', '-k', 'starts_while'),
    ),
    Cut(
        'truthful submission',
        'reading back after a lost reply',
        'ebonypick/version/_submit.py',
        'if found.submission == self.row.submission:',
        'if False:',
        ('ebonypick/version/tests/test_submit.py',),
    ),
    Cut(
        'silent connections',
        'a second try on a fresh connection',
        'ebonypick/process/_relay.py',
        'if not first.done() and self._may_hedge():',
        'if False:',
        ('tests/test_silence.py', '-k', 'servers'),
        (
            # The caller's own second try would make up for it.
            (
                'ebonypick/caller/_client.py',
                'if done or not self._budget.take():',
                'if True:',
            ),
        ),
    ),
    Cut(
        'planned stop',
        'connections without a request yet stay open',
        'ebonypick/process/_entry_host.py',
        'stop_listening(keep_new=True)',
        'stop_listening()',
        ('tests/test_stops.py', '-k', 'connects_before'),
    ),
    Cut(
        'processes do not end by themselves',
        'a hang-up is ignored during the imports',
        'ebonypick/_daemon.py',
        '    signal.signal(signal.SIGHUP, signal.SIG_IGN)\n',
        '',
        ('ebonypick/tests/test_daemon.py',),
    ),
    Cut(
        'changes reach all hosts',
        'the next of a part is told where its first host cannot be',
        'ebonypick/process/_row_broadcast.py',
        'while names:',
        'if names:',
        ('ebonypick/process/tests/test_row_broadcast.py',),
    ),
    Cut(
        'rows of live hosts stay',
        'absences end when a host is heard',
        'ebonypick/process/_host_absences.py',
        'for name in listed - live}',
        'for name in listed}',
        ('ebonypick/process/tests/test_host_rows.py',),
    ),
    Cut(
        'silent servers are passed over',
        'waits without an answer are counted',
        'ebonypick/request/_service_times.py',
        'server.unanswered += 1',
        'server.unanswered += 0',
        ('ebonypick/request/tests/test_fleet.py',),
    ),
    Cut(
        'uploads are answered in time',
        'a region keeps its part of the objects',
        'ebonypick/request/_nearness.py',
        'if factor >= 1.0:',
        'if True:',
        ('ebonypick/request/tests/test_nearness.py',),
    ),
    Cut(
        'few calls of the store',
        'two readers for each region',
        'ebonypick/process/_roster.py',
        'READERS = 2',
        'READERS = 99',
        ('tests/test_store_load.py',),
    ),
    Cut(
        'a configuration is in force in time',
        'other hosts read the store where it turns readers away',
        'ebonypick/process/_substitutes.py',
        'self._contact.needs_substitute',
        'False',
        ('tests/test_readers_turned_away.py', '-k', 'in_force and busy'),
    ),
    Cut(
        'few calls of the store',
        'a host that no longer reads makes no call',
        'ebonypick/process/_table_follower.py',
        'if self.revision != platform.NO_REVISION and not self._reads():',
        'if known and not self._reads():',
        ('ebonypick/process/tests/test_table_follower.py', '-k', 'stops_call'),
    ),
    Cut(
        'not-run is true',
        'what earlier attempts may have done is remembered',
        'ebonypick/process/_attempt_series.py',
        'self._may_have_run = True',
        'pass',
        ('tests/test_steering_host.py', '-k', 'never_said'),
    ),
    Cut(
        'ready answers are delivered',
        "a server's failure is kept while another attempt is made",
        'ebonypick/process/_attempt_series.py',
        'self.failure = result',
        'pass',
        ('tests/test_steering_host.py', '-k', 'failure_is_passed'),
    ),
    Cut(
        'every caller gets its own whole answer',
        'no answer follows the start of another',
        'ebonypick/process/_forward.py',
        'if result is None or self._req.started:',
        'if result is None:',
        ('tests/test_steering_host.py', '-k', 'never_follows'),
    ),
    Cut(
        'a configuration is in force in time',
        'all hosts of a small region read the store',
        'ebonypick/process/_roster.py',
        'MAX_ALL_READERS = 3',
        'MAX_ALL_READERS = 0',
        ('ebonypick/process/tests/test_roster.py',),
    ),
    Cut(
        'a configuration is in force in time',
        'readers in different data centres',
        'ebonypick/process/_roster.py',
        'centre for centre, names in hosts.items() if names]',
        'centre for centre in list(hosts)[:1]]',
        ('ebonypick/process/tests/test_roster.py',),
    ),
    Cut(
        'a planned stop cuts off nothing',
        'a stopping host tells so with a new beat',
        'ebonypick/process/_membership.py',
        'self._beat += 1',
        'pass',
        ('ebonypick/process/tests/test_membership.py',),
    ),
    Cut(
        'a planned stop cuts off nothing',
        'connections that wait are accepted before the end of listening',
        'ebonypick/connection/_caller_http.py',
        'accepted = _accept_all(waiting)',
        'accepted = []',
        ('ebonypick/connection/tests/test_caller_stop.py',),
    ),
    Cut(
        'a planned stop cuts off nothing',
        'pipelined requests are answered before the connection ends',
        'ebonypick/connection/_caller_stream.py',
        'self._stopped_accepting and self._order.is_last(req)',
        'self._stopped_accepting',
        ('ebonypick/connection/tests/test_pipelining.py',),
    ),
    Cut(
        'at most once',
        'what must not run twice waits for the answers before it',
        'ebonypick/connection/_answer_order.py',
        '        if self.is_first(req):\n            return\n',
        '        return\n',
        ('ebonypick/connection/tests/test_pipelining.py',),
    ),
    Cut(
        'a leaving server gets no new work',
        "a server's own word holds until its next start",
        'ebonypick/request/_departure.py',
        'return started_ms <= self._starts.get(instance, -1)',
        'return False',
        ('ebonypick/request/tests/test_departure.py',),
    ),
    Cut(
        'limits hold over all hosts',
        'a server without a part left is passed over',
        'ebonypick/request/_selection.py',
        'if wait_s > 0.0:',
        'if False:',
        ('ebonypick/request/tests/test_limited_servers.py',),
    ),
    Cut(
        'limits hold over all hosts',
        'few hosts send where not all of them may',
        'ebonypick/request/_common_rate.py',
        'if allowed - hosts < MIN_USED_SHARE * WINDOW_S * limit_per_s:',
        'if False:',
        ('ebonypick/request/tests/test_common_rate.py',),
    ),
    Cut(
        'limits hold over all hosts',
        'two groups of senders share the bound',
        'ebonypick/request/_common_rate.py',
        'min(hosts, wanted), 2, 1.0',
        'min(hosts, wanted), 1, 1.0',
        ('ebonypick/request/tests/test_common_rate.py',),
    ),
    Cut(
        'limits hold over all hosts',
        'a request chosen before the limit is withheld',
        'ebonypick/request/_fleet.py',
        'return limit_per_s is not None and not ticket.paced',
        'return False',
        ('ebonypick/request/tests/test_limited_servers.py',),
    ),
    Cut(
        'a limit ends for all hosts',
        'hosts merge the limits that they know',
        'ebonypick/request/_fleet.py',
        'change = self._admission.merge_limit(server.entry, limit)',
        'change = None',
        (
            'ebonypick/request/tests/test_limited_servers.py',
            '-k',
            'back_when_its_limit_ends',
        ),
    ),
    Cut(
        'a limit holds until the server withdraws it',
        'an older answer does not withdraw it',
        'ebonypick/request/_server_limits.py',
        'turn = known.turn + (turn_at_send == known.turn)',
        'turn = known.turn + 1',
        ('ebonypick/request/tests/test_server_limits.py',),
    ),
    Cut(
        'limited servers answer in time',
        'requests for cached objects go first',
        'ebonypick/request/_admission.py',
        'SPARE_TOKENS = 1.5',
        'SPARE_TOKENS = 1.0',
        (
            'ebonypick/experiment/tests/test_objects.py',
            '-k',
            'limited_servers',
        ),
    ),
    Cut(
        'a server that holds off gets nothing',
        'its time is kept',
        'ebonypick/request/_selection.py',
        'if now < server.held_off_until:',
        'if False:',
        ('ebonypick/request/tests/test_departure.py',),
    ),
    Cut(
        'a request is run whole or not at all',
        'a body that was streamed is not given again',
        'ebonypick/process/_body.py',
        'if self._state is _State.SPENT:',
        'if False:',
        ('ebonypick/process/tests/test_body.py',),
    ),
    Cut(
        'a request is run whole or not at all',
        'lengths are compared before a body is sent',
        'ebonypick/process/_transfer.py',
        'if req.content_length not in (None, length):',
        'if False:',
        ('ebonypick/process/tests/test_transfer.py',),
    ),
    Cut(
        'requests run at home',
        'homes of the version in force',
        'ebonypick/process/_job.py',
        'return self.route.regions if route is None else route.regions',
        'return self.route.regions',
        ('tests/test_homes.py', 'ebonypick/process/tests/test_homes.py'),
    ),
    Cut(
        'bytes without end are not kept',
        'a long body is received while it is read',
        'ebonypick/connection/_exchange.py',
        'self._transport.pause_reading()',
        'pass',
        (
            'ebonypick/connection/tests/test_endless.py',
            '-k',
            'all_that_is_held',
        ),
    ),
    Cut(
        'bytes without end are not kept',
        'a bound on reports of servers',
        'ebonypick/connection/_backend_http.py',
        'MAX_REPORT_BYTES = 16_384',
        'MAX_REPORT_BYTES = 8 << 20',
        ('ebonypick/connection/tests/test_endless.py', '-k', 'report'),
    ),
    Cut(
        'bytes without end are not kept',
        "a bound on an answer's head",
        'ebonypick/connection/_head_limit.py',
        'if size > self.max_bytes:',
        'if False:',
        (
            'ebonypick/connection/tests/test_endless.py',
            'ebonypick/connection/tests/test_pipelining.py',
        ),
    ),
    Cut(
        'no message ends a task',
        'log lines with bytes that are no text',
        'ebonypick/json_text.py',
        'except UnicodeEncodeError:',
        'except ZeroDivisionError:',
        ('ebonypick/process/tests/test_malformed_messages.py',),
    ),
)


def _copy(folder):
    names = subprocess.run(
        ['git', 'ls-files', '-co', '--exclude-standard'],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    ).stdout.splitlines()
    for name in names:
        target = folder / name
        target.parent.mkdir(parents=True, exist_ok=True)
        if (ROOT / name).exists():
            shutil.copy(ROOT / name, target)


def _fails_without(cut):
    """Return whether the tests fail once the mechanism is gone."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        _copy(folder)
        for file, old, new in ((cut.file, cut.old, cut.new), *cut.more):
            path = folder / file
            text = path.read_text()
            if text.count(old) != 1:
                raise LookupError(f'{file}: {old!r} is not there once')
            path.write_text(text.replace(old, new))
        done = subprocess.run(
            [sys.executable, '-m', 'pytest', '-xq', '--tb=no', *cut.tests],
            cwd=folder,
            capture_output=True,
            text=True,
            timeout=LONGEST_S,
        )
        # 1: some tests failed. Any other code is an error of the run.
        if done.returncode not in (0, 1):
            raise RuntimeError(done.stdout[-500:])
        return done.returncode == 1


def main(words):
    """Take each mechanism away in turn, or those with one of the words."""
    useless = 0
    cuts = [
        cut
        for cut in CUTS
        if not words or any(word in cut.mechanism for word in words)
    ]
    for cut in cuts:
        fails = _fails_without(cut)
        useless += not fails
        word = 'fails without' if fails else 'PASSES WITHOUT'
        print(f'{cut.invariant}: {word}: {cut.mechanism}', flush=True)
    print(f'{len(cuts) - useless} passed, {useless} failed')
    return 1 if useless else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
