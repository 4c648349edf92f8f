package cacheproxy.daemon;

import cacheproxy.config.ConfigException;
import cacheproxy.config.DaemonConfig;

/**
 * A subsystem of the daemon. It is opened on a file before anything changes, takes its place with the file's other
 * parts, goes on under later files that it fits, and is replaced by one that was opened on a file that it does not fit.
 * All but opening and restoring on the event loop.
 */
public interface Subsystem {
    /** Opens one for a file. */
    interface Opener {
        /**
         * Not on the event loop: may wait. The exception says why the file can't be used; then all stays as it is.
         * Where it wants the address of the one before, that one lets go of it, and is asked to {@link #restore} it if
         * the file is not taken.
         *
         * @param before the one whose place it would take; null: none
         * @return null where the file has no such part
         */
        Subsystem open(DaemonConfig file, Subsystem before) throws ConfigException, InterruptedException;
    }

    /** Whether it can go on under another file; what may differ it takes from the file in {@link #apply}. */
    boolean fits(DaemonConfig file);

    /** The file counts from now on; also called for the one that it was opened on. */
    default void apply(DaemonConfig file) {}

    /**
     * Another that had taken its address is not used after all, so it takes it back. Not on the event loop.
     *
     * @param file any; for the exception
     */
    default void restore(DaemonConfig file) throws ConfigException, InterruptedException {}

    /** The process is to end; it goes on for as long as requests are being answered. */
    default void drain() {}

    /**
     * The last request has been answered and the process ends: what is worth keeping is kept. Not on the event loop:
     * may wait.
     */
    default void finish() {}

    /** It ends at once; nothing of it is in use any more. */
    void close();

    /** After {@link #close}, what has to be waited for. Not on the event loop. */
    default void end() {}
}
