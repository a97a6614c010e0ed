"""Tests of the shares that the status command prints."""

from teaselctl.shares import share_rows


def report(*figures):
    names = ("service", "zone", "organisation", "share", "served", "waiting")
    return {"shares": [dict(zip(names, f, strict=True)) for f in figures]}


def test_shares_add_up_over_dispatchers_between_two_samples():
    before = {
        "r1": report(
            ("m", "a", "amber", 3.0, 1000.0, 0), ("m", "a", "calm", 1.0, 9.0, 0)
        ),
        "r2": report(("m", "b", "birch", 1.0, 500.0, 2)),
    }
    after = {
        "r1": report(
            ("m", "a", "amber", 3.0, 1150.0, 4), ("m", "a", "calm", 1.0, 9.0, 0)
        ),
        "r2": report(
            ("m", "b", "birch", 1.0, 600.0, 3), ("m", "b", "amber", 3.0, 150.0, 1)
        ),
    }
    rows = {row.organisation: row for row in share_rows(before, after)}
    assert (rows["amber"].due, rows["amber"].received) == (0.75, 0.75)
    assert (rows["birch"].due, rows["birch"].received) == (0.25, 0.25)
    assert rows["amber"].waiting == 5
    assert (rows["calm"].due, rows["calm"].received) == (None, None)


def test_counter_that_fell_counts_as_unchanged():
    """A counter falls when a router restarts or corrects a hint between two samples.

    Its total, counted over an hour, must not be taken for two seconds' cost. A
    second router doesn't respond.
    """
    before = {"r1": report(("m", "a", "amber", 1.0, 1000.0, 0)), "r2": None}
    after = {"r1": report(("m", "a", "amber", 1.0, 30.0, 1)), "r2": None}
    (row,) = share_rows(before, after)
    assert (row.served, row.received, row.due) == (0.0, None, 1.0)


def test_received_is_unknown_if_no_organisation_was_served():
    reports = {"r1": report(("m", "a", "amber", 1.0, 5.0, 2))}
    (row,) = share_rows(reports, reports)
    assert (row.due, row.received) == (1.0, None)
