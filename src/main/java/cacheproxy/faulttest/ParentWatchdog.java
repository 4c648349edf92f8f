package cacheproxy.faulttest;

import cacheproxy.Main;
import java.io.IOException;

/**
 * The program as a child of a fault test: besides the program, a thread reads standard input, which ends when the
 * parent ends. So no child outlives a parent that was killed.
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
                // Nobody writes.
            }
        } catch (IOException e) {
            // The parent has ended as well.
        }
        Runtime.getRuntime().halt(PARENT_ENDED_EXIT_CODE);
    }
}
