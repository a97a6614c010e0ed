"""Endpoints that get no new work for now, and who says so."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum

from teaselledge_wire.gen.router.ttypes import EndpointNews

__all__ = ["EndpointKey", "EndpointStatusTable", "EndpointStatus"]

EndpointKey = tuple[str, str]
"""Service and endpoint."""

MAX_NOTICES = 20_000
MAX_SECONDS = 3600.0


class EndpointStatus(IntEnum):
    """Why an endpoint gets no new work."""

    BACK = 0
    """It does again; ends what was refused or loading."""

    REFUSED = 1
    """It refused a connection; nothing listens there."""

    LEAVING = 2
    """It said itself that it leaves."""

    LOADING = 3
    """It loads a model and can't answer yet."""


SECONDS: dict[EndpointStatus, float] = {
    EndpointStatus.BACK: 5.0,
    EndpointStatus.REFUSED: 5.0,
    EndpointStatus.LEAVING: 600.0,
    EndpointStatus.LOADING: 10.0,
}
"""How long a notice holds unless repeated."""


@dataclass(frozen=True)
class _Notice:
    reason: EndpointStatus
    number: int
    ends: float


class EndpointStatusTable:
    """Notices by endpoint and reporter.

    A notice ends by itself, so that a wrong one takes an endpoint away for
    seconds only and a reporter that dies leaves nothing behind.
    """

    def __init__(self, reporter: str) -> None:
        self._reporter = reporter
        self._number = 0
        self._notices: dict[tuple[EndpointKey, str], _Notice] = {}

    def report(
        self, endpoint: EndpointKey, reason: EndpointStatus, now: float
    ) -> EndpointNews | None:
        """Note what this router saw; None where it was told lately."""
        known = self._notices.get((endpoint, self._reporter))
        seconds = SECONDS[reason]
        if known is not None and known.reason is reason:
            if known.ends - now > seconds / 2:
                return None
        elif reason is EndpointStatus.BACK and endpoint not in self.blocked(now):
            return None
        self._number += 1
        news = EndpointNews(
            *endpoint, int(reason), seconds, self._reporter, self._number
        )
        self.merge(news, now)
        return news

    def merge(self, news: EndpointNews, now: float) -> bool:
        """Take a notice in; tell whether it was new."""
        endpoint = (news.service_name, news.endpoint)
        key = (endpoint, news.reporter)
        known = self._notices.get(key)
        if known is not None and known.number >= news.number:
            return False
        if known is None and len(self._notices) >= MAX_NOTICES:
            self._drop(lambda notice: notice.ends <= now)
        if known is None and len(self._notices) >= MAX_NOTICES:
            return False
        try:
            reason = EndpointStatus(news.reason)
        except ValueError:
            # a newer release may know more reasons
            return False
        ends = now + min(max(news.seconds, 0.0), MAX_SECONDS)
        if reason is EndpointStatus.BACK:
            self._end_soft(endpoint)
        self._notices[key] = _Notice(reason, news.number, ends)
        return True

    def blocked(self, now: float) -> dict[EndpointKey, EndpointStatus]:
        """Return the endpoints that get no new work, with the gravest reason."""
        found: dict[EndpointKey, EndpointStatus] = {}
        for (endpoint, _), notice in self._notices.items():
            if notice.ends <= now or notice.reason is EndpointStatus.BACK:
                continue
            old = found.get(endpoint)
            if old is not EndpointStatus.LEAVING:
                found[endpoint] = notice.reason
        return found

    def _end_soft(self, endpoint: EndpointKey) -> None:
        for key, notice in list(self._notices.items()):
            if key[0] == endpoint and notice.reason is not EndpointStatus.LEAVING:
                self._notices[key] = _Notice(
                    EndpointStatus.BACK, notice.number, notice.ends
                )

    def _drop(self, over: Callable[[_Notice], bool]) -> None:
        for key, notice in list(self._notices.items()):
            if over(notice):
                del self._notices[key]
