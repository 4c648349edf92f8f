package cacheproxy.nginx;

import java.util.List;

/** Access to the files of a configuration. Paths are absolute or relative to the configuration's prefix. */
public interface ConfSource {
    /** A file or directory can't be read; the message says why. */
    final class UnreadableFileException extends Exception {
        private static final long serialVersionUID = 1L;

        /**
         * Creates the exception.
         *
         * @param reason why the file can't be read; it is printed after the file's name and a colon
         */
        public UnreadableFileException(String reason) {
            super(reason);
        }
    }

    /**
     * Reads a file.
     *
     * @return its bytes as ISO 8859-1 text, because nginx's grammar is defined on bytes
     * @throws UnreadableFileException if there is no such file, or it can't be read
     */
    String read(String path) throws UnreadableFileException;

    /**
     * Lists the files that match a pattern with {@code *}, {@code ?} or {@code [...]}.
     *
     * @return their paths, ordered by name; empty if none matches
     * @throws UnreadableFileException if the pattern is malformed or a directory can't be listed
     */
    List<String> glob(String pattern) throws UnreadableFileException;
}
