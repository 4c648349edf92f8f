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
import java.util.Set;

/**
 * A memory file and the generation before it, {@code FILE.old}. A new one is written whole beside them, forced to the
 * disk and renamed over the old one, so that at any moment one of the two is whole. {@code FILE.lock} keeps a second
 * process out. Blocks; not for an event loop, and for one thread at a time.
 */
public final class SnapshotStore implements AutoCloseable {
    private final Path file;
    private final Path old;
    private final Path fresh;
    private final SnapshotFileSystem disk;
    private FileChannel lockFile;
    /** Whether what stands under the file's name may take the place of the generation behind it. */
    private boolean whole;

    private long generation;

    SnapshotStore(Path file, SnapshotFileSystem disk) {
        this.file = file.toAbsolutePath();
        old = sibling(".old");
        fresh = sibling(".new");
        this.disk = disk;
    }

    /** The files at this path. */
    public static SnapshotStore at(Path file) {
        return new SnapshotStore(file, SnapshotFileSystem.REAL);
    }

    private Path sibling(String ending) {
        return file.resolveSibling(file.getFileName() + ending);
    }

    /**
     * What was found.
     *
     * @param content null: nothing that can be used
     * @param older whether it is the generation behind the newest
     * @param notes what was wrong with what was passed over or read in part, each with its file
     */
    public record Found(StateSnapshot content, boolean older, List<String> notes) {}

    /** Keeps other processes out until this is closed; false: one has the file already. */
    public boolean lock() throws IOException {
        FileChannel channel = FileChannel.open(
                sibling(".lock"),
                Set.of(StandardOpenOption.CREATE, StandardOpenOption.WRITE, LinkOption.NOFOLLOW_LINKS));
        FileLock lock;
        try {
            lock = channel.tryLock();
        } catch (OverlappingFileLockException e) {
            lock = null; // another daemon of this very process
        } catch (IOException e) {
            channel.close();
            throw e;
        }
        if (lock == null) {
            channel.close();
            return false;
        }
        lockFile = channel;
        return true;
    }

    /**
     * The newest that is whole; where none is, what can be read of the newest. Never throws for what the files hold.
     */
    public Found read() {
        List<String> notes = new ArrayList<>();
        SnapshotCodec.Decoded newest = decode(file, notes);
        whole = newest != null && newest.whole();
        SnapshotCodec.Decoded before = decode(old, notes);
        Found found = choose(newest, before, notes);
        for (SnapshotCodec.Decoded d : new SnapshotCodec.Decoded[] {newest, before}) {
            if (d != null && d.content() != null) {
                generation = Math.max(generation, d.content().generation());
            }
        }
        return found;
    }

    private static Found choose(SnapshotCodec.Decoded newest, SnapshotCodec.Decoded before, List<String> notes) {
        if (newest != null && newest.whole()) {
            return new Found(newest.content(), false, notes);
        }
        if (before != null && before.whole()) {
            return new Found(before.content(), true, notes);
        }
        if (newest != null && newest.content() != null) {
            return new Found(newest.content(), false, notes);
        }
        return new Found(before == null ? null : before.content(), before != null, notes);
    }

    private SnapshotCodec.Decoded decode(Path path, List<String> notes) {
        try {
            byte[] bytes = disk.read(path, SnapshotCodec.MAX_BYTES);
            if (bytes == null) {
                return null;
            }
            SnapshotCodec.Decoded decoded = SnapshotCodec.decode(bytes);
            decoded.faults().forEach(f -> notes.add(path + ": " + f));
            decoded.skipped().forEach(f -> notes.add(path + ": skipped, " + f));
            return decoded;
        } catch (IOException e) {
            notes.add(path + ": " + reason(e));
            return null;
        }
    }

    /** Puts a new generation in the file's place; the number it gets is one more than the last. @return its bytes */
    public int write(StateSnapshot r) throws IOException {
        byte[] bytes = SnapshotCodec.encode(new StateSnapshot(
                r.site(), r.proxyNumber(), r.writtenMs(), generation + 1, r.pools(), r.serverStarts()));
        disk.write(fresh, bytes);
        if (whole) { // what is damaged must not push out the last that is whole
            try {
                disk.alias(file, old);
            } catch (NoSuchFileException e) {
                // somebody has removed it; the new one takes its place all the same
            }
        }
        disk.rename(fresh, file);
        whole = true;
        generation++;
        disk.forceDirectory(file.getParent());
        return bytes.length;
    }

    /** An error of the file system in words; the exception's own message is often only the path. */
    public static String reason(IOException e) {
        if (e instanceof NoSuchFileException) {
            return "its directory is not there";
        }
        if (e instanceof AccessDeniedException) {
            return "no permission";
        }
        String why = e instanceof FileSystemException f && f.getReason() != null ? f.getReason() : e.getMessage();
        return why == null
                ? e.getClass().getSimpleName()
                : why.lines().findFirst().orElse("");
    }

    @Override
    public void close() {
        if (lockFile != null) {
            try {
                lockFile.close();
            } catch (IOException e) {
                // the lock ends with the process
            }
            lockFile = null;
        }
    }
}
