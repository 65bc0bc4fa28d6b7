"""Stand-ins, audit, demo and benchmarks; not part of the product."""
