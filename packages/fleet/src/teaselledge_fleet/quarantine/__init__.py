"""Requests that end the endpoints that run them, and are refused from then on.

Answers the load of a caller that tries such a request again and again: each attempt
would end another endpoint, with all that runs there. Knows which contents and segments
of prompts were in flight at endpoints that ended, by the reports of all routers.
Decides whether a request may be sent.
"""
