"""The command ``ebonypick-objects``: plays loads of objects.

It runs our choice of servers and its baselines on the real decision code, in
virtual time, and prints what callers get.
"""

from absl import app
from absl import flags
from rich import console
from rich import table

from ebonypick.experiment import _object_policies
from ebonypick.experiment import _object_sites
from ebonypick.experiment import _objects

SITES = flags.DEFINE_list('sites', [], 'Sites to play; all where empty.')
RATES = flags.DEFINE_list(
    'rates', ['50', '100', '250', '400'], 'Requests a second.'
)
LENGTH_S = flags.DEFINE_float('length_s', 24.0, 'Length of a play, virtual.')
PLAY_SEED = flags.DEFINE_integer('play_seed', 1, 'Seed of a play.')
SLOW_PART = flags.DEFINE_float(
    'slow_part', 0.0, 'Part of the servers that have trouble in the middle.'
)
TROUBLE = flags.DEFINE_enum(
    'trouble',
    'slow',
    ['slow', 'leaving', 'held-off'],
    'What the part of the servers is in the middle.',
)
SLOW_TIMES = flags.DEFINE_float('slow_times', 5.0, 'How slow they are.')


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
    """Play what the flags name."""
    del argv
    out = console.Console(width=120)
    for site in SITES.value or _object_sites.SITES:
        rows = []
        for rate in RATES.value:
            for policy in _object_policies.policies.names():
                found = _objects.play(
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
    """Run the tool; the entry point of ``ebonypick-objects``."""
    app.run(main)


if __name__ == '__main__':
    run()
