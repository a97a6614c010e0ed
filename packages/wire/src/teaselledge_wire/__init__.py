"""Messages between routers, their encoding and their framing.

Import names from their modules, so that a program loads only the messages it uses.
"""
