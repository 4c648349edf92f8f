package cacheproxy.config;

import cacheproxy.snapshot.SnapshotCodec;
import java.nio.file.Path;

/**
 * {@code [memory]}: where what the modules learn is kept.
 *
 * @param path the file; three more stand beside it
 * @param periodMs between two writings, at the least
 * @param keys hot keys of a pool that are kept, at most
 * @param bytesPerSecond bound on what is written
 */
public record SnapshotConfig(Path path, double periodMs, int keys, double bytesPerSecond) {
    static SnapshotConfig read(TomlTableReader root, DaemonConfigReader.Known known) {
        TomlTableReader s = root.section("memory");
        if (s == null) {
            return null;
        }
        SnapshotConfig memory = new SnapshotConfig(
                known.beside(s, "path", s.text("path")),
                s.number("period_ms", 2000, 50, DaemonConfigReader.HOUR_MS),
                s.integer("keys", 256, 0, SnapshotCodec.MAX_KEYS),
                s.number("bytes_per_second", 65_536, 1024, 1e9));
        s.end();
        return memory;
    }
}
