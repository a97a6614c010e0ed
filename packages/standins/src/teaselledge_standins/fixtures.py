"""Fixtures that tests share."""

from teaselledge_standins.fleet import running_fleet

__all__ = ["fleet"]

fleet = running_fleet
