"""Upper bound of the usage gap between two backlogged organisations."""

__all__ = ["gap_bound"]


def gap_bound(
    slots: int,
    max_cost: float,
    quantum: float,
    report_delay: float,
    service_rate: float,
    min_share: float,
    dispatchers: int,
    fetch_margin: float = 0.0,
) -> float:
    """Return the maximum gap in normalised usage (cost divided by share).

    The bound is the sum of four terms. A running request was charged by its
    hint and may cost up to `max_cost` more or less, in each of `slots`
    slots, and each of the two organisations may be one request ahead. Every
    dispatcher may have a quantum unreported before a report is due. Usage that
    is counted while a report is in transit is unknown to the receiver, and that
    of the receiver is unknown to the sender. Requests of an organisation with a
    deficit are fetched from another zone only when it exceeds the margin.

    Parameters
    ----------
    slots : int
        Number of slots of the service in the fleet.
    max_cost : float
        Maximum cost of one request, in the unit of the service.
    quantum : float
        Unreported usage that makes a report due.
    report_delay : float
        Maximum time from usage to the arrival of its report, in seconds.
    service_rate : float
        Cost that the whole service completes per second.
    min_share : float
        Smaller share of the two organisations.
    dispatchers : int
        Number of dispatchers of the service.
    fetch_margin : float
        Deficit above which requests are fetched from another zone.

    Returns
    -------
    float
        The bound, in cost per share.
    """
    hint_error = (slots + 2) * max_cost
    unreported = dispatchers * quantum
    in_transit = 2 * service_rate * report_delay
    return (hint_error + unreported + in_transit + fetch_margin) / min_share
