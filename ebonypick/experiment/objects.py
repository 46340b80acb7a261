"""The command ``ebonypick-objects``, which simulates object requests.

It runs the product's choice of servers and its baselines in virtual time, and
prints the value of the answers for callers.
"""

from absl import app
from absl import flags
from rich import console
from rich import table

from ebonypick.experiment import _object_policies
from ebonypick.experiment import _object_simulation
from ebonypick.experiment import _object_sites

SITES = flags.DEFINE_list('sites', [], 'Sites to simulate; all where empty.')
RATES = flags.DEFINE_list(
    'rates', ['50', '100', '250', '400'], 'Requests per second.'
)
LENGTH_S = flags.DEFINE_float('length_s', 24.0, 'Virtual duration of a run.')
PLAY_SEED = flags.DEFINE_integer('play_seed', 1, 'Seed of a run.')
SLOW_PART = flags.DEFINE_float(
    'slow_part', 0.0, 'Share of the servers with a fault in the middle third.'
)
TROUBLE = flags.DEFINE_enum(
    'trouble',
    'slow',
    ['slow', 'leaving', 'held-off'],
    'Kind of the fault.',
)
SLOW_TIMES = flags.DEFINE_float(
    'slow_times', 5.0, 'Factor of their service times.'
)


def _trouble():
    if not SLOW_PART.value:
        return None
    third = LENGTH_S.value / 3
    return _object_sites.Trouble(
        third,
        2 * third,
        SLOW_PART.value,
        SLOW_TIMES.value,
        TROUBLE.value,
    )


def main(argv):
    """Run the simulations selected by the flags and print their figures."""
    del argv
    out = console.Console(width=120)
    for site in SITES.value or _object_sites.SITES:
        rows = []
        for rate in RATES.value:
            for policy in _object_policies.policies.names():
                found = _object_simulation.play(
                    site,
                    policy,
                    float(rate),
                    LENGTH_S.value,
                    PLAY_SEED.value,
                    _trouble(),
                )
                rows.append((rate, policy, found))
        shown = table.Table(title=site)
        for head in ('per s', 'policy', *rows[0][2]):
            shown.add_column(head)
        for rate, policy, found in rows:
            shown.add_row(rate, policy, *(str(v) for v in found.values()))
        out.print(shown)
    return 0


def run():
    """Run the tool; this is the entry point ``ebonypick-objects``."""
    app.run(main)


if __name__ == '__main__':
    run()
