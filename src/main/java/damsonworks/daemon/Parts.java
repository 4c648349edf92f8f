package damsonworks.daemon;

import damsonworks.config.ConfigException;
import damsonworks.config.DaemonFile;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.Executor;

/** The daemon's parts, replaced together: all of a new file's are open before the first of the old ones is let go. */
final class Parts {
    private final Executor onLoop;
    private final List<Part.Opener> openers;
    private volatile List<Part> present;

    /**
     * @param onLoop runs on the event loop and returns once it has
     * @param openers in the order in which their parts take their places
     */
    Parts(Executor onLoop, List<Part.Opener> openers) {
        this.onLoop = onLoop;
        this.openers = List.copyOf(openers);
        present = Collections.nCopies(openers.size(), null);
    }

    /** The part of this kind; null if there is none. From any thread. */
    <T extends Part> T get(Class<T> kind) {
        return present.stream().filter(kind::isInstance).map(kind::cast).findFirst().orElse(null);
    }

    /** What a new file would change. */
    final class Change {
        private final DaemonFile file;
        private final List<Part> next = new ArrayList<>();
        private List<Part> before = List.of();

        private Change(DaemonFile file) {
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
            old().forEach(Part::close);
        }

        /** Not on the event loop. */
        void endOld() {
            old().forEach(Part::end);
        }

        private List<Part> old() {
            return before.stream().filter(p -> p != null && !next.contains(p)).toList();
        }

        /** The file is not taken after all; not on the event loop. */
        private void drop() throws ConfigException, InterruptedException {
            for (Part p : next) {
                if (p != null && !present.contains(p)) {
                    onLoop.execute(p::close);
                    p.end();
                }
            }
            for (Part p : present) {
                if (p != null) {
                    p.restore(file);
                }
            }
        }
    }

    /** Opens what the file needs; not on the event loop. */
    Change prepare(DaemonFile file) throws ConfigException, InterruptedException {
        Change change = new Change(file);
        try {
            for (int i = 0; i < openers.size(); i++) {
                Part standing = present.get(i);
                change.next.add(standing != null && standing.fits(file) ? standing : openers.get(i).open(file, standing));
            }
        } catch (ConfigException | InterruptedException | RuntimeException e) {
            change.drop();
            throw e;
        }
        return change;
    }

    /** On the event loop. */
    void drain() {
        present.stream().filter(p -> p != null).forEach(Part::drain);
    }

    /** Not on the event loop. */
    void finish() {
        present.stream().filter(p -> p != null).forEach(Part::finish);
    }

    /** Not on the event loop. */
    void end() {
        present.stream().filter(p -> p != null).forEach(Part::end);
    }

    /** On the event loop. */
    void close() {
        present.stream().filter(p -> p != null).forEach(Part::close);
    }
}
