"""The entry-host daemon: sockets, timers and codecs round the core."""
