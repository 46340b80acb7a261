"""Each pool has one owner, in its own data centre if a host there is live."""

from hypothesis import given
from hypothesis import strategies as st

from ebonypick import process
from ebonypick.process import _ownership
from ebonypick import version
from standins import sample

SHAPE = sample.Shape(
    regions=2, centres=2, hosts=2, services={'registry': (3, 3, 5)}
)
CFG = version.build_configuration(sample.make_bundle(SHAPE))
HOSTS = sorted(CFG.entry_hosts())


def _view(alive):
    centres = {centre: [] for centre in CFG.data_centre_region()}
    for name in alive:
        centres[CFG.entry_hosts()[name][0]].append(name)
    return process.View(
        {centre: tuple(names) for centre, names in centres.items()},
        frozenset(),
    )


@given(st.sets(st.sampled_from(HOSTS), min_size=1))
def test_hosts_that_agree_share_all_servers_without_overlap(alive):
    """Hosts with the same view assign exactly one owner to each server."""
    view = _view(alive)
    owned = []
    for host in sorted(alive):
        layout = process.make_layout(CFG, view, host, 'registry', frozenset())
        owned.extend(layout.backends)
    assert sorted(owned) == sorted(r[0] for r in CFG.backends('registry'))


@given(st.sets(st.sampled_from(HOSTS), min_size=1))
def test_owner_is_in_the_nearest_data_centre_with_a_live_host(alive):
    """The owner is in the first data centre by distance with a live host."""
    view = _view(alive)
    for centre in CFG.data_centre_region():
        distances = CFG.by_distance(centre)
        owner = _ownership.pool_owner(
            'registry', centre, 0, distances, view.alive
        )
        nearest = next(name for name in distances if view.alive[name])
        assert CFG.entry_hosts()[owner][0] == nearest


def test_drained_servers_do_not_count_as_capacity():
    """A data centre whose servers all leave is no destination of routing."""
    view = _view(HOSTS)
    leaving = frozenset(
        r[0] for r in CFG.backends('registry') if r[1] == 'r1c1'
    )
    layout = process.make_layout(CFG, view, HOSTS[0], 'registry', leaving)
    assert {place.data_centre for place in layout.places} == {
        'r1c2',
        'r2c1',
        'r2c2',
    }
    assert layout.leaving <= leaving
