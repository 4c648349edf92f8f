package cacheproxy.faulttest;

import cacheproxy.Main;
import java.io.IOException;

/**
 * Runs the program as a child process of a fault test. A thread reads standard input, which ends when the parent exits,
 * and then halts the program, so that no child outlives a parent that was killed.
 */
public final class ParentWatchdog {
    private static final int PARENT_ENDED_EXIT_CODE = 97;

    private ParentWatchdog() {}

    /** Runs the program with its own arguments. */
    public static void main(String[] args) {
        Thread watchdog = new Thread(ParentWatchdog::awaitParentEnd, "parent");
        watchdog.setDaemon(true);
        watchdog.start();
        Main.main(args);
    }

    private static void awaitParentEnd() {
        try {
            while (System.in.read() >= 0) {
                // The parent writes nothing.
            }
        } catch (IOException e) {
            // A read error also means that the parent has exited.
        }
        Runtime.getRuntime().halt(PARENT_ENDED_EXIT_CODE);
    }
}
