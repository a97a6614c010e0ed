"""Check a document offline."""

from teaselledge.version.source import check_source

from teaselctl.files import issues_error, open_source
from teaselctl.output import Output

__all__ = ["run"]


async def run(args: list[str]) -> Output:
    """Check the files and print the number of entries by type."""
    source = open_source(args)
    checked = check_source(source)
    if checked.is_error():
        raise issues_error(checked.error)
    document = checked.ok.document
    counts = {
        "zones": len(document.zones),
        "organisations": len(document.organisations),
        "services": len(document.services),
        "endpoints": sum(len(s.endpoints) for s in document.services.values()),
        "objectives": len(document.objectives),
        "operators": len(document.operators),
    }
    text = ", ".join(f"{count} {name}" for name, count in counts.items())
    return Output({"mistakes": [], "counts": counts}, f"no faults: {text}")
