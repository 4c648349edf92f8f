package cacheproxy.cli;

import cacheproxy.config.ConfigException;
import cacheproxy.config.DaemonConfig;
import cacheproxy.config.DaemonConfigReader;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.Optional;

/** Reads the daemon's configuration file for a command. */
final class ConfigFiles {
    private ConfigFiles() {}

    /** Returns the parsed file, or nothing after printing its errors, one a line, to {@code err}. */
    static Optional<DaemonConfig> read(Path file, PrintWriter err) {
        try {
            return Optional.of(DaemonConfigReader.read(file));
        } catch (ConfigException e) {
            e.errors().forEach(err::println);
            err.flush();
            return Optional.empty();
        }
    }
}
