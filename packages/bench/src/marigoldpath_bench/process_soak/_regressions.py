"""Seeds of the soak that once failed, with the cause; each is played again."""

SEEDS = {
    2: "two soaks used the same addresses (soak)",
    6: "SIGHUP ended a host whose program was still loading",
    51: "a host that was killed and started meanwhile counted as not stopped (soak)",
    311: "a cancellation without an answer counted as never sent (soak)",
    413: "a host that was paused while it stopped counted as not stopped (soak)",
    421: "a host that was paused while it stopped counted as not stopped (soak)",
}
