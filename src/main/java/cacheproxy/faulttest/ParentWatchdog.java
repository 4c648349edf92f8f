package cacheproxy.faulttest;

import cacheproxy.Main;
import java.io.IOException;

/**
 * The program as a child of the rig: all that differs is a thread that reads standard input, whose end is the parent's
 * end. So no child outlives a rig that was killed.
 */
public final class ParentWatchdog {
    private static final int ORPHAN = 97;

    private ParentWatchdog() {}

    /** Takes the program's own words. */
    public static void main(String[] args) {
        Thread parent = new Thread(
                () -> {
                    try {
                        while (System.in.read() >= 0) {
                            // nobody writes
                        }
                    } catch (IOException e) {
                        // an end as well
                    }
                    Runtime.getRuntime().halt(ORPHAN);
                },
                "parent");
        parent.setDaemon(true);
        parent.start();
        Main.main(args);
    }
}
