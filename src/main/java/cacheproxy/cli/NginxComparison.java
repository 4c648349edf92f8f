package cacheproxy.cli;

import cacheproxy.config.DaemonConfig;
import cacheproxy.config.ListenerConfig;
import cacheproxy.daemon.RouteExplainer;
import cacheproxy.fakes.NginxReferenceModel;
import cacheproxy.nginx.ConfParser;
import cacheproxy.routes.RouteInput;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;

/** Compares, key by key, where nginx and the imported configuration send a request. */
final class NginxComparison {
    private static final String POOL_FIELD = " pool=";
    private static final String SERVER_FIELD = " server=";

    private final NginxReferenceModel model;
    private final DaemonConfig imported;
    private final RouteExplainer explainer;
    private final boolean hostInKeys;

    /**
     * Creates a comparison of a configuration with the file imported from it.
     *
     * @param hostInKeys whether the part of a key before its first slash is the host
     */
    NginxComparison(ConfParser.Conf conf, DaemonConfig imported, boolean hostInKeys) {
        model = new NginxReferenceModel(conf.directives());
        this.imported = imported;
        explainer = new RouteExplainer(imported);
        this.hostInKeys = hostInKeys;
    }

    /**
     * Where a key is sent. The server is {@code any} if any server of the pool can receive the key, {@code -} if none
     * does.
     */
    private record Target(String pool, String server) {
        private static final Target NONE = new Target("-", "-");

        private boolean isAnyOfPool() {
            return server.equals("any");
        }

        @Override
        public String toString() {
            return pool + " " + server;
        }
    }

    /** The number of keys with each result. */
    private static final class Counts {
        private long sameServer;
        private long samePool;
        private long different;

        private void add(Target original, boolean equal) {
            if (!equal) {
                different++;
            } else if (original.isAnyOfPool()) {
                samePool++;
            } else {
                sameServer++;
            }
        }
    }

    /**
     * Compares the keys of a file, one a line, and prints each with both targets, then the counts.
     *
     * @return the command's exit code: {@link ExitCode#FAILED} if a key's targets differ
     */
    int run(Path keys, PrintWriter out, PrintWriter err) throws IOException {
        Counts counts = new Counts();
        try (BufferedReader reader = Files.newBufferedReader(keys, StandardCharsets.ISO_8859_1)) {
            for (String key = reader.readLine(); key != null; key = reader.readLine()) {
                if (!key.isBlank()) {
                    compare(key, counts, out);
                }
            }
        } catch (NoSuchFileException e) {
            err.println(keys + ": there is no such file");
            return ExitCode.UNUSABLE;
        }
        out.println(counts.sameServer + " the same, " + counts.samePool
                + " of the same pool, in which nginx chooses by more than the key, " + counts.different + " differ");
        return counts.different == 0 ? ExitCode.OK : ExitCode.FAILED;
    }

    private void compare(String key, Counts counts, PrintWriter out) {
        Target original = originalTarget(key);
        Target actual = importedTarget(key);
        boolean equal = original.isAnyOfPool() ? original.pool.equals(actual.pool) : original.equals(actual);
        counts.add(original, equal);
        out.println(key + " nginx=" + original + " imported=" + actual + (equal ? "" : " DIFFERS"));
    }

    private Target originalTarget(String key) {
        int slash = key.indexOf('/');
        String host = hostInKeys && slash > 0 ? key.substring(0, slash) : "";
        String path = slash > 0 ? key.substring(slash) : key;
        NginxReferenceModel.Answer answer = model.respond(model.firstSocket(), "GET", host, path);
        if (answer.status() != 0) {
            return Target.NONE;
        }
        return new Target(answer.pool(), answer.node() == null ? "any" : answer.node());
    }

    private Target importedTarget(String key) {
        ListenerConfig listener = imported.listeners().get(0);
        int classIndex = imported.classIndex(listener.readClass());
        RouteInput input = imported.keys().parse(listener.name(), key, classIndex, 0, false);
        return input == null
                ? Target.NONE
                : parseTarget(explainer.lines(input, false).get(0));
    }

    private static Target parseTarget(String explanation) {
        int poolAt = explanation.indexOf(POOL_FIELD);
        if (poolAt < 0) {
            return Target.NONE;
        }
        int serverAt = explanation.indexOf(SERVER_FIELD, poolAt);
        String pool = explanation.substring(poolAt + POOL_FIELD.length(), serverAt);
        String rest = explanation.substring(serverAt + SERVER_FIELD.length());
        int end = rest.indexOf(' ');
        return new Target(pool, end < 0 ? rest : rest.substring(0, end));
    }
}
