"""Tests of which traits are refused, by the requests at endpoints that ended."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from teaselledge_fleet.connection.figures import pack_end_reports, unpack_end_reports
from teaselledge_fleet.quarantine.content import segment_hashes
from teaselledge_fleet.quarantine.history import MAX_TRAITS, ServedHistory
from teaselledge_fleet.quarantine.quarantine import Quarantine
from teaselledge_fleet.quarantine.records import SERVED, EndRecords, EndReport
from teaselledge_fleet.quarantine.verdicts import (
    EVENT_SECONDS,
    FEW_ENDS,
    FIRST_TRIAL_SECONDS,
    MIN_EVENTS,
    TRIAL_DIVISOR,
    TRIAL_SECONDS,
    Verdict,
    count_events,
)
from teaselledge_fleet.request.call import CallerRequest, Prompt, PromptSegment
from teaselledge_fleet.request.context import RequestContext
from teaselledge_fleet.version.routes import RetryPolicy
from teaselledge_standins.routes import make_route
from tornado.httputil import HTTPHeaders

VIRTUAL_CLOCK = True
FIRST, FATAL, RELATED, OTHER = 1, 2, 3, 4
TRIED = 100 * TRIAL_DIVISOR
"""Content of a request that is sent when some are tried again."""


@dataclass
class ReportedEnds:
    """Records, and a clock that rises with each reported end."""

    now: float = 0.0
    contents: int = 1000
    records: EndRecords = field(init=False)

    def __post_init__(self) -> None:
        self.records = EndRecords(lambda: self.now)

    def end(self, *prompts: tuple[int, ...]) -> None:
        """Report that an endpoint ended, with the segments of what was in flight."""
        self.now += 1.0
        for segments in prompts:
            self.contents += 1
            report = EndReport(self.contents, round(self.now), self.now, segments)
            self.records.add(report)

    def serve(self, *traits: int, count: int = 1) -> None:
        """Report that requests with some traits were served."""
        self.now += 0.1
        for trait in traits:
            self.records.add(EndReport(trait, SERVED, self.now, served_count=count))

    def refuses(self, *traits: int) -> bool:
        """Whether a request with these traits is refused."""
        verdict = self.records.find_verdict(frozenset((*traits, TRIED)), TRIED)
        return verdict is not None


@contextmanager
def ends() -> Iterator[ReportedEnds]:
    yield ReportedEnds()


def test_only_the_segment_that_was_never_served_is_refused(ends):
    """Requests that share all else with the fatal ones would have been refused, too."""
    for _ in range(MIN_EVENTS):
        ends.end((FIRST, FATAL, RELATED))
        ends.serve(FIRST, RELATED)
    assert ends.refuses(FIRST, FATAL)
    assert ends.refuses(OTHER, FATAL)
    assert not ends.refuses(FIRST, RELATED)


def test_segments_that_always_occur_together_are_refused_only_together(ends):
    """Nothing was served yet that tells the fatal segment from those beside it."""
    for _ in range(MIN_EVENTS):
        ends.end((FIRST, FATAL, RELATED))
    assert ends.refuses(FIRST, FATAL, RELATED)
    assert not ends.refuses(FIRST, RELATED)
    for _ in range(MIN_EVENTS):
        ends.end((FIRST, FATAL))
    assert ends.refuses(FIRST, FATAL)


def test_what_runs_beside_fatal_requests_is_not_refused_for_it(ends):
    """A request that was cut at three ends had no part in them."""
    for number in range(5):
        ends.end((FIRST, FATAL), *([(FIRST, RELATED)] if number else []))
        ends.serve(FIRST)
    assert ends.refuses(FIRST, FATAL)
    assert not ends.refuses(FIRST, RELATED)


def test_one_end_of_another_cause_does_not_condemn_what_the_fatal_share(ends):
    """The shared segments were in flight at one end more than the fatal one."""
    for _ in range(MIN_EVENTS):
        ends.end((FIRST, FATAL, RELATED))
    ends.end((FIRST, RELATED))
    assert ends.refuses(FIRST, FATAL, RELATED)
    assert not ends.refuses(FIRST, RELATED)


def test_a_wider_verdict_follows_when_the_narrower_one_does_not_stop_the_ends(ends):
    for segments in [(FIRST, FATAL, RELATED)] * 3 + [(FIRST, FATAL)] * 3:
        ends.end(segments)
        ends.serve(FIRST)
    assert ends.refuses(FIRST, FATAL, OTHER)


def test_two_fatal_segments_are_both_refused(ends):
    for _ in range(MIN_EVENTS):
        ends.end((FIRST, FATAL))
        ends.end((FIRST, OTHER))
        ends.serve(FIRST)
    assert ends.refuses(FIRST, FATAL)
    assert ends.refuses(FIRST, OTHER)


def test_endpoints_that_end_together_are_one_event():
    """A rack that fails would have condemned what ran on three of its engines."""
    together = [10.0, 10.0 + EVENT_SECONDS / 2, 10.0 + EVENT_SECONDS]
    assert count_events(together) == 1
    assert count_events([*together, 10.1, 10.2]) == MIN_EVENTS


def test_a_segment_that_many_requests_have_is_not_refused_in_an_outage(ends):
    """All engines end before one serves again, and none would ever serve it."""
    ends.serve(FIRST, count=6)
    for _ in range(6):
        ends.end((FIRST,))
        assert not ends.refuses(FIRST)
    ends.end((FIRST,))
    assert ends.refuses(FIRST)


def test_a_verdict_on_few_events_is_tried_again(ends):
    """Requests that are refused without cause can't be served, and stayed refused."""
    ends.serve(FIRST)
    for _ in range(FEW_ENDS):
        ends.end((FIRST, RELATED))
    assert ends.refuses(FIRST, RELATED)
    ends.now += FIRST_TRIAL_SECONDS
    assert not ends.refuses(FIRST, RELATED)
    untried = [TRIED + n for n in range(1, TRIAL_DIVISOR)]
    traits = frozenset((FIRST, RELATED))
    assert all(ends.records.find_verdict(traits, each) for each in untried)
    for hold_seconds in (TRIAL_SECONDS, 2 * TRIAL_SECONDS):
        ends.end((FIRST, RELATED))
        ends.now += hold_seconds - 1.0
        assert ends.refuses(FIRST, RELATED)
        ends.now += 1.0
        assert not ends.refuses(FIRST, RELATED)


