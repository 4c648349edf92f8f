package damsonworks.cli;

import damsonworks.config.ConfigException;
import damsonworks.config.DaemonFile;
import damsonworks.config.DaemonFileReader;
import java.io.PrintWriter;
import java.nio.file.Path;

/** Reading the daemon's file for a command. */
final class Files {
    private Files() { }

    /** The file, or null after its errors have been printed. */
    static DaemonFile read(Path path, PrintWriter err) {
        try {
            return DaemonFileReader.read(path);
        } catch (ConfigException e) {
            e.errors().forEach(err::println);
            err.flush();
            return null;
        }
    }
}
