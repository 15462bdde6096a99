# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The configuration that operators set, and the one that is in force.

It is one TOML text under one key of the store. Its revision is the store
revision of the last change of that key, so it only grows. A change is a
compare-and-swap against the revision that it was based on. Every process keeps
the highest revision that it has seen, also through outages of the store, and
accepts no lower one.
"""

import dataclasses
import difflib
import logging
import random
import threading

import result
import voluptuous

from portwharf.core import data
from portwharf.core import settings
from portwharf.peers import messages
from portwharf.scheduler import metrics

LOG = logging.getLogger(__name__)

KEY = 'config/current'
MAX_TEXT_BYTES = 512 * 1024
# Timeout of a watch, after which the key is read again.
_WATCH_SECONDS = 5.0
# First wait after a failure, with a jitter of half of it.
RETRY_SECONDS = 0.3
# Longest wait after a failure. It is short, as an entry has to follow soon
# after an outage. Only owners and entries watch, so the store sees few
# retries.
_MAX_RETRY_SECONDS = 1.0
_MAX_AMOUNT = 10**9

_RESOURCES = {
    voluptuous.Required('cpu_milli'): settings.integer(0, _MAX_AMOUNT),
    voluptuous.Required('memory_mb'): settings.integer(0, _MAX_AMOUNT),
    voluptuous.Optional('accelerators', default=0): settings.integer(0, 10**6),
}
SCHEMA = voluptuous.Schema(
    {
        voluptuous.Optional('weights', default=dict): {
            voluptuous.Optional('tail_latency', default=5.0): settings.number(
                0, 100
            ),
            voluptuous.Optional(
                'batch_throughput', default=2.0
            ): settings.number(0, 100),
            voluptuous.Optional('evictions', default=1.0): settings.number(
                0, 100
            ),
        },
        voluptuous.Optional('teams', default=dict): {
            str: {voluptuous.Required('quota'): _RESOURCES}
        },
        voluptuous.Optional('services', default=dict): {
            str: {
                voluptuous.Required('target_ms'): settings.integer(1, 600_000),
                voluptuous.Required('target_ratio'): settings.number(
                    0.5, 0.99999
                ),
            }
        },
    }
)


@dataclasses.dataclass(slots=True)
class Weights:
    """The weights of the three measures that decisions trade off."""

    tail_latency: float = 5.0
    batch_throughput: float = 2.0
    evictions: float = 1.0


@dataclasses.dataclass(slots=True)
class Target:
    """The objective of a service: a share of requests and a latency.

    :param ms: the latency, in milliseconds
    :param ratio: the share of requests answered within it
    """

    ms: int = 0
    ratio: float = 0.0


@dataclasses.dataclass(slots=True)
class Queue:
    """Where jobs of one kind are submitted, and how they are treated.

    :param host: the host name that jobs are sent to
    :param prefix: the prefix of their request path
    :param pool: the pool of workers that runs them
    :param rank: priority; 0 goes first
    :param max_failures: how many attempts of a task may fail
    :param stretch: a job's objective is the duration of its longest chain of
        steps, times this
    :param allowance_ms: added to that objective
    :param ticket_ms: how long a ticket of its policy is valid; 0: no policy
    """

    name: str = ''
    host: str = ''
    prefix: str = ''
    pool: str = ''
    rank: int = 0
    max_failures: int = 0
    stretch: float = 1.0
    allowance_ms: int = 0
    ticket_ms: int = 0


@dataclasses.dataclass(slots=True)
class Configuration:
    """One accepted configuration.

    :param quotas: map of team to ``data.Resources``
    :param targets: map of a service's "team/name" to :class:`Target`
    :param queues: list of :class:`Queue`
    """

    revision: int = 0
    text: str = ''
    weights: Weights = dataclasses.field(default_factory=Weights)
    quotas: dict = dataclasses.field(default_factory=dict)
    targets: dict = dataclasses.field(default_factory=dict)
    queues: list = dataclasses.field(default_factory=list)


def parse_configuration(text, revision=0):
    """Parse and validate the text of a configuration.

    :returns: Ok(Configuration), or Err(list of Problems)
    """
    if len(text.encode()) > MAX_TEXT_BYTES:
        problem = data.Problem(
            'too-large',
            'text',
            f'{len(text.encode())} bytes',
            f'must be at most {MAX_TEXT_BYTES} bytes',
            'shorten it',
        )
        return result.Err([problem])
    checked = settings.check_text(text, SCHEMA)
    if checked.is_err():
        return checked
    values = checked.ok_value
    return result.Ok(
        Configuration(
            revision,
            text,
            Weights(**values['weights']),
            {
                team: data.Resources(**rules['quota'])
                for team, rules in values['teams'].items()
            },
            {
                name: Target(rules['target_ms'], rules['target_ratio'])
                for name, rules in values['services'].items()
            },
        )
    )


def check_quotas(cfg, reserved):
    """Return a problem for each quota below what its team has reserved.

    :param cfg: a :class:`Configuration`
    :param reserved: map of team to ``data.Resources``, over all shards
    """
    problems = []
    for team, quota in cfg.quotas.items():
        used = reserved.get(team, data.Resources())
        for axis in ('cpu_milli', 'memory_mb', 'accelerators'):
            held, allowed = getattr(used, axis), getattr(quota, axis)
            if allowed < held:
                problems.append(
                    data.Problem(
                        'quota-below-reserved',
                        f'teams.{team}.quota.{axis}',
                        str(allowed),
                        f'is below the {held} that the team has reserved',
                        'raise it, or cancel or shrink its workloads first',
                    )
                )
    return problems


class ConfigKeeper:
    """The configuration in force in this process."""

    def __init__(self, parse=parse_configuration):
        """Start with an empty configuration.

        :param parse: function of text and revision that returns
            Ok(Configuration) or Err(list of Problems)
        """
        self._parse = parse
        self._lock = threading.Lock()
        self._current = Configuration()
        self._listeners = []

    def read(self):
        """Return the :class:`Configuration` in force."""
        return self._current

    def add_listener(self, call):
        """Register a function without arguments, called after each change."""
        self._listeners.append(call)

    def make_update(self):
        """Return the configuration in force as a message."""
        current = self._current
        return messages.ConfigUpdate(current.revision, current.text)

    def update(self, revision, text):
        """Put a configuration in force if it is newer and valid.

        :returns: whether it is now in force
        """
        if revision <= self._current.revision:
            return False
        parsed = self._parse(text, revision)
        if parsed.is_err():
            # The text was written without validation or by a newer version.
            # The current one stays in force, which ``config status`` shows.
            metrics.REJECTED_CONFIGURATIONS.inc()
            for problem in parsed.err_value:
                LOG.error('configuration rejected: %s', problem.describe())
            return False
        with self._lock:
            if revision <= self._current.revision:
                return False
            self._current = parsed.ok_value
        LOG.info('configuration %d in force', revision)
        for call in self._listeners:
            call()
        return True


class ConfigWatcher:
    """Keeps a :class:`ConfigKeeper` up to date; a context manager.

    Waits on one watch at a time. After a failure it reads again with a jitter,
    so that not all processes call at once after an outage.
    """

    def __init__(self, kv, keeper, key=KEY):
        self._key = key
        self._kv = kv
        self._keeper = keeper
        self._stop = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name='config', daemon=True
        )

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *exc_info):
        # The daemon thread is not joined, as it may be blocked in a watch.
        self._stop.set()

    def _run(self):
        wait = RETRY_SECONDS
        while not self._stop.is_set():
            if self._follow():
                wait = RETRY_SECONDS
                continue
            self._stop.wait(wait * random.uniform(0.5, 1.5))
            wait = min(2 * wait, _MAX_RETRY_SECONDS)

    def _follow(self):
        """Read once, then watch for changes until a call fails.

        :returns: whether the store answered
        """
        found = self._kv.read(self._key)
        while found.is_ok() and not self._stop.is_set():
            entry = found.ok_value
            if entry is not None:
                self._offer(entry)
            revision = entry.revision if entry else 0
            if revision == 0:
                # A watch needs a revision to start from; read again shortly.
                self._stop.wait(RETRY_SECONDS)
                return True
            found = self._kv.wait_for_change(
                self._key, revision, _WATCH_SECONDS
            )
            if found.is_ok() and found.ok_value is None:
                return True
        return False

    def _offer(self, entry):
        try:
            text = entry.value.decode()
        except UnicodeDecodeError as exc:
            metrics.REJECTED_CONFIGURATIONS.inc()
            LOG.error('configuration rejected: not UTF-8: %s', exc)
            return
        self._keeper.update(entry.revision, text)


def propose_configuration(kv, base_revision, text):
    """Replace the configuration by compare-and-swap.

    :param base_revision: the revision that the change was based on
    :returns: Ok(revision), or Err(list of Problems)
    """
    parsed = parse_configuration(text)
    if parsed.is_err():
        return parsed
    raw = text.encode()
    answer = kv.swap(KEY, raw, base_revision)
    if answer.is_ok() and answer.ok_value.done:
        return result.Ok(answer.ok_value.revision)
    return _resolve_proposal(kv, base_revision, raw, answer)


def _resolve_proposal(kv, base_revision, raw, answer):
    """Find out the outcome of a proposal that was not confirmed.

    The same text at a higher revision than the base counts as success, even if
    another operator wrote it.
    """
    found = kv.read(KEY)
    if found.is_err():
        unknown = answer.is_err() and answer.err_value.unknown
        return result.Err([_describe_outage(unknown)])
    entry = found.ok_value
    revision = entry.revision if entry else 0
    if entry and revision > base_revision and entry.value == raw:
        return result.Ok(revision)
    if answer.is_err() and revision == base_revision:
        # The text is not written yet, but the lost call may still arrive.
        return result.Err([_describe_outage(answer.err_value.unknown)])
    return result.Err([_describe_conflict(base_revision, raw, entry)])


def _describe_outage(unknown):
    if unknown:
        return data.Problem(
            'outcome-unknown',
            text='the store has not confirmed the change',
            remedy='see "portwharf config get" before trying again',
        )
    return data.Problem(
        'not-accepted',
        text='the store does not answer; nothing was changed',
        remedy='try again in some seconds',
    )


def _describe_conflict(base_revision, raw, entry):
    current = entry.revision if entry else 0
    theirs = entry.value.decode(errors='replace') if entry else ''
    difference = '\n'.join(
        difflib.unified_diff(
            theirs.splitlines(),
            raw.decode().splitlines(),
            f'revision {current}',
            'yours',
            lineterm='',
        )
    )
    return data.Problem(
        'conflict',
        'base_revision',
        str(base_revision),
        f'another change came first; the revision is now {current}:\n'
        f'{difference}\n',
        'get the current text, make the change in it, and set it again',
    )
