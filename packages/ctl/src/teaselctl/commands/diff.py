"""Show the differences between files and versions."""

from typing import Any

from teaselledge.version.difference import (
    EntryChange,
    differences,
    format_field_changes,
)
from teaselledge.version.sections import ENDPOINTS, Entries, flatten

from teaselctl.client import Client
from teaselctl.files import open_source, sections_of
from teaselctl.options import FLAGS
from teaselctl.output import CommandError, Output

__all__ = ["change_lines", "run"]


def change_lines(change: EntryChange) -> list[str]:
    """Format a changed entry as lines."""
    kind = "changed"
    if change.old is None:
        kind = "new"
    elif change.new is None:
        kind = "removed"
    return [
        f"{change.path} ({kind})",
        *(f"  {line}" for line in format_field_changes(change)),
    ]


async def run(args: list[str]) -> Output:
    """Compare files with a version, or two versions."""
    client = Client.from_flags(FLAGS)
    if not args and FLAGS.base is None:
        raise CommandError("name files, or a version with --base")
    first = await client.get(f"/v1/versions/{FLAGS.base or 'head'}")
    old = flatten(first["document"])
    if args:
        source = open_source(args)
        new = _replace_sections(old, sections_of(source, FLAGS.section))
        title = f"version {first['head']['version']} and the files"
    else:
        second = await client.get(f"/v1/versions/{FLAGS.to or 'head'}")
        new = flatten(second["document"])
        title = f"versions {first['head']['version']} and {second['head']['version']}"
    changes = differences(old, new)
    lines = [line for change in changes for line in change_lines(change)]
    value = {
        "base": first["head"]["version"],
        "changes": [{"path": c.path, "old": c.old, "new": c.new} for c in changes],
    }
    count = "1 entry differs" if len(changes) == 1 else f"{len(changes)} entries differ"
    text = "\n".join([f"{count} between {title}", *lines])
    return Output(value, text)


def _replace_sections(old: Entries, sections: dict[str, Any]) -> Entries:
    replaced = flatten(sections)
    new = {**old, **{name: replaced[name] for name in sections}}
    if "services" in sections:
        new[ENDPOINTS] = replaced[ENDPOINTS]
    return new
