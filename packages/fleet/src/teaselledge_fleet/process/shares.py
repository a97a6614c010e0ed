"""Fair shares of the engines' capacity for organisations."""

from collections import defaultdict, deque
from collections.abc import Iterable, Mapping
from dataclasses import asdict, dataclass, field
from enum import IntEnum

from teaselledge_fleet.process.sources import StatsBySource
from teaselledge_fleet.process.work import name_hash

__all__ = [
    "OrganisationShares",
    "ServedRatio",
    "ShareStatus",
    "TokenUsage",
    "max_min_share",
]

WINDOW_SECONDS = 4.0
"""Length of the sliding window; fair shares are guaranteed over windows of 4 s."""

SAMPLE_INTERVAL_SECONDS = 0.5
"""Interval of counter samples, so that a window need not retain each request."""

MIN_DEFICIT_FRACTION = 0.05
"""Requested tokens that were not allocated, as a fraction of a share, from which an
organisation counts as waiting. Fewer may just have arrived."""

COMPUTED_SMOOTHING_FACTOR = 0.02
"""Weight of a prompt in the fraction of tokens that engines compute: prompts differ
fiftyfold in size, and the mix of a router changes within seconds."""


def max_min_share(demands: Iterable[float], capacity: float) -> float:
    """Return the max-min fair level, to which larger demands are cut.

    Parameters
    ----------
    demands : iterable of float
        Demand of each organisation.
    capacity : float
        Capacity to divide.

    Returns
    -------
    float
        Infinity if all demands fit.
    """
    remaining = capacity
    ascending = sorted(demands)
    for index, demand in enumerate(ascending):
        level = remaining / (len(ascending) - index)
        if demand > level:
            return level
        remaining -= demand
    return float("inf")


class ShareStatus(IntEnum):
    """Usage of an organisation relative to its fair shares."""

    INSIDE = 0
    """Within its share of the guaranteed rate."""

    OVER = 1
    """Above its share of the guaranteed rate."""

    AHEAD = 2
    """Above its share of all allocated tokens, if those exceed the guaranteed rate."""


@dataclass(frozen=True)
class TokenUsage:
    """Token usage within the sliding window.

    Attributes
    ----------
    requested, allocated : int
        Tokens of requests that arrived, and of those that were sent to an engine.
    """

    requested: int = 0
    allocated: int = 0

    def __add__(self, other: "TokenUsage") -> "TokenUsage":
        return TokenUsage(
            self.requested + other.requested, self.allocated + other.allocated
        )

    def subtract(self, other: "TokenUsage") -> "TokenUsage":
        """Return the difference, each count at least 0."""
        allocated = max(0, self.allocated - other.allocated)
        return TokenUsage(max(0, self.requested - other.requested), allocated)


@dataclass(frozen=True)
class ServedRatio:
    """The least served waiting organisation beside the best served one.

    Attributes
    ----------
    value : float
        Part of what it is due that the least served one got: of what it requested or
        of what the best served one got, whichever is less. It is 1 if none waits.
    least, best : int
        Hashes of their names; 0 if none waits.
    """

    value: float = 1.0
    least: int = 0
    best: int = 0


class _ComputedFraction:
    """Fraction of the requested tokens that engines compute, not having cached them."""

    def __init__(self) -> None:
        self._tokens = self._computed = 0.0

    def observe(self, tokens: int, computed: int) -> None:
        """Add a request, whose shared prefix counts as cached."""
        retained = 1.0 - COMPUTED_SMOOTHING_FACTOR
        self._tokens = self._tokens * retained + tokens
        self._computed = self._computed * retained + computed

    @property
    def value(self) -> float:
        """The fraction, 0 to 1; 1 before the first request."""
        return self._computed / self._tokens if self._computed else 1.0


@dataclass
class _TokenCounter:
    """Tokens of an organisation at this router since its start.

    Attributes
    ----------
    requested, allocated : int
        As in `TokenUsage`, but for what was returned.
    returned : int
        Allocated tokens of attempts that no endpoint began.
    shed : int
        Tokens of requests that were refused before an engine was looked for.
    declined : int
        Tokens of requests for which no engine had room.
    started : int
        Tokens of requests whose first event was received.
    """

    requested: int = 0
    allocated: int = 0
    returned: int = 0
    shed: int = 0
    declined: int = 0
    started: int = 0

    @property
    def retained(self) -> int:
        """Allocated tokens without the returned ones."""
        return self.allocated - self.returned


