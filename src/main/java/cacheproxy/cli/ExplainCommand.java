package cacheproxy.cli;

import cacheproxy.config.DaemonConfig;
import cacheproxy.config.ListenerConfig;
import cacheproxy.daemon.RouteExplainer;
import cacheproxy.routes.RouteInput;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code explain}: prints the route, pool and server of keys, determined from the configuration file alone. */
@Command(
        name = "explain",
        mixinStandardHelpOptions = true,
        description = "Prints for each key the route, pool and server it goes to while all servers are healthy.")
final class ExplainCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Parameters(index = "0", paramLabel = "FILE", description = "The daemon's configuration file.")
    private Path file;

    @Parameters(index = "1..*", paramLabel = "KEY", arity = "1..*", description = "Keys as clients send them.")
    private List<String> keys;

    @Option(
            names = "--class",
            paramLabel = "NAME",
            description = "The request's class; default: the listener's, or the first.")
    private String serviceClass;

    @Option(
            names = "--tenant",
            paramLabel = "NAME",
            description = "The request's tenant; default: the listener's, or the first.")
    private String tenant;

    @Option(
            names = "--listener",
            paramLabel = "NAME",
            description = "The listener that receives it; default: the first.")
    private String listener;

    @Option(names = "--write", description = "The request is a write.")
    private boolean write;

    @Option(names = "--why", description = "Also prints the routes that were passed over and the ranking of servers.")
    private boolean why;

    @Override
    public Integer call() {
        PrintWriter err = spec.commandLine().getErr();
        Optional<DaemonConfig> read = ConfigFiles.read(file, err);
        if (read.isEmpty()) {
            return ExitCode.UNUSABLE;
        }
        DaemonConfig config = read.get();
        Optional<ListenerConfig> found = findListener(config);
        if (found.isEmpty()) {
            err.println("there is no listener '" + listener + "' in " + file);
            return ExitCode.UNUSABLE;
        }
        ListenerConfig source = found.get();
        String className = className(source);
        int classIndex = className == null ? 0 : config.classIndex(className);
        if (classIndex < 0) {
            err.println("there is no class '" + className + "' in " + file);
            return ExitCode.UNUSABLE;
        }
        int tenantIndex = tenantIndex(config, source);
        if (tenantIndex < 0) {
            err.println("there is no tenant '" + tenant + "' in " + file);
            return ExitCode.UNUSABLE;
        }
        RouteExplainer explainer = new RouteExplainer(config);
        for (String key : keys) {
            RouteInput input = config.keys().parse(source.name(), key, classIndex, tenantIndex, write);
            print(key, input, explainer);
        }
        return ExitCode.OK;
    }

    private Optional<ListenerConfig> findListener(DaemonConfig config) {
        return config.listeners().stream()
                .filter(candidate -> listener == null || candidate.name().equals(listener))
                .findFirst();
    }

    /** The name of the request's class, or null where neither the options nor the listener name one. */
    private String className(ListenerConfig source) {
        if (serviceClass != null) {
            return serviceClass;
        }
        return write ? source.writeClass() : source.readClass();
    }

    private int tenantIndex(DaemonConfig config, ListenerConfig source) {
        if (tenant == null && source.tenant() == null) {
            return 0;
        }
        return config.tenantIndex(tenant != null ? tenant : source.tenant());
    }

    /** Prints the explanation of one key; {@code input} is null if the key does not have the form that routes need. */
    private void print(String key, RouteInput input, RouteExplainer explainer) {
        PrintWriter out = spec.commandLine().getOut();
        if (input == null) {
            out.println(key + " route=- answer=rejected (the key is no path)");
        } else {
            explainer.lines(input, why).forEach(out::println);
        }
    }
}