def test_a_repeated_request_is_not_tried_again(ends):
    for _ in range(MIN_EVENTS):
        ends.contents = 1000
        ends.end((FIRST, FATAL))
    ends.now += 9 * TRIAL_SECONDS
    assert ends.refuses(1001, FIRST, FATAL)
    assert not ends.refuses(1002, FIRST, FATAL)


def test_reports_carry_segments_and_counts():
    rows = [
        EndReport((1 << 63) - 1, 7, 9.0, (FIRST, (1 << 63) - 1)),
        EndReport(FATAL, SERVED, 9.5, served_count=8),
    ]
    packed = pack_end_reports(rows, 10.0)
    assert unpack_end_reports(packed, 10.0) == rows
    assert unpack_end_reports(packed[:-1], 10.0) == rows[:1]
    assert unpack_end_reports(packed[:20], 10.0) == []


def test_verdicts_that_apply_need_all_traits():
    verdict = Verdict(frozenset((FIRST, FATAL)), 3)
    assert verdict.applies(frozenset((FIRST, FATAL, OTHER)), OTHER, 0.0)
    assert not verdict.applies(frozenset((FIRST, OTHER)), OTHER, 0.0)


def test_served_traits_are_counted_less_with_time():
    now = 0.0
    history = ServedHistory(lambda: now)
    for now in (0.0, 1.0, 2.0):  # noqa: B007
        history.record([FIRST])
    served = history.find(FIRST)
    assert served is not None
    assert (served.at, 2.5 < served.count < 3.0) == (2.0, True)
    now = 60.0
    history.record([FIRST])
    assert history.find(FIRST).count < 1.1
    for trait in range(100, 100 + 2 * MAX_TRAITS):
        history.record([trait])
    assert (len(history), history.find(FIRST)) == (MAX_TRAITS, None)


class NoProbe:
    """Probe of endpoints that all go on."""

    async def has_ended(self, address: str) -> bool:
        """Return False."""
        return False


def make_context(number: int, *segments: str) -> RequestContext:
    names = [*segments, f"own{number}"]
    prompt = Prompt(9, 9, tuple(PromptSegment(name, 1) for name in names))
    request = CallerRequest(
        f"q{number}", "POST", "/r/1", "books.example", HTTPHeaders(), prompt=prompt
    )
    route = make_route(RetryPolicy.RESUME, stream=True)
    return RequestContext(request, b"", route, "books", None, 0.0, 9.0)


async def test_a_router_objects_with_what_it_served_before_the_ends():
    """Routers that saw the ends had never served the segment, but another one had."""
    quarantine, reported = Quarantine(NoProbe()), []
    for number in range(8):
        quarantine.on_served(make_context(number, "first"))
    quarantine.on_report = lambda: reported.extend(quarantine.pop_reports(100))
    (first,) = hashes("first")
    quarantine.merge(EndReport(100 + n, n, float(n), (first,)) for n in range(1, 5))
    assert quarantine.records.served_count(first) == 8
    assert not quarantine.records.verdicts
    assert [row.content for row in reported if row.endpoint == SERVED] == [first]


def hashes(*segments: str) -> tuple[int, ...]:
    return segment_hashes(make_context(0, *segments))


async def test_the_last_segment_of_a_prompt_is_its_own():
    """A caller's own segment would fill the records and tell nothing."""
    assert len(hashes("first", "second")) == 2
    assert hashes("first") == hashes("first", "second")[:1]
    assert len(hashes(*map(str, range(40)))) == 16


def test_attempts_of_one_request_are_events_of_their_own(ends):
    """Two engines that a request ended within 26 ms counted as one, and a fourth ended.

    Different requests at engines that end together are no evidence against a segment.
    """
    for number in range(MIN_EVENTS):
        at = 10.0 + number * EVENT_SECONDS / 2
        ends.records.add(EndReport(TRIED, number + 1, at, (FATAL,)))
        ends.records.add(EndReport(2000 + number, number + 1, at, (OTHER,)))
    assert ends.refuses(FATAL)
    assert not ends.refuses(OTHER)
