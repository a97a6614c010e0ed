"""Tasks and callbacks that must outlive errors.

Answers the load of errors that nobody expects, above all those that what others wrote
raises. Knows the tasks that run for the life of the process. Decides when one that has
ended starts again; reports each end, and each error that no code has handled.
"""
