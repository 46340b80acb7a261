"""Applies the store's tables on a steering host and broadcasts changes."""

import time

from ebonypick import errors
from ebonypick import events
from ebonypick import platform
from ebonypick.process import _host_rows
from ebonypick.process import _peer_directory
from ebonypick.process import _registrations
from ebonypick.process import _row_broadcast
from ebonypick.process import _row_order
from ebonypick.process import _store_contact
from ebonypick.process import _substitutes
from ebonypick.process import _table_follower
from ebonypick import spans

# An operator writes the rows that a restored older copy lacks again within
# two seconds. A row that is not written again, such as the evacuation of a
# data centre, does less harm if it stays in force for some seconds than if it
# ends too soon.
OPERATOR_RETENTION_S = 10.0


class StoreView:
    """Follows the tables, applies their rows and broadcasts changes.

    Parameters
    ==========
    node : SteeringHost
        The process.
    """

    def __init__(self, node):
        self._node = node
        self._evacuated = frozenset()
        self._registrations = _registrations.Registrations()
        self._servers = {}
        self._skipped = {}
        self._config_data = None
        self._config_era = 0
        watch_s = _table_follower.watch_timeout_s(
            spans.parse_span_s(node.settings.terms.contact)
        )
        self.contact = _store_contact.StoreContact()
        self.followers = {
            platform.OPERATOR_TABLE: self._follow(
                platform.OPERATOR_TABLE,
                self._apply_operator_rows,
                retention_s=OPERATOR_RETENTION_S,
                is_later=_row_order.operator_row_later,
                watch_s=watch_s,
            ),
            platform.SERVER_TABLE: self._follow(
                platform.SERVER_TABLE,
                self._apply_server_rows,
                retain_lapsed=True,
                is_later=_row_order.server_row_later,
                watch_s=watch_s,
            ),
            platform.HOST_TABLE: self._follow(
                platform.HOST_TABLE,
                self._apply_host_rows,
                retention_s=_host_rows.RETENTION_S,
                is_later=_row_order.host_row_later,
            ),
        }
        self.broadcaster = _row_broadcast.Broadcaster(node, self.followers)
        self.substitutes = _substitutes.Substitutes(
            node, self.contact, self.followers, self.broadcaster
        )
        self.host_rows = _host_rows.HostRows(
            node, self.followers[platform.HOST_TABLE]
        )

    def _follow(self, table, publish, **terms):
        return _table_follower.TableFollower(
            self._node.store,
            table,
            self._publish_and_broadcast(table, publish),
            self._node.connections.pools,
            self._reads,
            contact=self.contact,
            **terms,
        )

    def _reads(self):
        """Return whether this host reads the store, for itself and others."""
        return self._node.roster.reads_store() or self.substitutes.active

    def _publish_and_broadcast(self, table, publish):
        """Return a function that applies rows and broadcasts the change."""

        def take(rows):
            publish(rows)
            if self._reads():
                self._node.tasks.start(self.broadcaster.broadcast(table))

        return take

    def _apply_operator_rows(self, rows):
        self._apply_evacuations(rows)
        data = rows.get('config')
        if data is None or data == self._config_data:
            return
        self._config_data = data
        try:
            cfg = platform.decode_config(data)
        except errors.InvalidValueError as exc:
            self._skip(platform.OPERATOR_TABLE, 'config', data, exc)
            return
        era = self._era_of_config()
        if not self._supersedes(cfg, era):
            return
        self._config_era = era
        self._node.board.publish(version=cfg)
        self._node.fleet.set_terms(cfg.services)
        self._node.apply_limits(cfg.limits)
        self._node.metrics.config.set(cfg.number)
        events.CONFIG_IN_FORCE.log(
            version=cfg.number,
            digest=None,
            source='store',
            bytes=len(data),
        )

    def _era_of_config(self):
        follower = self.followers[platform.OPERATOR_TABLE]
        revision = follower.effective_revision('config')
        return self._config_era if revision is None else revision.era

    def _supersedes(self, cfg, era):
        """Return whether a configuration replaces the one in force.

        Numbers increase within an era of the store. The number of a
        configuration that was lost in a restore from an older copy may be
        assigned again in the new era.
        """
        number = self._node.board.number
        if cfg.number == number:
            return era > self._config_era
        return cfg.number > number

    def _apply_evacuations(self, rows):
        found = {platform.decode_evacuation(key) for key in rows}
        found = frozenset(found - {None})
        if found == self._evacuated:
            return
        self._evacuated = found
        self._node.fleet.set_evacuated(found)
        events.EVACUATION_CHANGED.log(
            revision=self.followers[platform.OPERATOR_TABLE].revision,
            centres=sorted(found),
        )

    def _skip(self, table, key, data, exc):
        """Log an unusable row once for each of its values."""
        if self._skipped.get((table, key)) != data:
            self._skipped[(table, key)] = data
            events.ENTRY_SKIPPED.log(table=table, key=key, why=str(exc))

    def _forget_skipped(self, table, rows):
        """Drop the records of unusable rows that have been removed.

        Other writers may create any number of keys, so the records would
        otherwise grow without a bound.
        """
        for place in list(self._skipped):
            if place[0] == table and place[1] not in rows:
                del self._skipped[place]

    def _apply_server_rows(self, rows):
        entries = {}
        for key, value in rows.items():
            try:
                entries[key] = platform.decode_server(key, value)
            except errors.InvalidValueError as exc:
                self._skip(platform.SERVER_TABLE, key, value, exc)
        self._forget_skipped(platform.SERVER_TABLE, rows)
        entries = self._registrations.select(entries)
        if entries == self._servers:
            return
        added = sorted(set(entries) - set(self._servers))
        removed = sorted(set(self._servers) - set(entries))
        draining = [e.instance for e in entries.values() if e.draining]
        self._servers = entries
        self._node.fleet.update(entries.values(), time.monotonic())
        self._node.close_pools(removed)
        events.BACKENDS_CHANGED.log(
            revision=self.followers[platform.SERVER_TABLE].revision,
            backends=len(entries),
            draining=draining,
            added=added,
            removed=removed,
        )

    def _apply_host_rows(self, rows):
        self._node.board.publish(hosts=_peer_directory.decode_rows(rows))
        self.host_rows.ensure_own_row()

    def note_server_leaving(self, instance, started_ms, req):
        """Note and broadcast that a server announced its own shutdown.

        Parameters
        ==========
        instance : str
            The server.
        started_ms : int
            Its latest start that may have announced it, in milliseconds
            since the epoch.
        req : str
            Identifier of the request whose answer announced it.
        """
        self._note_leaving(instance, 'an answer', req)
        self._node.tasks.start(
            self.broadcaster.broadcast_leaving(instance, started_ms)
        )

    def receive_leaving(self, instance, started_ms, source):
        """Note that a server announced its shutdown to another host."""
        if self._node.fleet.leaves(instance, started_ms):
            self._note_leaving(instance, source, None)

    def _note_leaving(self, instance, source, req):
        self._node.close_pools([instance])
        events.BACKEND_LEAVES.log(backend=instance, source=source, req=req)

    def revisions(self):
        """Return the revision of this host's replica of each table."""
        return {
            table: follower.revision
            for table, follower in self.followers.items()
        }

    def fetch_newer_tables(self, revisions, source):
        """Fetch tables of which a host of the region has a newer revision."""
        if self._node.roster.reads_store():
            return
        for table, revision in revisions.items():
            follower = self.followers.get(table)
            if follower is not None and revision > follower.revision:
                self.fetch_table(table, source)

    def fetch_table(self, table, source, whole=False):
        """Start to fetch a table's newer rows from a host, if connected."""
        pool = self._node.connections.peer(source)
        if pool is not None:
            follower = self.followers[table]
            self._node.tasks.start(follower.fetch_from_peer(pool, whole))
