# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Choice of endpoints, retries and outcomes of requests."""

import xxhash

from portwharf import callers
from portwharf.core import clock
from portwharf.core import data
from portwharf.core import ids
from portwharf.entry import routing
from portwharf.entry import side_links
from portwharf.peers import messages
from portwharf.testing import fixtures

SERVICE = 'lens/fit'


class FakeLink:
    """A link whose side answers at once, as configured.

    :param outcome: of the answers; None for no connection
    :param reason: of the answers, or 'lost' or 'silent'
    """

    def __init__(self, number, outcome=data.Outcome.ANSWERED, reason=''):
        self.view = side_links.LinkView(fixtures.make_vm(number), True)
        self.view.state.slots = 8
        self.outcome = outcome
        self.reason = reason
        self.sent = []
        self.withdrawn = []
        # Called with each answer before it is given.
        self.change_answer = None

    @property
    def name(self):
        """The VM's name."""
        return self.view.vm.name

    def send_request(self, message, payload=b''):
        """Answer a request."""
        self.sent.append(message.request)
        if self.outcome is None:
            return None
        exchange = side_links.Exchange()
        if self.reason == 'lost':
            exchange.fail('connection-lost')
            return exchange
        if self.reason == 'silent':
            return exchange
        answer = messages.Answer(
            1,
            message.request,
            self.outcome,
            self.reason,
            size=2,
            checksum=xxhash.xxh64_intdigest(b'ok'),
            payload=b'ok',
        )
        if self.change_answer:
            self.change_answer(answer)
        exchange.handle_answer(answer)
        return exchange

    def measure_oldest_age(self, now):
        """Return the age of the oldest request."""
        return 0.0

    def withdraw(self, message):
        """Record a withdrawn request."""
        self.withdrawn.append(message.request)


class FakeTable:
    """A link table whose links all serve the service."""

    def __init__(self, *made):
        self.links = made

    def list_serving(self, service):
        """Return all links."""
        return list(self.links)

    def find_home(self, request, service):
        """Return the first link."""
        return self.links[0] if self.links else None


def route(*made, deadline_ms=50, zone='zone-0', **fields):
    """Route one request, repeatable by default; returns the result."""
    router = routing.EndpointRouter(
        FakeTable(*made), clock.SystemClock(), zone, lambda *_: None
    )
    call = callers.Call(ids.make_id(), SERVICE, True, deadline_ms)
    for name, value in fields.items():
        setattr(call, name, value)
    return router.route(call)


def count_sent(*made):
    """Return how many requests the links were sent."""
    return sum(len(link.sent) for link in made)


def test_answer_is_returned_with_its_payload(case):
    done = route(FakeLink(0))
    case.assertEqual((done.outcome, done.payload), (1, b'ok'))
    case.assertEqual(done.endpoint, 'vm-00')


def test_service_without_endpoints_is_not_run(case):
    done = route()
    case.assertEqual(done.outcome, data.Outcome.NOT_RUN)
    case.assertEqual(done.reason, routing.REASON_NO_ENDPOINT)
    case.assertGreater(done.retry_after_ms, 0)


def test_request_not_run_is_retried_on_another_endpoint(case):
    busy = [FakeLink(n, data.Outcome.NOT_RUN, 'busy') for n in range(2)]
    done = route(*busy, FakeLink(3))
    case.assertEqual(done.outcome, data.Outcome.ANSWERED)


def test_request_not_run_anywhere_ends_after_max_attempts(case):
    busy = [FakeLink(n, data.Outcome.NOT_RUN, 'busy') for n in range(9)]
    done = route(*busy, deadline_ms=60_000)
    case.assertEqual(done.outcome, data.Outcome.NOT_RUN)
    case.assertEqual(count_sent(*busy), routing.MAX_ATTEMPTS)


def test_lost_request_is_retried_only_if_repeatable(case):
    made = [FakeLink(n, reason='lost') for n in range(3)]
    done = route(*made, repeatable=False)
    case.assertEqual(done.outcome, data.Outcome.UNKNOWN)
    case.assertEqual(count_sent(*made), 1)
    route(*made, repeatable=True)
    case.assertEqual(count_sent(*made), 4)


