"""Tests of committing changes to the table service."""

import asyncio
import copy
import json
from contextlib import contextmanager
from datetime import UTC, datetime
from itertools import count

from teaselledge.version.head import AUDIT_PREFIX, CONFIG_TABLE
from teaselledge.version.publish import ApplyErrorKind, Change, Publisher
from teaselledge_standins.tables import MemoryTables

VIRTUAL_CLOCK = True

KEY = "0" * 64
DOCUMENT = {
    "zones": {"north-a": {"region": "north"}},
    "organisations": {
        name: {"share": 1.0, "keys": [], "services": ["models"]}
        for name in ("amber", "birch", "cedar")
    },
    "services": {
        "models": {
            "cost": "tokens",
            "endpoints": {"e-0": {"address": "10.0.0.1:1", "zone": "north-a"}},
            "kinds": {"work": {"methods": ["POST"], "paths": ["work"]}},
        }
    },
    "objectives": {},
    "operators": {"dana": {"keys": [KEY], "role": "admin"}},
}
_ids = count()


def clock():
    return datetime(2030, 1, 1, tzinfo=UTC)


def allow_all(section, name):
    return True


@contextmanager
def tables():
    yield MemoryTables()


def change(base, sections, apply_id=None, author="dana"):
    return Change(apply_id or f"id-{next(_ids)}", author, base, sections)


def with_share(organisation, share, document=DOCUMENT):
    organisations = copy.deepcopy(document["organisations"])
    organisations[organisation]["share"] = share
    return {"organisations": organisations}


def lose_responses(tables, flags):
    """Lose the responses of the next writes whose flag is set, in order."""
    original = tables.commit
    lost = list(flags)

    async def commit(writes):
        tables.faults.lose_answers = int(lost.pop(0)) if lost else 0
        return await original(writes)

    tables.commit = commit


async def shares(publisher):
    _, document = (await publisher.load(0)).ok
    return {n: o["share"] for n, o in document["organisations"].items()}


async def test_applied_document_can_be_loaded(tables):
    publisher = Publisher(tables, clock)
    applied = await publisher.apply(change(0, DOCUMENT), allow_all)
    assert applied.ok.version == 1
    head, document = (await publisher.load(1)).ok
    assert document == DOCUMENT
    assert head.author == "dana"
    rows = (await tables.scan(CONFIG_TABLE, AUDIT_PREFIX, 10)).ok
    assert [json.loads(row.value)["operator"] for row in rows] == ["dana"]


async def test_apply_with_lost_response_is_accepted_once(tables):
    """The store commits an apply, but its response is lost.

    The operator gets the version as accepted, and it is stored only once.
    """
    publisher = Publisher(tables, clock)
    await publisher.apply(change(0, DOCUMENT), allow_all)
    own = change(1, with_share("amber", 4.0), "mine")
    # the response to the chunk's write arrives, that to the head's is lost
    lose_responses(tables, [False, True])
    applied = await publisher.apply(own, allow_all)
    assert applied.ok.version == 2
    assert applied.ok.found_again
    assert (await publisher.apply(own, allow_all)).ok.version == 2
    assert len((await publisher.history(10)).ok) == 2


async def test_delayed_write_does_not_undo_another_change(tables):
    """An apply gets no response; its write is delayed in the network by 60 s.

    Meanwhile another operator's change is accepted. The delayed write must not
    restore the old head.
    """
    publisher = Publisher(tables, clock)
    await publisher.apply(change(0, DOCUMENT), allow_all)
    await publisher.apply(change(1, with_share("amber", 4.0)), allow_all)
    tables.faults.late_writes = 60.0
    back = change(2, with_share("amber", 1.0), "slow")
    lose_responses(tables, [False, True])
    applied = await publisher.apply(back, allow_all)
    assert applied.ok.version == 3
    other = change(3, with_share("birch", 9.0))
    assert (await publisher.apply(other, allow_all)).ok.version == 4
    await asyncio.sleep(120)
    assert await shares(publisher) == {"amber": 1.0, "birch": 9.0, "cedar": 1.0}
    assert len((await publisher.history(10)).ok) == 4


