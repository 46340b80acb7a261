"""This host's share of the links to other regions."""

import asyncio
import time

from ebonypick import request

# Share of a link's limit that the entry hosts divide among them. The rest is
# for heads, handshakes and other traffic over the link.
LINK_SHARE = 0.85
LINK_BURST_S = 0.05


def make_budgets(cfg, region):
    """Return one entry host's budget for each link of its region.

    A link's limit is divided by the number of configured entry hosts of the
    region, so that their sum stays within the limit no matter how many of
    them are alive.

    Parameters
    ==========
    cfg : Configuration
        The configuration.
    region : str
        The sending region, which is in the configuration.

    Returns
    =======
    dict of str to LinkBudget
        The budgets by the region at the other end.
    """
    centres = cfg.base.regions[region].data_centres.values()
    hosts = sum(len(centre.entry_hosts) for centre in centres)
    budgets = {}
    for link in cfg.base.links:
        if region not in link.between:
            continue
        other = next(n for n in link.between if n != region)
        part = link.limit_mbit_s * 1e6 / 8 * LINK_SHARE / max(1, hosts)
        budgets[other] = request.LinkBudget(part, part * LINK_BURST_S)
    return budgets


class Links:
    """The budgets of bytes that this host may send to other regions.

    Parameters
    ==========
    region : str
        The region of this host.
    metrics : Metrics
        The metrics that count the bytes.
    """

    def __init__(self, region, metrics):
        self._region = region
        self._metrics = metrics
        self._budgets = {}

    def configure(self, cfg):
        """Apply the link limits of a configuration."""
        if self._region in cfg.base.regions:
            self._budgets = make_budgets(cfg, self._region)

    def wait_s(self, region, now):
        """Return the seconds that the next byte to a region would wait."""
        budget = self._budgets.get(region)
        return budget.wait_s(now) if budget is not None else 0.0

    async def pace(self, region, size):
        """Wait until ``size`` bytes may be sent to a region."""
        budget = self._budgets.get(region)
        if budget is None:
            return
        self._metrics.link_bytes.labels(region).inc(size)
        wait_s = budget.take(size, time.monotonic())
        if wait_s > 0:
            await asyncio.sleep(wait_s)
