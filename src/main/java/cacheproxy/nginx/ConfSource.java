package cacheproxy.nginx;

import java.util.List;

/** The files of a configuration, by paths relative to its prefix or absolute. */
public interface ConfSource {
    /** A file or directory that can't be read; the message says why. */
    final class Unreadable extends Exception {
        private static final long serialVersionUID = 1L;

        public Unreadable(String why) {
            super(why);
        }
    }

    /** A file's bytes as ISO 8859-1 text: nginx's grammar is one of bytes. */
    String read(String path) throws Unreadable;

    /** The files that a pattern with {@code *}, {@code ?} or {@code [...]} names, in the order of their names. */
    List<String> glob(String pattern) throws Unreadable;
}
