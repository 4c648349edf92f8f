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

/** Holds the imported file against a model of the original, key by key. */
final class NginxComparison {
    private final NginxReferenceModel model;
    private final DaemonConfig imported;
    private final RouteExplainer explainer;
    private final boolean hostInKeys;

    NginxComparison(ConfParser.Conf conf, DaemonConfig imported, boolean hostInKeys) {
        model = new NginxReferenceModel(conf.directives());
        this.imported = imported;
        explainer = new RouteExplainer(imported);
        this.hostInKeys = hostInKeys;
    }

    /** Where a key goes, on either side; a server of - where any of the pool may get it, or where none does. */
    private record Goal(String pool, String server) {
        @Override
        public String toString() {
            return pool + " " + server;
        }
    }

    int run(Path keys, PrintWriter out, PrintWriter err) throws IOException {
        long same = 0;
        long anyOfPool = 0;
        long differ = 0;
        try (BufferedReader in = Files.newBufferedReader(keys, StandardCharsets.ISO_8859_1)) {
            for (String key; (key = in.readLine()) != null; ) {
                if (key.isBlank()) {
                    continue;
                }
                Goal original = original(key);
                Goal here = here(key);
                boolean any = original.server.equals("any");
                boolean equal = any ? original.pool.equals(here.pool) : original.equals(here);
                same += equal && !any ? 1 : 0;
                anyOfPool += equal && any ? 1 : 0;
                differ += equal ? 0 : 1;
                out.println(key + " nginx=" + original + " imported=" + here + (equal ? "" : " DIFFERS"));
            }
        } catch (NoSuchFileException e) {
            err.println(keys + ": there is no such file");
            return Cli.UNUSABLE;
        }
        out.println(same + " the same, " + anyOfPool
                + " of the same pool, in which nginx chooses by more than the key, " + differ + " differ");
        return differ == 0 ? 0 : 1;
    }

    private Goal original(String key) {
        int slash = key.indexOf('/');
        String host = hostInKeys && slash > 0 ? key.substring(0, slash) : "";
        NginxReferenceModel.Answer a =
                model.ask(model.firstSocket(), "GET", host, slash > 0 ? key.substring(slash) : key);
        return a.status() != 0 ? new Goal("-", "-") : new Goal(a.pool(), a.node() == null ? "any" : a.node());
    }

    private Goal here(String key) {
        ListenerConfig at = imported.listeners().get(0);
        RouteInput s = imported.keys().parse(at.name(), key, imported.classIndex(at.readClass()), 0, false);
        String line = s == null ? "" : explainer.lines(s, false).get(0);
        int pool = line.indexOf(" pool=");
        int server = line.indexOf(" server=", pool);
        if (pool < 0) {
            return new Goal("-", "-");
        }
        String name = line.substring(server + " server=".length());
        int end = name.indexOf(' ');
        return new Goal(line.substring(pool + " pool=".length(), server), end < 0 ? name : name.substring(0, end));
    }
}
