"""Fakes of the platform, simulations, a load generator, soak tests and benchmarks."""
