"""Distributes the requests of a route over services by weight."""


class WeightedRoundRobin:
    """Selects services in turn, in proportion to their weights.

    Explanation
    ===========
    This is smooth weighted round robin. Over every run of requests, the count
    of each service differs from its share by less than one per service.

    Examples
    ========
    >>> from ebonypick import version
    >>> shares = (version.ServiceShare('a', 2), version.ServiceShare('b', 1))
    >>> turns = WeightedRoundRobin()
    >>> [turns.take(shares) for _ in range(6)]
    ['a', 'b', 'a', 'a', 'b', 'a']
    """

    def __init__(self):
        self._shares = None
        self._credit = {}

    def take(self, shares):
        """Return the service of the next request.

        Parameters
        ==========
        shares : tuple of version.ServiceShare
            The services and their weights; a change resets the turns.
        """
        if len(shares) == 1:
            return shares[0].service
        if shares != self._shares:
            self._shares = shares
            self._credit = {share.service: 0.0 for share in shares}
        for share in shares:
            self._credit[share.service] += share.weight
        name = max(self._credit, key=self._credit.get)
        self._credit[name] -= sum(share.weight for share in shares)
        return name
