"""Each pool has one owner, in its own data centre while one lives there."""

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
    """With one view, each backend server has exactly one owner."""
    view = _view(alive)
    owned = []
    for host in sorted(alive):
        layout = process.make_layout(CFG, view, host, 'registry', frozenset())
        owned.extend(layout.backends)
    assert sorted(owned) == sorted(r[0] for r in CFG.backends('registry'))


@given(st.sets(st.sampled_from(HOSTS), min_size=1))
def test_owner_is_as_near_as_can_be(alive):
    """The own data centre comes first, then the region, then the rest."""
    view = _view(alive)
    for centre in CFG.data_centre_region():
        distances = CFG.by_distance(centre)
        owner = _ownership.pool_owner(
            'registry', centre, 0, distances, view.alive
        )
        nearest = next(name for name in distances if view.alive[name])
        assert CFG.entry_hosts()[owner][0] == nearest


def test_drained_servers_do_not_count_as_capacity():
    """Routing sees no slots where nothing may be placed."""
    view = _view(HOSTS)
    gone = frozenset(r[0] for r in CFG.backends('registry') if r[1] == 'r1c1')
    layout = process.make_layout(CFG, view, HOSTS[0], 'registry', gone)
    assert {place.data_centre for place in layout.places} == {
        'r1c2',
        'r2c1',
        'r2c2',
    }
    assert layout.leaving <= gone
