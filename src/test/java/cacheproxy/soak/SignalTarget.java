package cacheproxy.soak;

import java.io.IOException;

/** A process of the program that a soak test connects to and sends signals to. */
interface SignalTarget {
    /** The port for clients, on the loopback address. */
    int port();

    /** Sends a signal, unless the process has exited. */
    void signal(String name) throws IOException, InterruptedException;
}
