package cacheproxy.snapshot;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;

/**
 * The file system calls that a snapshot file needs, each in a method of its own, so that tests can simulate a crash
 * between any two.
 */
interface SnapshotFileSystem {
    /** The machine's file system. */
    SnapshotFileSystem SYSTEM = new SystemFileSystem();

    /** Writes a new file that only its owner can read, replacing any file of that name, and forces it to the disk. */
    void write(Path file, byte[] bytes) throws IOException;

    /** Gives a file a second name, replacing any file of that name. */
    void link(Path file, Path name) throws IOException;

    /** Renames a file atomically, replacing any file of the new name. */
    void rename(Path from, Path to) throws IOException;

    /** Forces a directory's entries to the disk. */
    void forceDirectory(Path directory) throws IOException;

    /**
     * Reads a file.
     *
     * @return its bytes; empty if there is no file
     * @throws IOException also if it is not a regular file, has another owner or has more than {@code maxBytes} bytes
     */
    Optional<byte[]> read(Path file, int maxBytes) throws IOException;
}
