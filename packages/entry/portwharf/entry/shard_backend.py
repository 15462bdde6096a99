# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Backend of the operator RPC, which calls the owners of the shards."""

import collections

import result

from portwharf import callers
from portwharf.core import data
from portwharf.core import ids
from portwharf.entry import owner_client
from portwharf import operators
from portwharf.scheduler import configuration
from portwharf.scheduler import operations
from portwharf.v1 import operators_pb as pb


class ShardBackend(operators.Backend):
    """Runs operators' calls at an entry."""

    def __init__(self, cfg, links, kv, keeper, peers, clock):
        """Create a backend.

        :param links: the entry's ``side_links.LinkTable``
        :param kv: the store
        :param keeper: the entry's ``ConfigKeeper``
        :param peers: an ``entry_peers.EntryPeers``
        """
        self._cfg = cfg
        self._links = links
        self._kv = kv
        self._keeper = keeper
        self._peers = peers
        self._clock = clock
        self._owners = owner_client.OwnerClient(links, clock)

    def submit(self, submission):
        key = submission.key or submission.workload.key
        shard = ids.hash_to_shard(key, self._cfg.shards)
        return self._owners.call(
            shard, 'submit', submission, operations.Accepted
        )

    def change(self, change):
        return self._call_by_id(
            change.id, 'change', change, operations.Accepted
        )

    def cancel(self, workload_id):
        query = operations.Query(workload_id)
        return self._call_by_id(
            workload_id, 'cancel', query, operations.Cancelled
        )

    def list_workloads(self, query):
        listed = self._call_all(
            'list-workloads', query, operations.WorkloadList
        )
        return listed.map(
            lambda lists: [
                view for answer in lists for view in answer.workloads
            ]
        )

    def list_tasks(self, workload_id):
        query = operations.Query(workload_id)
        listed = self._call_by_id(
            workload_id, 'list-tasks', query, operations.TaskList
        )
        return listed.map(lambda answer: answer.tasks)

    def explain(self, subject):
        query = operations.Query(subject)
        if operations.read_shard(subject) is not None:
            return self._call_by_id(
                subject, 'explain', query, operations.Explanation
            )
        shard = ids.hash_to_shard(subject, self._cfg.shards)
        return self._owners.call(
            shard, 'explain', query, operations.Explanation
        )

    def read_shards(self):
        return self._call_all(
            'status', operations.Query(), operations.ShardReport
        )

    def read_config(self):
        return self._keeper.read()

    def propose_config(self, base_revision, text):
        parsed = configuration.parse_configuration(text)
        if parsed.is_err():
            return parsed
        if parsed.ok_value.quotas != self._keeper.read().quotas:
            checked = self._check_quotas(parsed.ok_value)
            if checked.is_err():
                return checked
        proposed = configuration.propose_configuration(
            self._kv, base_revision, text
        )
        if proposed.is_ok():
            self._keeper.update(proposed.ok_value, text)
        return proposed

    def _check_quotas(self, cfg):
        """Check new quotas against the resources reserved now.

        :returns: Ok(None), or Err(list of Problems)
        """
        shards = self.read_shards()
        if shards.is_err():
            return shards
        reserved = collections.defaultdict(data.Resources)
        for shard in shards.ok_value:
            for use in shard.teams:
                reserved[use.team] = reserved[use.team].add(use.reserved)
        problems = configuration.check_quotas(cfg, reserved)
        return result.Err(problems) if problems else result.Ok(None)

    def read_config_status(self):
        status = {self._cfg.vm.name: self._keeper.read().revision}
        for page in self._peers.read_all():
            status[page.name] = page.config_revision
        for link in self._links.list_links():
            if link.view.up:
                status[link.name] = link.view.state.config_revision
        return status

    def read_burn(self):
        targets = self._keeper.read().targets
        buckets = collections.defaultdict(list)
        for page in self._peers.read_with_own():
            for service in page.services:
                buckets[service.service].extend(service.buckets)
        now = self._clock.read_unix_ms() / 1000
        return [
            _write_burn(
                callers.compute_burn_rates(name, target, buckets[name], now)
            )
            for name, target in sorted(targets.items())
        ]

    def _call_by_id(self, subject, method, arguments, answer_class):
        shard = operations.read_shard(subject)
        if shard is None or shard >= self._cfg.shards:
            problem = data.Problem(
                'unknown-id',
                'id',
                subject,
                'is not an id of this cluster',
                'see "portwharf jobs" or "portwharf services" for ids',
            )
            return result.Err([problem])
        return self._owners.call(shard, method, arguments, answer_class)

    def _call_all(self, method, arguments, answer_class):
        """Call the owner of every shard.

        :returns: Ok(list of answers), or the first Err
        """
        answers = []
        for shard in range(self._cfg.shards):
            answer = self._owners.call(shard, method, arguments, answer_class)
            if answer.is_err():
                return answer
            answers.append(answer.ok_value)
        return result.Ok(answers)


def _write_burn(burn):
    """Convert a ``callers`` burn to the schema's ``ServiceBurn``."""
    return pb.ServiceBurn(
        service=burn.service,
        target_ratio=burn.target_ratio,
        target_ms=burn.target_ms,
        windows=[
            pb.BurnWindow(
                window_seconds=window.seconds,
                requests=window.total,
                late_or_failed=window.bad,
                burn_rate=window.rate,
            )
            for window in burn.windows
        ],
        budget_left=burn.budget_left,
        exhausted_in_seconds=burn.exhausted_in,
    )
