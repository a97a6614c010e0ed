"""Tests of accepting changes in the table service."""

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


def anything(section, name):
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


def lose_answers(tables, which):
    """Lose the answers of the next writes, by their order."""
    original = tables.commit
    rest = list(which)

    async def commit(writes):
        tables.faults.lose_answers = int(rest.pop(0)) if rest else 0
        return await original(writes)

    tables.commit = commit


async def shares(publisher):
    _, document = (await publisher.load(0)).ok
    return {n: o["share"] for n, o in document["organisations"].items()}


async def test_what_is_applied_is_loaded_again(tables):
    publisher = Publisher(tables, clock)
    applied = await publisher.apply(change(0, DOCUMENT), anything)
    assert applied.ok.version == 1
    head, document = (await publisher.load(1)).ok
    assert document == DOCUMENT
    assert head.author == "dana"
    rows = (await tables.scan(CONFIG_TABLE, AUDIT_PREFIX, 10)).ok
    assert [json.loads(row.value)["operator"] for row in rows] == ["dana"]


async def test_lost_answer_of_an_apply_is_found_again(tables):
    """The store carries an apply out, but its answer is lost on the way.

    The operator sees the version as accepted, and it stands there once.
    """
    publisher = Publisher(tables, clock)
    await publisher.apply(change(0, DOCUMENT), anything)
    mine = change(1, with_share("amber", 4.0), "mine")
    # the chunk's write is answered, that of the head is not
    lose_answers(tables, [False, True])
    applied = await publisher.apply(mine, anything)
    assert applied.ok.version == 2
    assert applied.ok.found_again
    assert (await publisher.apply(mine, anything)).ok.version == 2
    assert len((await publisher.history(10)).ok) == 2


async def test_write_that_lands_late_does_not_undo_another_change(tables):
    """An apply gets no answer, its write hangs in the network for a minute.

    Meanwhile another operator's change is accepted. The late write must not
    bring the old head back.
    """
    publisher = Publisher(tables, clock)
    await publisher.apply(change(0, DOCUMENT), anything)
    await publisher.apply(change(1, with_share("amber", 4.0)), anything)
    tables.faults.late_writes = 60.0
    back = change(2, with_share("amber", 1.0), "slow")
    lose_answers(tables, [False, True])
    applied = await publisher.apply(back, anything)
    assert applied.ok.version == 3
    other = change(3, with_share("birch", 9.0))
    assert (await publisher.apply(other, anything)).ok.version == 4
    await asyncio.sleep(120)
    assert await shares(publisher) == {"amber": 1.0, "birch": 9.0, "cedar": 1.0}
    assert len((await publisher.history(10)).ok) == 4


async def test_racing_operators_lose_nothing(tables):
    """Eight operators change different and equal entries at the same moment.

    Each change is either accepted, and then stands in the last version unless a
    later one replaced it, or refused with the name of the one who won.
    """
    publisher = Publisher(tables, clock)
    await publisher.apply(change(0, DOCUMENT), anything)
    names = ["amber", "birch", "cedar"]
    changes = [
        change(1, with_share(names[i % 3], 10.0 + i), author=f"op-{i}")
        for i in range(8)
    ]
    results = await asyncio.gather(
        *(Publisher(tables, clock).apply(c, anything) for c in changes)
    )
    accepted = [i for i, result in enumerate(results) if result.is_ok()]
    # one change for each of the three organisations can win from one base
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


async def test_stale_read_of_the_head_makes_no_version(tables):
    """The store answers a read with an old head, as a lagging replica does.

    A version made from it would take back what was accepted since.
    """
    publisher = Publisher(tables, clock)
    await publisher.apply(change(0, DOCUMENT), anything)
    stale = (await tables.get(CONFIG_TABLE, "head")).ok
    await publisher.apply(change(1, with_share("amber", 4.0)), anything)
    original = tables.get

    async def get(table, key):
        result = await original(table, key)
        return result.map(lambda row: stale if key == "head" else row)

    tables.get = get
    result = await publisher.apply(change(1, with_share("birch", 5.0)), anything)
    assert result.error.kind is ApplyErrorKind.UNCERTAIN
    tables.get = original
    assert await shares(publisher) == {"amber": 4.0, "birch": 1.0, "cedar": 1.0}


async def test_store_that_lost_versions_gets_no_new_one(tables):
    """The store was restored from a copy and is behind what routers serve.

    A new version would have a number that routers know with other content.
    """
    publisher = Publisher(tables, clock, lambda: 5)
    result = await publisher.apply(change(0, DOCUMENT), anything)
    assert result.error.kind is ApplyErrorKind.STORE
    assert "fleet has 5" in result.error.detail


async def test_faulty_or_forbidden_changes_write_nothing(tables):
    """An operator removes a service that organisations use, another has no right."""
    publisher = Publisher(tables, clock)
    await publisher.apply(change(0, DOCUMENT), anything)
    writes = tables.writes
    result = await publisher.apply(change(1, {"services": {}}), anything)
    assert result.error.kind is ApplyErrorKind.REFUSED
    paths = {mistake.path for mistake in result.error.issues}
    assert "organisations.amber.services.0" in paths
    mine = change(1, with_share("amber", 2.0))
    result = await publisher.apply(mine, lambda section, name: section == "zones")
    assert result.error.kind is ApplyErrorKind.FORBIDDEN
    first = Change("f", "first", 0, DOCUMENT, "", True)
    result = await publisher.apply(first, anything)
    assert result.error.kind is ApplyErrorKind.FORBIDDEN
    assert tables.writes == writes


async def test_store_down_says_so_and_an_identifier_names_one_change(tables):
    """The store refuses calls; later an identifier is used for another change."""
    publisher = Publisher(tables, clock)
    tables.faults.down = True
    result = await publisher.apply(change(0, DOCUMENT, "a"), anything)
    assert result.error.kind is ApplyErrorKind.STORE
    tables.faults.down = False
    await publisher.apply(change(0, DOCUMENT, "a"), anything)
    other = change(1, with_share("amber", 3.0), "a")
    result = await publisher.apply(other, anything)
    assert result.error.kind is ApplyErrorKind.ID_REUSED
