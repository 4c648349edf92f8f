package cacheproxy.daemon;

import cacheproxy.config.ConfigException;
import cacheproxy.config.DaemonConfig;
import cacheproxy.control.ControlRequestHandler;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.stream.Stream;

/**
 * The daemon's subsystems. They are replaced together: all subsystems of a new configuration are open before the first
 * of the old ones is closed.
 */
public final class Subsystems {
    private final Executor onLoop;
    private final List<Subsystem.Registration> registrations;
    /** One entry for each registration; null if the configuration does not use the subsystem. */
    private volatile List<Subsystem> present;

    /**
     * Creates the set without open subsystems.
     *
     * @param onLoop runs a task on the event loop and returns once it has ended
     * @param registrations in the order in which the subsystems are opened and adopt a configuration
     */
    Subsystems(Executor onLoop, List<Subsystem.Registration> registrations) {
        this.onLoop = onLoop;
        this.registrations = List.copyOf(registrations);
        present = Collections.nCopies(registrations.size(), null);
    }

    /** Returns the subsystem that implements this type; null if there is none. Thread-safe. */
    public <T> T get(Class<T> role) {
        for (Subsystem subsystem : present) {
            if (role.isInstance(subsystem)) {
                return role.cast(subsystem);
            }
        }
        return null;
    }

    /** Returns the address of the subsystem that is registered for a section. Thread-safe. */
    Optional<InetSocketAddress> address(String section) {
        List<Subsystem> current = present;
        for (int i = 0; i < registrations.size(); i++) {
            if (registrations.get(i).section().equals(section) && current.get(i) != null) {
                return current.get(i).address();
            }
        }
        return Optional.empty();
    }

    /** Returns the request handlers of all subsystems for the control address, in order of registration. */
    Map<String, ControlRequestHandler> controlHandlers() {
        Map<String, ControlRequestHandler> handlers = new LinkedHashMap<>();
        open().forEach(subsystem -> handlers.putAll(subsystem.controlHandlers()));
        return handlers;
    }

    private Stream<Subsystem> open() {
        return present.stream().filter(Objects::nonNull);
    }

    /** The transition to a new configuration. */
    final class Change {
        private final DaemonConfig file;
        private final List<Subsystem> next = new ArrayList<>();
        private List<Subsystem> previous = List.of();

        private Change(DaemonConfig file) {
            this.file = file;
        }

        /** Puts the new subsystems in place; on the event loop. */
        void commit() {
            previous = present;
            present = Collections.unmodifiableList(next);
            open().forEach(subsystem -> subsystem.apply(file));
        }

        /** Closes the replaced subsystems, which nothing uses any more; on the event loop. */
        void closeReplaced() {
            replaced().forEach(Subsystem::close);
        }

        /** Waits until the replaced subsystems have ended; not on the event loop. */
        void endReplaced() {
            replaced().forEach(Subsystem::end);
        }

        private List<Subsystem> replaced() {
            return previous.stream()
                    .filter(subsystem -> subsystem != null && !next.contains(subsystem))
                    .toList();
        }

        /**
         * Closes the subsystems that were opened for a rejected configuration, and restores the current ones; not on
         * the event loop.
         */
        void rollBack() throws ConfigException, InterruptedException {
            for (Subsystem subsystem : next) {
                if (subsystem != null && !present.contains(subsystem)) {
                    onLoop.execute(subsystem::close);
                    subsystem.end();
                }
            }
            for (Subsystem subsystem : present) {
                if (subsystem != null) {
                    subsystem.restore(file);
                }
            }
        }
    }

    /** Opens the subsystems that a configuration needs; not on the event loop. */
    Change prepare(SubsystemContext context, DaemonConfig file) throws ConfigException, InterruptedException {
        Change change = new Change(file);
        try {
            for (int i = 0; i < registrations.size(); i++) {
                Subsystem current = present.get(i);
                change.next.add(
                        current != null && current.fits(file)
                                ? current
                                : registrations
                                        .get(i)
                                        .factory()
                                        .open(context, file, current)
                                        .orElse(null));
            }
        } catch (ConfigException | InterruptedException | RuntimeException e) {
            change.rollBack();
            throw e;
        }
        return change;
    }

    /** Notifies all subsystems of a server's restart; on the event loop. */
    void serverRestarted(int server) {
        open().forEach(subsystem -> subsystem.serverRestarted(server));
    }

    /** Prepares all subsystems for the end of the process; on the event loop. */
    void drain() {
        open().forEach(Subsystem::drain);
    }

    /** Lets all subsystems save their state before the process ends; not on the event loop. */
    void finish() {
        open().forEach(Subsystem::finish);
    }

    /** Waits until all subsystems have ended; not on the event loop. */
    void end() {
        open().forEach(Subsystem::end);
    }

    /** Closes all subsystems; on the event loop. */
    void close() {
        open().forEach(Subsystem::close);
    }
}
