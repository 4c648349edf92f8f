package cacheproxy.cli;

import cacheproxy.config.DaemonConfig;
import cacheproxy.config.ListenerConfig;
import cacheproxy.daemon.RouteExplainer;
import cacheproxy.routes.RouteInput;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

@Command(
        name = "explain",
        mixinStandardHelpOptions = true,
        description = "Says for each key which route, pool and server it goes to while all servers are well.")
final class ExplainCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Parameters(index = "0", paramLabel = "FILE", description = "The daemon's file.")
    private Path file;

    @Parameters(index = "1..*", paramLabel = "KEY", arity = "1..*", description = "Keys as clients send them.")
    private List<String> keys;

    @Option(
            names = "--class",
            paramLabel = "NAME",
            description = "The request's class; else the listener's, or the first.")
    private String serviceClass;

    @Option(
            names = "--tenant",
            paramLabel = "NAME",
            description = "The request's tenant; else the listener's, or the first.")
    private String tenant;

    @Option(names = "--listener", paramLabel = "NAME", description = "Where it comes in; else the first listener.")
    private String listener;

    @Option(names = "--write", description = "It is a write.")
    private boolean write;

    @Option(names = "--why", description = "Also the routes passed over and the ranking.")
    private boolean why;

    @Override
    public Integer call() {
        PrintWriter out = spec.commandLine().getOut();
        PrintWriter err = spec.commandLine().getErr();
        DaemonConfig f = Files.read(file, err);
        if (f == null) {
            return Cli.UNUSABLE;
        }
        ListenerConfig at = f.listeners().stream()
                .filter(l -> listener == null || l.name().equals(listener))
                .findFirst()
                .orElse(null);
        if (at == null) {
            err.println("there is no listener '" + listener + "' in " + file);
            return Cli.UNUSABLE;
        }
        String kind = serviceClass != null ? serviceClass : write ? at.writeClass() : at.readClass();
        int k = kind == null ? 0 : f.classIndex(kind);
        int t = tenant == null && at.tenant() == null ? 0 : f.tenantIndex(tenant != null ? tenant : at.tenant());
        if (k < 0 || t < 0) {
            err.println("there is no " + (k < 0 ? "class '" + kind : "tenant '" + tenant) + "' in " + file);
            return Cli.UNUSABLE;
        }
        RouteExplainer explain = new RouteExplainer(f);
        for (String key : keys) {
            RouteInput s = f.keys().parse(at.name(), key, k, t, write);
            if (s == null) {
                out.println(key + " route=- answer=rejected (the key is no path)");
                continue;
            }
            explain.lines(s, why).forEach(out::println);
        }
        return 0;
    }
}
