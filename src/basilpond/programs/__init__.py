"""Console scripts."""
