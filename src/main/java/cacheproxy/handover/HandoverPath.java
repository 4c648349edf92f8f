package cacheproxy.handover;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Names and checks the file of the Unix domain socket at which a process offers its listening socket. */
public final class HandoverPath {
    /** Longest path of a Unix socket address (sun_path, unix(7)), without its terminator. */
    private static final int MAX_SOCKET_PATH_BYTES = 107;
    /** Longest suffix of the temporary name under which a socket is bound: a dot and a process ID. */
    private static final int MAX_SUFFIX_BYTES = 12;

    private static final Path OWN_PROCESS = Path.of("/proc/self");

    private HandoverPath() {}

    /** Returns the path in {@code folder} at which the process that listens on a port offers its socket. */
    public static Path of(Path folder, int port) {
        return folder.resolve("listen-" + port);
    }

    /** Returns whether a Unix socket can be bound at the path, also under its temporary name. */
    static boolean fitsSocketAddress(Path path) {
        return path.toString().length() <= MAX_SOCKET_PATH_BYTES - MAX_SUFFIX_BYTES;
    }

    /** Returns whether the file belongs to this process's user; in a shared folder any user may have created it. */
    static boolean isOwnedByThisUser(Path path) {
        try {
            return userId(path) == thisUserId();
        } catch (IOException e) {
            return false; // a file that cannot be read is not trusted
        }
    }

    /** Returns the ID of the user that runs this process. */
    static int thisUserId() throws IOException {
        return userId(OWN_PROCESS);
    }

    private static int userId(Path path) throws IOException {
        return (Integer) Files.getAttribute(path, "unix:uid");
    }
}
