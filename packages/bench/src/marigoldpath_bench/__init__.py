"""Stand-ins, load tool and benchmarks."""
