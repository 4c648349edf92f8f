package cacheproxy.nginx;

/**
 * A position in a file.
 *
 * @param line from 1
 * @param column from 1, in bytes
 */
public record Position(String file, int line, int column) {
    @Override
    public String toString() {
        return file + ":" + line + ":" + column;
    }
}
