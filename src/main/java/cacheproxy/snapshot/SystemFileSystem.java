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
import java.nio.file.attribute.UserPrincipal;
import java.util.Optional;
import java.util.Set;

/** The machine's file system. */
final class SystemFileSystem implements SnapshotFileSystem {
    private static final String OWNER_ONLY = "rw-------";
    private static final String TEMPORARY_SUFFIX = ".tmp";

    @Override
    public void write(Path file, byte[] bytes) throws IOException {
        Files.deleteIfExists(file); // it may be left over from a killed process, or a link placed there by another user
        try (FileChannel channel = FileChannel.open(
                file,
                Set.of(StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE),
                PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString(OWNER_ONLY)))) {
            ByteBuffer remaining = ByteBuffer.wrap(bytes);
            while (remaining.hasRemaining()) {
                channel.write(remaining);
            }
            channel.force(true);
        }
    }

    @Override
    public void link(Path file, Path name) throws IOException {
        Path temporary = name.resolveSibling(name.getFileName() + TEMPORARY_SUFFIX);
        Files.deleteIfExists(temporary);
        Files.createLink(temporary, file);
        rename(temporary, name);
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
    public Optional<byte[]> read(Path file, int maxBytes) throws IOException {
        if (!Files.exists(file, LinkOption.NOFOLLOW_LINKS)) {
            return Optional.empty();
        }
        checkRegularFile(file);
        checkOwner(file);
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ, LinkOption.NOFOLLOW_LINKS)) {
            if (channel.size() > maxBytes) {
                throw new IOException("it has " + channel.size() + " bytes; a memory file has at most " + maxBytes);
            }
            return Optional.of(readAll(channel));
        } catch (NoSuchFileException e) {
            return Optional.empty(); // removed after the checks above
        }
    }

    private static void checkRegularFile(Path file) throws IOException {
        if (Files.isSymbolicLink(file)) {
            throw new IOException("it is a symbolic link; name the file itself");
        }
        if (!Files.isRegularFile(file, LinkOption.NOFOLLOW_LINKS)) {
            throw new IOException("it is not a regular file");
        }
    }

    private static void checkOwner(Path file) throws IOException {
        PosixFileAttributeView view =
                Files.getFileAttributeView(file, PosixFileAttributeView.class, LinkOption.NOFOLLOW_LINKS);
        if (view == null) {
            return;
        }
        UserPrincipal owner = view.getOwner();
        UserPrincipal user = file.getFileSystem()
                .getUserPrincipalLookupService()
                .lookupPrincipalByName(System.getProperty("user.name"));
        if (!owner.equals(user)) {
            throw new IOException("it belongs to " + owner.getName() + ", not to the user of this process");
        }
    }

    /** Reads to the end of a file, which can come earlier than its size indicated. */
    private static byte[] readAll(FileChannel channel) throws IOException {
        ByteBuffer buffer = ByteBuffer.allocate((int) channel.size());
        int count = 0;
        while (buffer.hasRemaining() && count >= 0) {
            count = channel.read(buffer);
        }
        byte[] bytes = new byte[buffer.position()];
        buffer.get(0, bytes);
        return bytes;
    }
}
