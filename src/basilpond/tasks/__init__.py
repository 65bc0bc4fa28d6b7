"""Asyncio tasks; each owns its sockets and its state."""
