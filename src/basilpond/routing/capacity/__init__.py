"""Limits on what a router and all routers together send and accept."""
