package cacheproxy.snapshot;

import cacheproxy.snapshot.state.StateSnapshot;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.AccessDeniedException;
import java.nio.file.FileSystemException;
import java.nio.file.LinkOption;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/**
 * A snapshot file and the generation before it, {@code FILE.old}.
 *
 * <p>A new generation is written to {@code FILE.new}, forced to the disk and renamed, so that one generation is
 * complete at any moment. A lock on {@code FILE.lock} keeps other processes from using the file. All methods block, so
 * they must not be called on an event loop, and must be called by one thread at a time.
 */
public final class SnapshotStore implements AutoCloseable {
    private static final String PREVIOUS_SUFFIX = ".old";
    private static final String NEW_SUFFIX = ".new";
    private static final String LOCK_SUFFIX = ".lock";

    private final Path newestFile;
    private final Path previousFile;
    private final Path newFile;
    private final SnapshotFileSystem fileSystem;

    /** Null while the lock is not held. */
    private FileChannel lockChannel;

    /** Whether the newest file is complete, so that it can replace the previous generation. */
    private boolean newestComplete;

    private long generation;

    SnapshotStore(Path file, SnapshotFileSystem fileSystem) {
        newestFile = file.toAbsolutePath();
        previousFile = withSuffix(PREVIOUS_SUFFIX);
        newFile = withSuffix(NEW_SUFFIX);
        this.fileSystem = fileSystem;
    }

    /** Returns the store of a snapshot file; nothing is read yet. */
    public static SnapshotStore at(Path file) {
        return new SnapshotStore(file, SnapshotFileSystem.SYSTEM);
    }

    private Path withSuffix(String suffix) {
        return newestFile.resolveSibling(newestFile.getFileName() + suffix);
    }

    /**
     * Locks the file against other processes until this store is closed.
     *
     * @return false if another process, or another store of this one, holds the lock
     * @throws IOException if the lock file cannot be opened
     */
    public boolean tryLock() throws IOException {
        FileChannel channel = FileChannel.open(
                withSuffix(LOCK_SUFFIX),
                Set.of(StandardOpenOption.CREATE, StandardOpenOption.WRITE, LinkOption.NOFOLLOW_LINKS));
        FileLock lock;
        try {
            lock = channel.tryLock();
        } catch (OverlappingFileLockException e) {
            lock = null; // another store of this process holds it
        } catch (IOException e) {
            channel.close();
            throw e;
        }
        if (lock == null) {
            channel.close();
            return false;
        }
        lockChannel = channel;
        return true;
    }

    /**
     * Reads the newest complete generation; if none is complete, what can be read of the newest. Damage and errors are
     * reported in the result's notes, never thrown.
     */
    public StoredSnapshot read() {
        List<String> notes = new ArrayList<>();
        Optional<DecodedSnapshot> newest = decode(newestFile, notes);
        newestComplete = newest.filter(DecodedSnapshot::isComplete).isPresent();
        Optional<DecodedSnapshot> previous = decode(previousFile, notes);
        generation = Stream.of(newest, previous)
                .flatMap(Optional::stream)
                .filter(decoded -> decoded.content() != null)
                .mapToLong(decoded -> decoded.content().generation())
                .reduce(generation, Math::max);
        return choose(newest, previous, notes);
    }

    private static StoredSnapshot choose(
            Optional<DecodedSnapshot> newest, Optional<DecodedSnapshot> previous, List<String> notes) {
        boolean newestUsable =
                newest.filter(decoded -> decoded.content() != null).isPresent();
        boolean newestIsComplete = newest.filter(DecodedSnapshot::isComplete).isPresent();
        boolean previousIsComplete =
                previous.filter(DecodedSnapshot::isComplete).isPresent();
        if (newestIsComplete || (newestUsable && !previousIsComplete)) {
            return new StoredSnapshot(newest.get().content(), false, notes);
        }
        StateSnapshot content = previous.map(DecodedSnapshot::content).orElse(null);
        return new StoredSnapshot(content, previous.isPresent(), notes);
    }

    /** Reads one file; empty if there is none or if it cannot be read, which adds a note. */
    private Optional<DecodedSnapshot> decode(Path path, List<String> notes) {
        try {
            Optional<DecodedSnapshot> decoded =
                    fileSystem.read(path, SnapshotCodec.MAX_BYTES).map(SnapshotCodec::decode);
            decoded.ifPresent(snapshot -> {
                snapshot.faults().forEach(fault -> notes.add(path + ": " + fault));
                snapshot.skipped().forEach(section -> notes.add(path + ": skipped, " + section));
            });
            return decoded;
        } catch (IOException e) {
            notes.add(path + ": " + describe(e));
            return Optional.empty();
        }
    }

    /**
     * Writes a new generation. The snapshot's own generation is replaced by the last generation plus one.
     *
     * @return the bytes written
     * @throws IOException if the file system fails; one complete generation remains
     * @throws IllegalArgumentException if the snapshot does not fit into a file
     */
    public int write(StateSnapshot snapshot) throws IOException {
        StateSnapshot numbered = new StateSnapshot(
                snapshot.site(),
                snapshot.proxyNumber(),
                snapshot.writtenMs(),
                generation + 1,
                snapshot.pools(),
                snapshot.serverStarts());
        byte[] bytes = SnapshotCodec.encode(numbered);
        fileSystem.write(newFile, bytes);
        if (newestComplete) { // a damaged file must not replace the last complete one
            keepNewestAsPrevious();
        }
        fileSystem.rename(newFile, newestFile);
        newestComplete = true;
        generation++;
        fileSystem.forceDirectory(newestFile.getParent());
        return bytes.length;
    }

    private void keepNewestAsPrevious() throws IOException {
        try {
            fileSystem.link(newestFile, previousFile);
        } catch (NoSuchFileException e) {
            // The newest file has been removed; the new file is renamed to its name nevertheless.
        }
    }

    /** Describes a file system error for operators; the exception's message is often only the path. */
    public static String describe(IOException error) {
        if (error instanceof NoSuchFileException) {
            return "its directory is not there";
        }
        if (error instanceof AccessDeniedException) {
            return "no permission";
        }
        String reason = error instanceof FileSystemException fileError && fileError.getReason() != null
                ? fileError.getReason()
                : error.getMessage();
        return reason == null
                ? error.getClass().getSimpleName()
                : reason.lines().findFirst().orElse("");
    }

    /** Releases the lock, if it is held. */
    @Override
    public void close() {
        if (lockChannel == null) {
            return;
        }
        try {
            lockChannel.close();
        } catch (IOException e) {
            // The operating system releases the lock when the process ends.
        }
        lockChannel = null;
    }
}
