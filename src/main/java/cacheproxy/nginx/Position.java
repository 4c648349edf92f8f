package cacheproxy.nginx;

/** Where a directive stands; line and column from 1. */
public record Position(String file, int line, int column) {
    @Override
    public String toString() {
        return file + ":" + line + ":" + column;
    }
}
