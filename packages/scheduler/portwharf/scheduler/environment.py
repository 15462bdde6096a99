# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""What an owner is put together with, the same for each of its epochs."""

import dataclasses

from portwharf.scheduler import configuration
from portwharf.scheduler import members


@dataclasses.dataclass(slots=True)
class Environment:
    """What an owner works with.

    :param name: the VM that the owner runs on
    :param dial: function of a ``data.Vm`` giving a connection
    :param keeper: the configuration in force (``ConfigKeeper``)
    :param append_interval: least seconds between two appends
    :param make_link: gives the link to a member, by its VM and the owner
    :param kv: the store, for the configuration
    :param config_key: the key that the configuration is under
    :param policy: a ``policy.Policy`` that governs queues, or None
    :param zones: the ``zones.ZoneKeeper`` of this process
    """

    name: str = ''
    instance: str = ''
    shard: int = 0
    clock: object = None
    limits: object = None
    dial: object = None
    vmlist: object = None
    keeper: object = None
    append_interval: float = 0.05
    make_link: object = members.MemberLink
    kv: object = None
    config_key: str = configuration.KEY
    policy: object = None
    zones: object = None
