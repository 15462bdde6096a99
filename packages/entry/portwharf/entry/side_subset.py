# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Selection of the sides to which an entry of a large fleet keeps links.

An entry that routes no requests needs a link to the owner, and to a few
sides that report who the owner is. Linking every entry to every side would
take entries times sides connections, and as many threads.
"""

from portwharf.core import ids

# Besides the owner; enough that some remain when a rack fails.
MIN_LINKS = 12
# With many sides down, up to this many times MIN_LINKS are tried.
_MAX_LINKS_FACTOR = 3


class SideSubset:
    """Selects a few sides, and the owner.

    Rendezvous hashing by the entry's name spreads the links of all entries
    evenly over the sides.
    """

    def __init__(self, name, min_links=MIN_LINKS):
        """Create a selector.

        :param name: name of the entry
        :param min_links: links to keep that are up or not tried yet
        """
        self._name = name
        self._min_links = min_links

    def __call__(self, names, links):
        """Return the names of the sides to link to.

        :param names: names of all sides
        :param links: map of the present links by name
        """
        selected, reachable = [], 0
        for name in ids.rank_by_rendezvous_hash(self._name, names):
            if (
                reachable >= self._min_links
                or len(selected) >= _MAX_LINKS_FACTOR * self._min_links
            ):
                break
            selected.append(name)
            known = links.get(name)
            reachable += known is None or known.view.up
        owner = find_owner_name(links.values())
        if owner in names and owner not in selected:
            selected.append(owner)
        return selected


def find_owner_name(links):
    """Return the owner of the highest epoch that sides report, or ''."""
    views = [link.view for link in links if link.view.up]
    latest = max(views, key=lambda view: view.state.epoch, default=None)
    return latest.state.owner if latest is not None else ''
