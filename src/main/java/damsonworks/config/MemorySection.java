package damsonworks.config;

import damsonworks.memory.MemoryFormat;
import java.nio.file.Path;

/**
 * {@code [memory]}: where what the modules learn is kept.
 *
 * @param path the file; three more stand beside it
 * @param periodMs between two writings, at the least
 * @param keys hot keys of a pool that are kept, at most
 * @param bytesPerSecond bound on what is written
 */
public record MemorySection(Path path, double periodMs, int keys, double bytesPerSecond) {
    static MemorySection read(Section root, DaemonFileReader.Known known) {
        Section s = root.section("memory");
        if (s == null) {
            return null;
        }
        MemorySection memory = new MemorySection(known.beside(s, "path", s.text("path")),
                s.number("period_ms", 2000, 50, DaemonFileReader.HOUR_MS), s.integer("keys", 256, 0, MemoryFormat.MAX_KEYS),
                s.number("bytes_per_second", 65_536, 1024, 1e9));
        s.end();
        return memory;
    }
}
