"""Registries that decorators fill."""


class Registry:
    """Names mapped to factories, filled by a decorator.

    Explanation
    ===========
    Behaviour that varies, such as a routing policy or the adapter of an
    outside interface, is looked up by its name in the settings.

    Examples
    ========
    >>> shapes = Registry('shape')
    >>> @shapes.register('round')
    ... def make_round():
    ...     return 'o'
    >>> shapes.get('round')()
    'o'
    >>> shapes.names()
    ('round',)

    Parameters
    ==========
    kind : str
        What the registry holds, for messages.
    """

    def __init__(self, kind):
        self.kind = kind
        self._items = {}

    def register(self, name):
        """Return a decorator that files its target under ``name``."""

        def decorate(target):
            if name in self._items:
                raise ValueError(f'The {self.kind} {name!r} exists already.')
            self._items[name] = target
            return target

        return decorate

    def get(self, name):
        """Return what is filed under ``name``.

        Raises
        ======
        KeyError
            If nothing is; the message lists what there is.
        """
        if name not in self._items:
            known = ', '.join(self.names())
            raise KeyError(f'No {self.kind} {name!r}; there are: {known}.')
        return self._items[name]

    def names(self):
        """Return the registered names in alphabetical order."""
        return tuple(sorted(self._items))

    def items(self):
        """Return the pairs of name and target, sorted by name."""
        return tuple(sorted(self._items.items()))
