"""Explores every interleaving of two operators' applies."""

import copy
from datetime import UTC, datetime

from teaselledge.platform import ANY, Write
from teaselledge.version import publish
from teaselledge.version.head import (
    CHUNK_PREFIX,
    CONFIG_TABLE,
    HEAD_KEY,
    VERSION_PREFIX,
    decode_manifest,
)
from teaselledge.version.publish import ApplyErrorKind, Change, Publisher
from teaselledge.version.sections import flatten, unflatten, unpack_chunk
from teaselledge.version.store import unchecked_writes
from teaselledge_standins.explore import (
    CRASH,
    LATE,
    LOST,
    REFUSED,
    ExplorationError,
    explore,
)

DOCUMENT = {
    "zones": {"north-a": {"region": "north"}},
    "organisations": {
        name: {"share": 1.0, "keys": [], "services": ["models"]}
        for name in ("amber", "birch")
    },
    "services": {
        "models": {
            "cost": "tokens",
            "endpoints": {"e-0": {"address": "10.0.0.1:1", "zone": "north-a"}},
            "kinds": {"work": {"methods": ["POST"], "paths": ["work"]}},
        }
    },
    "objectives": {},
    "operators": {"dana": {"keys": ["0" * 64], "role": "admin"}},
}
SHARES = {"op-a": 5.0, "op-b": 7.0}

NOT_ACCEPTED = {
    ApplyErrorKind.CONFLICT.value,
    ApplyErrorKind.STORE.value,
    ApplyErrorKind.REFUSED.value,
}
"""Outcomes after which a change must never come into force."""


def first_chunks():
    chunks = {}
    for write in unchecked_writes(DOCUMENT, 1):
        if write.key.startswith(CHUNK_PREFIX):
            name = write.key.removeprefix(CHUNK_PREFIX)
            chunks[name] = unpack_chunk(write.value)
    return chunks


def with_share(organisation, share):
    organisations = copy.deepcopy(DOCUMENT["organisations"])
    organisations[organisation]["share"] = share
    return {"organisations": organisations}


async def apply(world, publisher, change):
    result = await publisher.apply(change, lambda section, name: True)
    outcome = result.ok.version if result.is_ok() else result.error.kind.value
    world.log.append((change.author, outcome))


def operators(targets, publisher_class=Publisher):
    """Return a setup with one apply per operator, each based on version 1."""

    def setup(world):
        world.tables.apply(unchecked_writes(DOCUMENT, 1))
        for name, organisation in targets.items():
            publisher = publisher_class(
                world.tables_of(name), lambda: datetime(2030, 1, 1, tzinfo=UTC)
            )
            publisher._chunks.update(first_chunks())
            sections = with_share(organisation, SHARES[name])
            change = Change(f"id-{name}", name, 1, sections)
            world.spawn(name, apply(world, publisher, change))

    return setup


def entries_of(tables, head):
    entries = {}
    for section, digests in head.sections.items():
        entries[section] = {}
        for digest in digests:
            row = tables.peek(CONFIG_TABLE, CHUNK_PREFIX + digest)
            assert row is not None, f"version {head.version} lacks a chunk"
            entries[section].update(unpack_chunk(row.value))
    return entries


def check_versions(targets):
    """Return a check that no change is lost, applied twice or undone."""

    def check(world):
        tables = world.tables
        rows = [
            row
            for row in tables.snapshot()[CONFIG_TABLE]
            if row.key.startswith(VERSION_PREFIX)
        ]
        heads = [decode_manifest(row.value) for row in rows]
        assert [head.version for head in heads] == list(range(1, len(heads) + 1))
        head_row = tables.peek(CONFIG_TABLE, HEAD_KEY)
        assert head_row.value == rows[-1].value, "head is not the highest version"
        expected = flatten(DOCUMENT)
        for head in heads[1:]:
            name = head.author
            expected = copy.deepcopy(expected)
            expected["organisations"][targets[name]]["share"] = SHARES[name]
            assert unflatten(entries_of(tables, head)) == unflatten(expected)
        authors = [head.author for head in heads[1:]]
        assert len(set(authors)) == len(authors), f"accepted twice: {authors}"
        for name, outcome in world.log:
            if isinstance(outcome, int):
                assert heads[outcome - 1].author == name, f"{name} got {outcome}"
            if outcome in NOT_ACCEPTED:
                assert name not in authors, f"{name} got {outcome}"

    return check


def run_exploration(name, targets, budget, publisher_class=Publisher):
    found = explore(
        operators(targets, publisher_class), check_versions(targets), budget
    )
    print(
        f"{name}: {found.states} states, {found.runs} runs, {found.completed_runs} ends"
    )
    return found


DIFFERENT = {"op-a": "amber", "op-b": "birch"}
SAME = {"op-a": "amber", "op-b": "amber"}


def test_two_operators_with_lost_response_and_crash():
    """Two operators change different organisations concurrently, the response to
    one write is lost, and one router crashes. A change reported as accepted must
    stay in force.
    """
    assert run_exploration("lost, crash", DIFFERENT, {LOST: 1, CRASH: 1}).states > 100


def test_two_operators_with_late_writes():
    """Two operators change the same share. One write takes effect at any time
    after its operator got a response, or never.
    """
    assert run_exploration("late", SAME, {LATE: 1, REFUSED: 1}).states > 100


class UnconditionalPublisher(Publisher):
    """Writes the head row without a condition."""

    async def apply(self, change, allows):
        """Apply a change without conditions."""
        original = publish.head_writes

        def unconditional(head, expect):
            return [Write(w.table, w.key, w.value, ANY) for w in original(head, expect)]

        publish.head_writes = unconditional
        try:
            return await super().apply(change, allows)
        finally:
            publish.head_writes = original


def test_unconditional_publisher_is_detected():
    """A publisher without compare-and-swap loses a change; the exploration must
    detect it.
    """
    try:
        run_exploration("unconditional", DIFFERENT, {}, UnconditionalPublisher)
    except ExplorationError:
        return
    raise AssertionError("the exploration did not detect a lost change")
