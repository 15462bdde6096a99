# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Which sides an entry of a large fleet keeps links to.

An entry that routes no requests needs the owner, and some others that tell
who that is. With links to all, connections and threads would grow with entries
times sides.
"""

from portwharf.core import ids

# Links besides that to the owner: a rack may fail, and the others still tell.
LEAST_SIDES = 12
# With many of these down an entry tries this many times as many.
_MOST_FACTOR = 3


class FewSides:
    """Chooses a few sides, and the owner.

    Entries choose different ones, so that each side has about as many links.
    """

    def __init__(self, name, least=LEAST_SIDES):
        """Take the entry's name.

        :param least: how many links are kept that are up, or may come up
        """
        self._name = name
        self._least = least

    def __call__(self, names, links):
        """Return the names of the sides to be linked to."""
        chosen, well = [], 0
        for name in ids.rank_by_rendezvous(self._name, names):
            if (
                well >= self._least
                or len(chosen) >= _MOST_FACTOR * self._least
            ):
                break
            chosen.append(name)
            known = links.get(name)
            well += known is None or known.view.up
        owner = find_owner_name(links.values())
        if owner in names and owner not in chosen:
            chosen.append(owner)
        return chosen


def find_owner_name(links):
    """Return the name of the latest owner that sides tell of, or ''."""
    views = [link.view for link in links if link.view.up]
    latest = max(views, key=lambda view: view.state.epoch, default=None)
    return latest.state.owner if latest is not None else ''
