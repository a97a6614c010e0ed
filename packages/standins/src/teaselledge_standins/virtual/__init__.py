"""A fleet on a virtual clock: the routers' own code, with fakes at its interfaces."""