@dataclass
class _SlidingWindow:
    """Increase of a pair of counters over the last samples."""

    samples: deque[tuple[float, int, int]] = field(default_factory=deque)

    def sample(self, now: float, counter: _TokenCounter) -> None:
        """Sample the counters."""
        if self.samples and now - self.samples[-1][0] < SAMPLE_INTERVAL_SECONDS:
            return
        self.samples.append((now, counter.requested, counter.retained))
        while len(self.samples) > 1 and now - self.samples[1][0] >= WINDOW_SECONDS:
            self.samples.popleft()

    def growth(self, counter: _TokenCounter) -> TokenUsage:
        """Return the increase of the counters within the window."""
        if not self.samples:
            return TokenUsage(counter.requested, counter.retained)
        _, requested, retained = self.samples[0]
        # what was allocated just before the window may be returned within it
        allocated = max(0, counter.retained - retained)
        return TokenUsage(counter.requested - requested, allocated)


class OrganisationShares(StatsBySource[TokenUsage]):
    """Tracks requested and allocated tokens of organisations across the fleet.

    Every source reports its usage within the last window. A prompt token counts one,
    whether an engine has cached it or not, and a generated token counts two: an
    organisation asks for whole prompts, and has no influence on what is cached.
    """

    def __init__(self) -> None:
        super().__init__()
        self._counters: defaultdict[int, _TokenCounter] = defaultdict(_TokenCounter)
        self._windows: defaultdict[int, _SlidingWindow] = defaultdict(_SlidingWindow)
        self._hash_by_name: dict[str, int] = {}
        self._guaranteed_tokens = float("inf")
        """Tokens that engines are guaranteed to compute within the window."""
        self._computed_fraction = _ComputedFraction()
        self._guaranteed_level = float("inf")
        self._allocated_level = float("inf")
        """Max-min level of all allocated tokens, guaranteed or not."""
        self._fleet_usage: dict[int, TokenUsage] = {}
        self._least_used_share = 1.0
        """Part of its share that the least served waiting organisation has used."""
        self._served_ratio = ServedRatio()
        self._refreshed_at = -SAMPLE_INTERVAL_SECONDS

    @property
    def served_ratio(self) -> ServedRatio:
        """The least served waiting organisation beside the best served one."""
        self._refresh()
        return self._served_ratio

    @property
    def level(self) -> float:
        """Guaranteed share of an organisation within the window, in tokens."""
        self._refresh()
        return self._guaranteed_level

    def set_guaranteed_rate(self, tokens_per_second: float) -> None:
        """Set the rate guaranteed to all organisations together; 0 for none.

        It counts the tokens that engines compute.
        """
        self._guaranteed_tokens = tokens_per_second * WINDOW_SECONDS or float("inf")

    def record_request(
        self, organisation: str, tokens: int, computed: int | None = None
    ) -> None:
        """Count the tokens of a request that arrives.

        Parameters
        ----------
        organisation : str
            The organisation that sent it.
        tokens : int
            Tokens of the whole prompt and of the response.
        computed : int, optional
            Tokens that an engine with the shared prefix cached computes; all if None.
        """
        self._counter(organisation).requested += tokens
        self._computed_fraction.observe(
            tokens, tokens if computed is None else computed
        )

    def record_allocation(self, organisation: str, tokens: int) -> None:
        """Count the tokens of a request that is sent to an engine."""
        self._counter(organisation).allocated += tokens

    def record_return(
        self, organisation: str, tokens: int, allocated_at: float
    ) -> None:
        """Take back the tokens of a request that no engine began.

        Those allocated before the window no longer count; taken back, they would hide
        what was allocated since.
        """
        if self._now() - allocated_at < WINDOW_SECONDS:
            self._counter(organisation).returned += tokens

    def record_shed(self, organisation: str, tokens: int) -> None:
        """Count the tokens of a request that was refused before it was placed."""
        self._counter(organisation).shed += tokens

    def record_declined(self, organisation: str, tokens: int) -> None:
        """Count the tokens of a request for which no engine had room."""
        self._counter(organisation).declined += tokens

    def record_start(self, organisation: str, tokens: int) -> None:
        """Count the tokens of a request whose first event was received."""
        self._counter(organisation).started += tokens

    def status(self, organisation: str, tolerance_factor: float) -> ShareStatus:
        """Return the share status of an organisation; inside while all demands fit.

        Its shares are multiplied by the tolerance factor.
        """
        usage = self.usage(organisation)
        if usage.allocated <= self._guaranteed_level * tolerance_factor:
            return ShareStatus.INSIDE
        exceeds_guarantee = self._allocated_level > self._guaranteed_level
        if (
            exceeds_guarantee
            and usage.allocated > self._allocated_level * tolerance_factor
        ):
            return ShareStatus.AHEAD
        return ShareStatus.OVER

    def is_over_share(self, organisation: str, tolerance_factor: float) -> bool:
        """Whether an organisation exceeds its share times the tolerance factor."""
        return self.status(organisation, tolerance_factor) is not ShareStatus.INSIDE

    def contended_use(self, organisation: str) -> float:
        """Return the part of its share that an organisation has used, 0 to 1.

        It is 0 unless another one that waits has used less of its own.
        """
        used_share = self._used_share(self.usage(organisation))
        return used_share if used_share > self._least_used_share else 0.0

    def excess(self, organisation: str) -> float:
        """Return the multiple that an organisation has of its share of all tokens.

        It is 1 for one that is within it.
        """
        allocated = self.usage(organisation).allocated
        if allocated <= self._allocated_level:
            return 1.0
        return allocated / self._allocated_level

    def seconds_until_within_share(self, organisation: str) -> float:
        """Return the seconds until an organisation is inside its share.

        Assumes that it is allocated nothing more and that its usage leaves the window
        evenly; 0 if it is inside already.
        """
        usage = self.usage(organisation)
        if usage.allocated <= self._guaranteed_level:
            return 0.0
        return WINDOW_SECONDS * (1.0 - self._guaranteed_level / usage.allocated)

    def usage(self, organisation: str) -> TokenUsage:
        """Return an organisation's usage of the whole fleet within the window."""
        return self.usage_by_hash(self._hash_of(organisation))

    def usage_by_hash(self, organisation_hash: int) -> TokenUsage:
        """Return the usage of an organisation by the hash of its name."""
        self._refresh()
        return self._fleet_usage.get(organisation_hash, TokenUsage())

    def local_name(self, organisation_hash: int) -> str | None:
        """Return the name of an organisation if this router had requests of it."""
        for name, known_hash in self._hash_by_name.items():
            if known_hash == organisation_hash and known_hash in self._counters:
                return name
        return None

    def totals(self) -> dict[tuple[str, ...], float]:
        """Return this router's tokens since its start, by organisation and use."""
        totals: dict[tuple[str, ...], float] = {}
        for organisation, organisation_hash in self._hash_by_name.items():
            counter = self._counters.get(organisation_hash)
            if counter is not None:
                for use, tokens in asdict(counter).items():
                    totals[organisation, use] = tokens
        return totals

    def local(self) -> dict[int, TokenUsage]:
        """Return this router's own usage by organisation hash."""
        now = self._now()
        usage_by_hash = {}
        for organisation_hash, counter in self._counters.items():
            window = self._windows[organisation_hash]
            window.sample(now, counter)
            usage = window.growth(counter)
            if usage.requested or usage.allocated:
                usage_by_hash[organisation_hash] = usage
        return usage_by_hash

    def _refresh(self) -> None:
        now = self._now()
        if now - self._refreshed_at < SAMPLE_INTERVAL_SECONDS / 2:
            return
        self._refreshed_at = now
        fleet_usage: defaultdict[int, TokenUsage] = defaultdict(
            TokenUsage, self.local()
        )
        for organisation_hash, usage in self.sum_of_sources().items():
            fleet_usage[organisation_hash] += usage
        self._fleet_usage = dict(fleet_usage)
        allocated = sum(usage.allocated for usage in fleet_usage.values())
        requested = [usage.requested for usage in fleet_usage.values()]
        # capacity beyond the guaranteed rate raises no guaranteed share; the excess is
        # divided by the same rule
        guaranteed = self._guaranteed_tokens / self._computed_fraction.value
        self._guaranteed_level = max_min_share(requested, min(allocated, guaranteed))
        self._allocated_level = max_min_share(requested, allocated)
        min_deficit = self._guaranteed_level * MIN_DEFICIT_FRACTION
        waiting = {
            organisation_hash: usage
            for organisation_hash, usage in fleet_usage.items()
            if usage.requested - usage.allocated > min_deficit
        }
        self._least_used_share = min(
            map(self._used_share, waiting.values()), default=1.0
        )
        self._served_ratio = _served_ratio(waiting, fleet_usage)

    def _used_share(self, usage: TokenUsage) -> float:
        """Return the part of its share that an organisation has used, 0 to 1."""
        if not usage.allocated:
            return 0.0
        return min(1.0, usage.allocated / self._guaranteed_level)

    def _counter(self, organisation: str) -> _TokenCounter:
        organisation_hash = self._hash_of(organisation)
        if organisation_hash not in self._windows:
            # sampled before its first tokens, so that they count as an increase
            self._windows[organisation_hash].sample(
                self._now(), self._counters[organisation_hash]
            )
        return self._counters[organisation_hash]

    def _hash_of(self, organisation: str) -> int:
        organisation_hash = self._hash_by_name.get(organisation)
        if organisation_hash is None:
            organisation_hash = self._hash_by_name[organisation] = name_hash(
                organisation
            )
        return organisation_hash


def _served_ratio(
    waiting: Mapping[int, TokenUsage], fleet_usage: Mapping[int, TokenUsage]
) -> ServedRatio:
    if not waiting:
        return ServedRatio()
    best = max(fleet_usage, key=lambda key: fleet_usage[key].allocated)
    best_allocated = fleet_usage[best].allocated
    ratios = {
        organisation_hash: usage.allocated
        / max(1, min(usage.requested, best_allocated))
        for organisation_hash, usage in waiting.items()
    }
    least = min(ratios, key=lambda key: ratios[key])
    return ServedRatio(ratios[least], least, best)
