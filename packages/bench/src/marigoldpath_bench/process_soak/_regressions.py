"""Seeds of the soak that failed in the past, with the causes.

The causes marked (soak) were faults of the soak test itself.
"""

SEEDS = {
    2: "two soaks used the same addresses (soak)",
    6: "SIGHUP terminated a host whose program was still loading",
    51: "a host that was killed and restarted meanwhile counted as not stopped (soak)",
    311: "a cancellation without a reply counted as never sent (soak)",
    413: "a host that was paused while it stopped counted as not stopped (soak)",
    421: "a host that was paused while it stopped counted as not stopped (soak)",
}
