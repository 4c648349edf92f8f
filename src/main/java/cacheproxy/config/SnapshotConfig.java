package cacheproxy.config;

import cacheproxy.snapshot.SnapshotCodec;
import java.nio.file.Path;

/**
 * {@code [memory]}: where snapshots of the learned state are kept.
 *
 * @param path the snapshot file; three more files are kept in its directory
 * @param periodMs minimum time between two snapshots
 * @param maxHotKeys maximum number of hot keys saved for each pool
 * @param bytesPerSecond maximum rate of bytes written
 */
public record SnapshotConfig(Path path, double periodMs, int maxHotKeys, double bytesPerSecond) {
    /** Reads the section; returns null if the file has none. */
    static SnapshotConfig read(TomlTableReader root, ConfigReferences references) {
        TomlTableReader table = root.table("memory");
        if (table == null) {
            return null;
        }
        SnapshotConfig snapshot = new SnapshotConfig(
                references.resolvePath(table, "path", table.text("path")),
                table.number("period_ms", 2000, 50, ConfigValues.HOUR_MS),
                table.integer("keys", 256, 0, SnapshotCodec.MAX_KEYS),
                table.number("bytes_per_second", 65_536, 1024, 1e9));
        table.rejectUnknownKeys();
        return snapshot;
    }
}
