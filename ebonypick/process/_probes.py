"""The tasks that probe the owned backend servers."""

import asyncio

from ebonypick import connection
from ebonypick import events
from ebonypick.process import _service

PROBE_INTERVAL_S = 0.5


class Prober:
    """Probes each backend server that this host owns.

    Parameters
    ==========
    node : EntryHost
        The entry host.
    """

    def __init__(self, node):
        self._node = node
        self._tasks = {}
        self._states = {}

    def update(self, owned):
        """Set the backend servers to probe.

        Parameters
        ==========
        owned : dict of str to str
            The service of each backend server.
        """
        for name in set(self._tasks) - set(owned):
            self._tasks.pop(name).cancel()
        for name, service in owned.items():
            if name not in self._tasks:
                self._tasks[name] = self._node.tasks.start(
                    self._probe(name, service)
                )

    async def _probe(self, name, service):
        while True:
            link = self._node.connections.backends.get(name)
            if link is None:
                return
            try:
                report = await link.report()
            except (connection.ConnectFailedError, connection.LostError):
                report = None
            self._note(name, report)
            task = self._node.layouts.services.get(service)
            if task is not None:
                task.post(_service.Probed(name, report))
            await asyncio.sleep(PROBE_INTERVAL_S)

    def _note(self, name, report):
        state = 'unreachable'
        if report is not None:
            state = 'leaving' if report.leaving else 'serving'
        if self._states.get(name, 'serving') != state:
            events.BACKEND_CHANGED.log(backend=name, state=state, why='probe')
        self._states[name] = state
