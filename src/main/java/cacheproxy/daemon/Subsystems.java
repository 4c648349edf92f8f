package cacheproxy.daemon;

import cacheproxy.config.ConfigException;
import cacheproxy.config.DaemonConfig;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.Executor;

/** The daemon's parts, replaced together: all of a new file's are open before the first of the old ones is let go. */
final class Subsystems {
    private final Executor onLoop;
    private final List<Subsystem.Opener> openers;
    private volatile List<Subsystem> present;

    /**
     * @param onLoop runs on the event loop and returns once it has
     * @param openers in the order in which their parts take their places
     */
    Subsystems(Executor onLoop, List<Subsystem.Opener> openers) {
        this.onLoop = onLoop;
        this.openers = List.copyOf(openers);
        present = Collections.nCopies(openers.size(), null);
    }

    /** The part of this kind; null if there is none. From any thread. */
    <T extends Subsystem> T get(Class<T> kind) {
        return present.stream()
                .filter(kind::isInstance)
                .map(kind::cast)
                .findFirst()
                .orElse(null);
    }

    /** What a new file would change. */
    final class Change {
        private final DaemonConfig file;
        private final List<Subsystem> next = new ArrayList<>();
        private List<Subsystem> before = List.of();

        private Change(DaemonConfig file) {
            this.file = file;
        }

        /** The new ones take their places; on the event loop. */
        void commit() {
            before = present;
            present = Collections.unmodifiableList(next);
            present.stream().filter(p -> p != null).forEach(p -> p.apply(file));
        }

        /** Nothing uses the old ones any more; on the event loop. */
        void closeOld() {
            old().forEach(Subsystem::close);
        }

        /** Not on the event loop. */
        void endOld() {
            old().forEach(Subsystem::end);
        }

        private List<Subsystem> old() {
            return before.stream().filter(p -> p != null && !next.contains(p)).toList();
        }

        /** The file is not taken after all; not on the event loop. */
        private void drop() throws ConfigException, InterruptedException {
            for (Subsystem p : next) {
                if (p != null && !present.contains(p)) {
                    onLoop.execute(p::close);
                    p.end();
                }
            }
            for (Subsystem p : present) {
                if (p != null) {
                    p.restore(file);
                }
            }
        }
    }

    /** Opens what the file needs; not on the event loop. */
    Change prepare(DaemonConfig file) throws ConfigException, InterruptedException {
        Change change = new Change(file);
        try {
            for (int i = 0; i < openers.size(); i++) {
                Subsystem standing = present.get(i);
                change.next.add(
                        standing != null && standing.fits(file)
                                ? standing
                                : openers.get(i).open(file, standing));
            }
        } catch (ConfigException | InterruptedException | RuntimeException e) {
            change.drop();
            throw e;
        }
        return change;
    }

    /** On the event loop. */
    void drain() {
        present.stream().filter(p -> p != null).forEach(Subsystem::drain);
    }

    /** Not on the event loop. */
    void finish() {
        present.stream().filter(p -> p != null).forEach(Subsystem::finish);
    }

    /** Not on the event loop. */
    void end() {
        present.stream().filter(p -> p != null).forEach(Subsystem::end);
    }

    /** On the event loop. */
    void close() {
        present.stream().filter(p -> p != null).forEach(Subsystem::close);
    }
}