async def test_concurrent_operators_lose_no_change(tables):
    """Eight operators change the same or different entries concurrently.

    Each change is either accepted, and then contained in the last version unless
    a later change replaced it, or refused with the name of the winning operator.
    """
    publisher = Publisher(tables, clock)
    await publisher.apply(change(0, DOCUMENT), allow_all)
    names = ["amber", "birch", "cedar"]
    changes = [
        change(1, with_share(names[i % 3], 10.0 + i), author=f"op-{i}")
        for i in range(8)
    ]
    results = await asyncio.gather(
        *(Publisher(tables, clock).apply(c, allow_all) for c in changes)
    )
    accepted = [i for i, result in enumerate(results) if result.is_ok()]
    # of the changes from the same base one wins for each organisation
    assert sorted(i % 3 for i in accepted) == [0, 1, 2]
    assert await shares(publisher) == {names[i % 3]: 10.0 + i for i in accepted}
    for i, result in enumerate(results):
        if result.is_ok():
            continue
        assert result.error.kind is ApplyErrorKind.CONFLICT
        (conflict,) = result.error.conflicts
        winner = next(j for j in accepted if j % 3 == i % 3)
        assert conflict.path == f"organisations/{names[i % 3]}"
        assert conflict.author == f"op-{winner}"
        assert conflict.theirs["share"] == 10.0 + winner
        assert conflict.yours["share"] == 10.0 + i
    numbers = [head.version for head in (await publisher.history(20)).ok]
    assert numbers == list(range(len(accepted) + 1, 0, -1))


async def test_stale_read_of_head_creates_no_version(tables):
    """The store returns an old head, as a lagging replica does.

    A version based on it would revert changes accepted since.
    """
    publisher = Publisher(tables, clock)
    await publisher.apply(change(0, DOCUMENT), allow_all)
    stale = (await tables.get(CONFIG_TABLE, "head")).ok
    await publisher.apply(change(1, with_share("amber", 4.0)), allow_all)
    original = tables.get

    async def get(table, key):
        result = await original(table, key)
        return result.map(lambda row: stale if key == "head" else row)

    tables.get = get
    result = await publisher.apply(change(1, with_share("birch", 5.0)), allow_all)
    assert result.error.kind is ApplyErrorKind.UNCERTAIN
    tables.get = original
    assert await shares(publisher) == {"amber": 4.0, "birch": 1.0, "cedar": 1.0}


async def test_store_behind_the_fleet_gets_no_new_version(tables):
    """The store was restored from a backup older than the version in force.

    A new version would have a number that routers know with other content.
    """
    publisher = Publisher(tables, clock, lambda: 5)
    result = await publisher.apply(change(0, DOCUMENT), allow_all)
    assert result.error.kind is ApplyErrorKind.STORE
    assert "fleet has 5" in result.error.detail


async def test_faulty_or_forbidden_changes_write_nothing(tables):
    """A change removes a service in use; another exceeds the operator's rights."""
    publisher = Publisher(tables, clock)
    await publisher.apply(change(0, DOCUMENT), allow_all)
    writes = tables.writes
    result = await publisher.apply(change(1, {"services": {}}), allow_all)
    assert result.error.kind is ApplyErrorKind.REFUSED
    paths = {issue.path for issue in result.error.issues}
    assert "organisations.amber.services.0" in paths
    own = change(1, with_share("amber", 2.0))
    result = await publisher.apply(own, lambda section, name: section == "zones")
    assert result.error.kind is ApplyErrorKind.FORBIDDEN
    first = Change("f", "first", 0, DOCUMENT, "", True)
    result = await publisher.apply(first, allow_all)
    assert result.error.kind is ApplyErrorKind.FORBIDDEN
    assert tables.writes == writes


async def test_store_outage_and_reused_identifier_are_reported(tables):
    """The store fails; later an apply identifier is used for another change."""
    publisher = Publisher(tables, clock)
    tables.faults.down = True
    result = await publisher.apply(change(0, DOCUMENT, "a"), allow_all)
    assert result.error.kind is ApplyErrorKind.STORE
    tables.faults.down = False
    await publisher.apply(change(0, DOCUMENT, "a"), allow_all)
    other = change(1, with_share("amber", 3.0), "a")
    result = await publisher.apply(other, allow_all)
    assert result.error.kind is ApplyErrorKind.ID_REUSED
