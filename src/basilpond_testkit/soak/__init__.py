"""Seeded faults against real router processes, with callers and endpoints."""
