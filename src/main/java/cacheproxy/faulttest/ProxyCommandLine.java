package cacheproxy.faulttest;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * How a child is started: the packaged program with the flags of the platform's {@code run}, its class archive among
 * them.
 */
final class ProxyCommandLine {
    private static final List<String> FLAGS = List.of(
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

    /** Without the program's own words. */
    static List<String> command() {
        Path jar = jar();
        List<String> words = new ArrayList<>(
                List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString()));
        words.addAll(FLAGS);
        Path archive = jar.resolveSibling("cacheproxy.jsa");
        if (Files.exists(archive)) {
            words.add("-XX:SharedArchiveFile=" + archive);
            words.add("-Xlog:cds=off");
            words.add("-Xlog:cds+dynamic=off");
        }
        words.add("-Djava.library.path=" + jar.resolveSibling("native/META-INF/native"));
        words.add("-cp");
        words.add(jar.toString());
        words.add(ParentWatchdog.class.getName());
        return words;
    }

    /** The jar that this class came from, or the one that the build leaves. */
    private static Path jar() {
        String from = ProxyCommandLine.class
                .getProtectionDomain()
                .getCodeSource()
                .getLocation()
                .getPath();
        Path jar = from.endsWith(".jar") ? Path.of(from) : Path.of("target/cache-proxy.jar");
        if (!Files.exists(jar)) {
            throw new IllegalStateException("there is no " + jar + "; build it with mvn -q -DskipTests package");
        }
        // As the build's own run names it: the archive is good for this path alone.
        Path here = Path.of("").toAbsolutePath();
        return jar.isAbsolute() && jar.startsWith(here) ? here.relativize(jar) : jar;
    }
}
