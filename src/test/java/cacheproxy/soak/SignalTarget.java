package cacheproxy.soak;

import java.io.IOException;
import java.nio.file.Path;

/** A process of the program that a soak test connects to and sends signals to. */
interface SignalTarget extends AutoCloseable {
    /** The port for clients, on the loopback address. */
    int port();

    /** The process, or null before its start. */
    Process process();

    /** What the process has written to standard output and standard error. */
    Path log();

    /** Sends a signal, unless the process has exited: its process id may have been reused. */
    default void signal(String name) throws IOException, InterruptedException {
        if (process().isAlive()) {
            new ProcessBuilder("kill", "-" + name, Long.toString(process().pid()))
                    .start()
                    .waitFor();
        }
    }

    /** Kills the process, also one that is stopped. */
    @Override
    default void close() throws Exception {
        if (process() != null && process().isAlive()) {
            signal("CONT");
            process().destroyForcibly().waitFor();
        }
    }
}
