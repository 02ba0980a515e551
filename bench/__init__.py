"""Measurements; run each as a module, for example ``python -m bench.x``."""
