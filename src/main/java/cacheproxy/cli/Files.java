package cacheproxy.cli;

import cacheproxy.config.ConfigException;
import cacheproxy.config.DaemonConfig;
import cacheproxy.config.DaemonConfigReader;
import java.io.PrintWriter;
import java.nio.file.Path;

/** Reading the daemon's file for a command. */
final class Files {
    private Files() {}

    /** The file, or null after its errors have been printed. */
    static DaemonConfig read(Path path, PrintWriter err) {
        try {
            return DaemonConfigReader.read(path);
        } catch (ConfigException e) {
            e.errors().forEach(err::println);
            err.flush();
            return null;
        }
    }
}
