"""Tests that versions never revert and that deltas apply correctly."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from ebonypick import version

TEXTS = st.dictionaries(
    st.sampled_from(['a', 'b', 'c', 'd']), st.text(max_size=5)
)


@given(st.lists(st.integers(1, 30)))
def test_number_in_force_never_falls(numbers):
    """Versions are offered in any order and repeatedly."""
    holder = version.Holder()
    highest = 0
    for number in numbers:
        found = version.Version(number, '', version.EMPTY_BUNDLE, None)
        took = holder.offer(found)
        assert took == (number > highest)
        highest = max(highest, number)
        assert holder.number == highest
        assert not holder.behind


@given(st.text(), TEXTS, st.text(), TEXTS)
def test_delta_results_in_the_new_bundle(
    base, overlays, new_base, new_overlays
):
    """A delta that is applied to the old bundle results in the new one."""
    old = version.Bundle(base, overlays)
    new = version.Bundle(new_base, new_overlays)
    delta = version.make_delta(1, old, 2, new)
    assert version.apply_delta(old, delta) == new


def test_delta_on_another_bundle_is_rejected():
    """The digest shows that the result is not the accepted bundle."""
    old = version.Bundle('a', {'x': '1'})
    new = version.Bundle('a', {'x': '2'})
    delta = version.make_delta(1, old, 2, new)
    with pytest.raises(ValueError):
        version.apply_delta(version.Bundle('b', {}), delta)


def test_delta_contains_only_changed_files():
    """The delta of a change to one overlay does not contain the others."""
    old = version.Bundle('a', {'x': '1', 'y': '1'})
    new = version.Bundle('a', {'x': '2', 'y': '1'})
    delta = version.make_delta(1, old, 2, new)
    assert delta.base is None
    assert delta.overlays == {'x': '2'}
