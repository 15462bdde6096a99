# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""What an owner depends on, the same in all its epochs."""

import dataclasses

from portwharf.scheduler import configuration
from portwharf.scheduler import members

# Memory that accepted jobs may take, where the settings do not say.
MAX_JOB_BYTES = 48 * 2**20


@dataclasses.dataclass(slots=True)
class Environment:
    """The dependencies of an owner.

    :param name: the VM that the owner runs on
    :param instance: the id of the process that it runs in
    :param clock: a ``clock.Clock``
    :param limits: the ``limits.Limits``
    :param dial: function of a ``data.Vm`` that returns a connection
    :param vmlist: the platform's list of VMs
    :param keeper: the ``configuration.ConfigKeeper`` of this process
    :param append_interval: least seconds between two appends
    :param make_link: function of a ``data.Vm`` and the owner that returns the
        link to a member
    :param kv: the store, for the configuration and the closed zones
    :param config_key: the store key of the configuration
    :param policy: the ``policy.Policy`` that governs queues, or None
    :param zones: the ``zones.ZoneKeeper`` of this process
    :param max_job_bytes: memory that accepted jobs may take, in bytes, in each
        process that reads the log
    :param compares_vms: placement treats pools whose VMs differ as uneven
        (``uneven_pools``)
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
    max_job_bytes: int = MAX_JOB_BYTES
    compares_vms: bool = False
