"""The status of an entry host for operators."""


def describe(node):
    """Return the status of an entry host as plain values.

    Parameters
    ==========
    node : EntryHost
        The process.

    Returns
    =======
    dict
        Values that can be encoded as JSON.
    """
    view = node.board.view
    return {
        'host': node.host,
        'data_centre': node.settings.data_centre,
        'region': node.settings.region,
        'config_version': node.board.number,
        'ready': node.not_ready_reason() is None,
        'leaving': node.board.leaving,
        'in_flight': node.in_flight,
        'alive': view.alive,
        'leaving_hosts': sorted(view.leaving),
        'keys_kept': len(node.ledger),
        'gossip': {
            'exchanges': node.gossip.exchanges,
            'bytes_sent': node.gossip.bytes_sent,
        },
        'services': {
            name: _describe_service(node, name, task)
            for name, task in node.layouts.services.items()
        },
    }


def _describe_service(node, name, task):
    layout = node.layouts.layouts.get(name)
    shifts = layout.shifts if layout is not None else ()
    return {
        'load': task.load,
        'backend_servers': [
            {
                'name': backend,
                'held': held,
                'capacity': capacity,
                'leaving': leaving,
            }
            for backend, held, capacity, leaving in task.states
        ],
        'shifts': {
            shift: node.layouts.allowed_share(item) for shift, item in shifts
        },
    }
