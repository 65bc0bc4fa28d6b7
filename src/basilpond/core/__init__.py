"""Decisions of the router, without I/O, sockets, files, timers or clocks."""
