package cacheproxy.daemon;

import cacheproxy.config.ConfigException;
import cacheproxy.config.DaemonConfig;
import cacheproxy.control.ControlRequestHandler;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;

/**
 * A component of the daemon with its own section of the configuration file, such as the control address or the fleet.
 * It is opened before a new configuration is committed, stays in place under later configurations that it
 * {@linkplain #fits fits}, and is otherwise replaced. Methods are called on the event loop, except for {@link #fits},
 * {@link #address}, {@link #restore}, {@link #finish} and {@link #end}, which are called from other threads; the last
 * three may block.
 */
public interface Subsystem {
    /** Opens a subsystem for a configuration. */
    interface Factory {
        /**
         * Opens a subsystem. Called off the event loop, so it may block. A subsystem that binds the same address as
         * {@code previous} first makes {@code previous} release it; {@code previous} has to {@link #restore} it if the
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
     * Registers a subsystem with the daemon.
     *
     * @param section the main section of the configuration file
     */
    record Registration(String section, Factory factory) {}

    /** Returns whether this instance can continue under another configuration, adopted by {@link #apply}. */
    boolean fits(DaemonConfig file);

    /** Adopts a committed configuration, including the one that the subsystem was opened for. */
    default void apply(DaemonConfig file) {}

    /**
     * Takes back what was released for a replacement that was then rejected, such as an address. Not on the event loop.
     *
     * @param file the rejected configuration, named in errors
     */
    default void restore(DaemonConfig file) throws ConfigException, InterruptedException {}

    /** Prepares for the end of the process; requests are still being served. */
    default void drain() {}

    /** Saves what should outlive the process, after the last response. Not on the event loop, may block. */
    default void finish() {}

    /** Closes the subsystem at once; nothing uses this instance any more. */
    void close();

    /** Waits until everything that {@link #close} has started is complete. Not on the event loop. */
    default void end() {}

    /** Called when a server of the configuration file has restarted and thus lost its contents. */
    default void serverRestarted(int server) {}

    /** Returns the handlers of this subsystem's requests at the control address, by the first segment of their path. */
    default Map<String, ControlRequestHandler> controlHandlers() {
        return Map.of();
    }

    /** Returns the address that this subsystem is bound to; empty if it has none. */
    default Optional<InetSocketAddress> address() {
        return Optional.empty();
    }
}
