package cacheproxy.cli;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.PrintWriter;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Exit codes: 0 done, 1 the proxy said no, 2 it could not be asked. */
@Command(
        name = "limits",
        mixinStandardHelpOptions = true,
        description = "Lists the fleet's limits as a running proxy sees them.")
final class LimitsCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Option(names = "--control", paramLabel = "ADDR", required = true, description = "The proxy's control address.")
    private String control;

    @Option(names = "--json", description = "As the proxy gives it.")
    private boolean json;

    @Override
    public Integer call() {
        PrintWriter out = spec.commandLine().getOut();
        ControlCall calls = new ControlCall(control, spec.commandLine().getErr());
        ControlCall.Answer a = calls.ask("GET", "/limits");
        if (a == null || a.code() != 200) {
            return calls.no(a);
        }
        if (json) {
            out.println(a.text());
        } else {
            out.printf(
                    "%-20s %-28s %10s %10s %8s %8s %9s %9s%n",
                    "limit", "scope", "of all", "mine", "used", "waiting", "alone ms", "over by");
            for (JsonElement e : JsonParser.parseString(a.text()).getAsJsonArray()) {
                JsonObject o = e.getAsJsonObject();
                out.printf(
                        Locale.ROOT,
                        "%-20s %-28s %10.1f %10.1f %8d %8d %9s %9.1f%n",
                        o.get("name").getAsString(),
                        o.get("scope").getAsString(),
                        o.get("limit").getAsDouble(),
                        o.get("mine").getAsDouble(),
                        o.get("used").getAsLong(),
                        o.get("waiting").getAsLong(),
                        o.has("alone_since_ms") ? o.get("alone_since_ms").getAsString() : "-",
                        o.get("over_bound").getAsDouble());
            }
        }
        out.flush();
        return 0;
    }
}
