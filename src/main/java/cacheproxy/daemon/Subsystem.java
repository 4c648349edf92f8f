package cacheproxy.daemon;

import cacheproxy.config.ConfigException;
import cacheproxy.config.DaemonConfig;
import cacheproxy.control.ControlRequestHandler;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;

/**
 * A part of the daemon with a section of the configuration file, such as the control address or the fleet. It is opened
 * before a new configuration is committed, stays in place under later configurations that it {@linkplain #fits fits},
 * and is otherwise replaced. The event loop calls all methods but {@link #restore}, {@link #finish} and {@link #end},
 * which may block and are called from other threads.
 */
public interface Subsystem {
    /** Opens a subsystem for a configuration. */
    interface Factory {
        /**
         * Opens a subsystem; called off the event loop, so it may block. A subsystem that binds the same address as
         * {@code previous} releases it there first, and {@code previous} is asked to {@link #restore} it if the
         * configuration is rejected.
         *
         * @param previous the instance that would be replaced; null if there is none
         * @return empty if the configuration does not use this subsystem
         * @throws ConfigException if the configuration cannot be used; everything then stays as it was
         */
        Optional<? extends Subsystem> open(SubsystemContext context, DaemonConfig file, Subsystem previous)
                throws ConfigException, InterruptedException;
    }

    /**
     * A subsystem as the daemon knows it.
     *
     * @param section the main section of the configuration file
     */
    record Registration(String section, Factory factory) {}

    /** Returns whether this instance can continue under another configuration, adopted by {@link #apply}. */
    boolean fits(DaemonConfig file);

    /** Adopts a committed configuration, including the one that the subsystem was opened for. */
    default void apply(DaemonConfig file) {}

    /**
     * Takes back an address that a rejected replacement had bound. Not on the event loop.
     *
     * @param file the rejected configuration, named in errors
     */
    default void restore(DaemonConfig file) throws ConfigException, InterruptedException {}

    /** Prepares for the end of the process; requests are still being served. */
    default void drain() {}

    /** Saves what should outlive the process, after the last response. Not on the event loop, may block. */
    default void finish() {}

    /** Ends at once; nothing uses this instance any more. */
    void close();

    /** Waits for whatever {@link #close} has started. Not on the event loop. */
    default void end() {}

    /** A server of the configuration file has restarted, so that its contents are gone. */
    default void serverRestarted(int server) {}

    /** The requests that this subsystem answers at the control address, by the first segment of their path. */
    default Map<String, ControlRequestHandler> controlHandlers() {
        return Map.of();
    }

    /** The address that this subsystem is bound to, if it listens anywhere. */
    default Optional<InetSocketAddress> address() {
        return Optional.empty();
    }
}
