package cacheproxy.bench;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Starts processes of this program that are cheap to start and to kill. */
final class JavaProcess {
    private static final String JAVA =
            Path.of(System.getProperty("java.home"), "bin", "java").toString();

    private JavaProcess() {}

    /** Starts a main class of this process's class path; its standard error goes to {@code log}. */
    static Process start(Path log, String mainClass, String... args) throws IOException {
        List<String> command = new ArrayList<>(List.of(
                JAVA,
                "-XX:TieredStopAtLevel=1",
                "-XX:+UseSerialGC",
                "-Xmx128m",
                "-cp",
                System.getProperty("java.class.path"),
                mainClass));
        command.addAll(List.of(args));
        return new ProcessBuilder(command).redirectError(log.toFile()).start();
    }
}
