"""Registries of factories, filled by decorators."""


class Registry:
    """A mapping of names to factories, filled by a decorator.

    Explanation
    ===========
    Interchangeable behaviour, such as a routing policy or the adapter of an
    external interface, is looked up by the name in the settings.

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
        The kind of the registered objects, for error messages.
    """

    def __init__(self, kind):
        self.kind = kind
        self._items = {}

    def register(self, name):
        """Return a decorator that registers its target under ``name``."""

        def decorate(target):
            if name in self._items:
                raise ValueError(
                    f'The {self.kind} {name!r} is already registered.'
                )
            self._items[name] = target
            return target

        return decorate

    def get(self, name):
        """Return the object that is registered under ``name``.

        Raises
        ======
        KeyError
            If the name is not registered; the message lists all names.
        """
        if name not in self._items:
            known = ', '.join(self.names())
            raise KeyError(
                f'There is no {self.kind} {name!r}. Use one of: {known}.'
            )
        return self._items[name]

    def names(self):
        """Return the registered names in alphabetical order."""
        return tuple(sorted(self._items))

    def items(self):
        """Return the pairs of name and target, sorted by name."""
        return tuple(sorted(self._items.items()))
