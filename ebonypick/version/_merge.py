"""Merges the overlay of a site into the base by the rules of RFC 7396."""


def merge_patch(target, patch):
    """Return ``target`` with a JSON merge patch applied.

    Examples
    ========
    >>> merge_patch({'a': 1, 'b': {'c': 2}}, {'b': {'c': None, 'd': 3}})
    {'a': 1, 'b': {'d': 3}}

    Parameters
    ==========
    target : object
        A JSON value, which is not modified.
    patch : object
        The values that differ; a null removes its key.

    Returns
    =======
    object
        The merged value.

    References
    ==========
    .. [1] RFC 7396, JSON Merge Patch, section 2.
    """
    if not isinstance(patch, dict):
        return patch
    merged = dict(target) if isinstance(target, dict) else {}
    for key, value in patch.items():
        if value is None:
            merged.pop(key, None)
        else:
            merged[key] = merge_patch(merged.get(key), value)
    return merged