def test_request_that_may_have_run_is_never_reported_as_not_run(case):
    lost = FakeLink(0, reason='lost')
    busy = FakeLink(3, data.Outcome.NOT_RUN, 'busy')
    busy.view.state.in_flight = 50
    done = route(lost, busy, repeatable=True)
    case.assertEqual(count_sent(lost, busy), 2)
    case.assertEqual(done.outcome, data.Outcome.UNKNOWN)


def test_request_that_is_not_repeatable_goes_only_to_its_home(case):
    home = FakeLink(0, data.Outcome.NOT_RUN, 'queue-is-full')
    other = FakeLink(3)
    done = route(home, other, repeatable=False)
    case.assertEqual(done.outcome, data.Outcome.NOT_RUN)
    case.assertEqual((len(home.sent), len(other.sent)), (1, 0))


def test_request_is_retried_while_its_home_changes(case):
    home = FakeLink(0, data.Outcome.NOT_RUN, 'not-the-home-of-this-id')
    done = route(home, repeatable=False, deadline_ms=60_000)
    case.assertEqual(len(home.sent), routing.MAX_HOME_ATTEMPTS)
    case.assertEqual(done.outcome, data.Outcome.NOT_RUN)


def test_resent_request_is_not_run_only_if_its_home_says_so(case):
    for made, outcome in (
        ([FakeLink(0, data.Outcome.NOT_RUN, 'full')], data.Outcome.NOT_RUN),
        ([FakeLink(0, None)], data.Outcome.UNKNOWN),
        ([], data.Outcome.UNKNOWN),
    ):
        done = route(*made, repeatable=False, sent_before=True)
        case.assertEqual(done.outcome, outcome)
    case.assertEqual(route(sent_before=True).outcome, data.Outcome.UNKNOWN)


def test_failed_request_is_not_retried(case):
    made = [FakeLink(n, data.Outcome.FAILED, 'bad') for n in range(3)]
    case.assertEqual(route(*made).outcome, data.Outcome.FAILED)
    case.assertEqual(count_sent(*made), 1)


def test_silence_until_the_deadline_is_unknown(case):
    link = FakeLink(0, reason='silent')
    done = route(link)
    case.assertEqual(done.outcome, data.Outcome.UNKNOWN)
    case.assertEqual(link.withdrawn, link.sent)


def test_request_never_sent_is_not_run(case):
    done = route(FakeLink(0, None), repeatable=False)
    case.assertEqual(done.outcome, data.Outcome.NOT_RUN)


def test_damaged_answer_is_never_returned(case):
    for change in (
        lambda answer: setattr(answer, 'checksum', 1),
        lambda answer: setattr(answer, 'payload', b'ok!'),
        lambda answer: setattr(answer, 'request', 'another'),
    ):
        link = FakeLink(0)
        link.change_answer = change
        done = route(link, repeatable=False)
        case.assertEqual(done.outcome, data.Outcome.UNKNOWN)
        case.assertEqual(done.payload, b'')


def test_incomplete_answer_is_unknown(case):
    link = FakeLink(0)
    link.change_answer = lambda answer: setattr(answer, 'size', 5)
    case.assertEqual(route(link).outcome, data.Outcome.UNKNOWN)


def test_less_loaded_side_is_chosen(case):
    idle, busy = FakeLink(0), FakeLink(3)
    busy.view.state.in_flight = 8
    for _ in range(10):
        route(idle, busy)
    case.assertEqual((len(idle.sent), len(busy.sent)), (10, 0))


def test_own_zone_is_preferred_until_it_is_busier(case):
    near, far = FakeLink(0), FakeLink(1)
    route(near, far)
    case.assertEqual((len(near.sent), len(far.sent)), (1, 0))
    near.view.state.in_flight = 4000
    route(near, far)
    case.assertEqual((len(near.sent), len(far.sent)), (1, 1))


def test_retries_have_a_budget(case):
    budget = routing.RetryBudget()
    spent = sum(budget.spend() for _ in range(1000))
    case.assertEqual(spent, routing.MAX_SAVED_RETRIES)
    for _ in range(10):
        budget.earn()
    case.assertEqual(sum(budget.spend() for _ in range(1000)), 2)
