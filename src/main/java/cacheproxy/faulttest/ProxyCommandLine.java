package cacheproxy.faulttest;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The command line of a proxy's process: the packaged program with the JVM flags that the platform uses for
 * {@code run}, including the class data archive.
 */
final class ProxyCommandLine {
    private static final List<String> JVM_FLAGS = List.of(
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Xms24m",
            "-Xmx40m",
            "-XX:MaxDirectMemorySize=32m",
            "-XX:MaxMetaspaceSize=48m",
            "-XX:ReservedCodeCacheSize=16m",
            "-Xss512k",
            "-XX:-UsePerfData");

    private ProxyCommandLine() {}

    /** The command without the program's own arguments. */
    static List<String> command() {
        Path jar = jar();
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(JVM_FLAGS);
        Path archive = jar.resolveSibling("cacheproxy.jsa");
        if (Files.exists(archive)) {
            command.add("-XX:SharedArchiveFile=" + archive);
            command.add("-Xlog:cds=off");
            command.add("-Xlog:cds+dynamic=off");
        }
        command.add("-Djava.library.path=" + jar.resolveSibling("native/META-INF/native"));
        command.add("-cp");
        command.add(jar.toString());
        command.add(ParentWatchdog.class.getName());
        return command;
    }

    /** The jar that this class was loaded from, or the one that the build makes. */
    private static Path jar() {
        String origin = ProxyCommandLine.class
                .getProtectionDomain()
                .getCodeSource()
                .getLocation()
                .getPath();
        Path jar = origin.endsWith(".jar") ? Path.of(origin) : Path.of("target/cache-proxy.jar");
        if (!Files.exists(jar)) {
            throw new IllegalStateException("there is no " + jar + "; build it with mvn -q -DskipTests package");
        }
        // The build uses a relative path when it creates the class data archive, and the archive is valid for that path
        // only.
        Path workingDirectory = Path.of("").toAbsolutePath();
        return jar.isAbsolute() && jar.startsWith(workingDirectory) ? workingDirectory.relativize(jar) : jar;
    }
}
