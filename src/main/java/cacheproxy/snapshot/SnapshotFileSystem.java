package cacheproxy.snapshot;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.LinkOption;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.PosixFileAttributeView;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.Set;

/**
 * The few calls of the file system that a memory file needs, one method each, so that tests can end the world between
 * any two.
 */
interface SnapshotFileSystem {
    /** Writes a file anew, for its owner alone, and forces it to the disk. */
    void write(Path file, byte[] bytes) throws IOException;

    /** A second name for a file; one that is there under that name is replaced. */
    void alias(Path file, Path name) throws IOException;

    /** Renames over what is there, in one step. */
    void rename(Path from, Path to) throws IOException;

    /** Forces a directory's names to the disk. */
    void forceDirectory(Path directory) throws IOException;

    /**
     * A file's bytes; null: there is none.
     *
     * @throws IOException also where it is no plain file, belongs to somebody else or has more than {@code most} bytes
     */
    byte[] read(Path file, int most) throws IOException;

    /** The machine's. */
    SnapshotFileSystem REAL = new SnapshotFileSystem() {
        @Override
        public void write(Path file, byte[] bytes) throws IOException {
            Files.deleteIfExists(file); // what a killed process left there, or a link that somebody laid
            try (FileChannel channel = FileChannel.open(
                    file,
                    Set.of(StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE),
                    PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------")))) {
                for (ByteBuffer left = ByteBuffer.wrap(bytes); left.hasRemaining(); ) {
                    channel.write(left);
                }
                channel.force(true);
            }
        }

        @Override
        public void alias(Path file, Path name) throws IOException {
            Path between = name.resolveSibling(name.getFileName() + ".tmp");
            Files.deleteIfExists(between);
            Files.createLink(between, file);
            rename(between, name);
        }

        @Override
        public void rename(Path from, Path to) throws IOException {
            Files.move(from, to, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        }

        @Override
        public void forceDirectory(Path directory) throws IOException {
            try (FileChannel channel = FileChannel.open(directory, StandardOpenOption.READ)) {
                channel.force(true);
            }
        }

        @Override
        public byte[] read(Path file, int most) throws IOException {
            if (!Files.exists(file, LinkOption.NOFOLLOW_LINKS)) {
                return null;
            }
            if (Files.isSymbolicLink(file)) {
                throw new IOException("it is a symbolic link; name the file itself");
            }
            if (!Files.isRegularFile(file, LinkOption.NOFOLLOW_LINKS)) {
                throw new IOException("it is no plain file");
            }
            PosixFileAttributeView view =
                    Files.getFileAttributeView(file, PosixFileAttributeView.class, LinkOption.NOFOLLOW_LINKS);
            if (view != null
                    && !view.getOwner()
                            .equals(file.getFileSystem()
                                    .getUserPrincipalLookupService()
                                    .lookupPrincipalByName(System.getProperty("user.name")))) {
                throw new IOException(
                        "it belongs to " + view.getOwner().getName() + ", not to the user of this process");
            }
            try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ, LinkOption.NOFOLLOW_LINKS)) {
                if (channel.size() > most) {
                    throw new IOException("it has " + channel.size() + " bytes; a memory file has at most " + most);
                }
                ByteBuffer bytes = ByteBuffer.allocate((int) channel.size());
                while (bytes.hasRemaining() && channel.read(bytes) >= 0) {
                    // to its end
                }
                byte[] read = new byte[bytes.position()];
                bytes.get(0, read);
                return read;
            } catch (NoSuchFileException e) {
                return null;
            }
        }
    };
}
