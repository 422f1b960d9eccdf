"""The entry-host daemon: sockets, files, timers and codecs around the core."""
