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

/** {@code limits}: lists the fleet-wide quotas as a running proxy sees them. */
@Command(
        name = "limits",
        mixinStandardHelpOptions = true,
        description = "Lists the fleet's limits as a running proxy sees them.")
final class LimitsCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Option(names = "--control", paramLabel = "ADDR", required = true, description = "The proxy's control address.")
    private String control;

    @Option(names = "--json", description = "Prints the proxy's JSON unchanged.")
    private boolean json;

    /** One quota as the control address reports it; {@code isolatedSinceMs} is "-" while the proxy is not isolated. */
    private record QuotaStatus(
            String name,
            String scope,
            double limit,
            double localAllocation,
            long used,
            long waiting,
            String isolatedSinceMs,
            double overshootBound) {
        private static QuotaStatus parse(JsonObject quota) {
            return new QuotaStatus(
                    quota.get("name").getAsString(),
                    quota.get("scope").getAsString(),
                    quota.get("limit").getAsDouble(),
                    quota.get("mine").getAsDouble(),
                    quota.get("used").getAsLong(),
                    quota.get("waiting").getAsLong(),
                    quota.has("alone_since_ms") ? quota.get("alone_since_ms").getAsString() : "-",
                    quota.get("over_bound").getAsDouble());
        }
    }

    @Override
    public Integer call() {
        PrintWriter out = spec.commandLine().getOut();
        String text;
        try {
            text = new ControlClient(control).call("GET", "/limits");
        } catch (ControlCallException e) {
            return e.report(spec.commandLine().getErr());
        }
        if (json) {
            out.println(text);
        } else {
            printTable(text, out);
        }
        out.flush();
        return ExitCode.OK;
    }

    private static void printTable(String text, PrintWriter out) {
        out.printf(
                "%-20s %-28s %10s %10s %8s %8s %9s %9s%n",
                "limit", "scope", "of all", "mine", "used", "waiting", "alone ms", "over by");
        for (JsonElement element : JsonParser.parseString(text).getAsJsonArray()) {
            QuotaStatus quota = QuotaStatus.parse(element.getAsJsonObject());
            out.printf(
                    Locale.ROOT,
                    "%-20s %-28s %10.1f %10.1f %8d %8d %9s %9.1f%n",
                    quota.name,
                    quota.scope,
                    quota.limit,
                    quota.localAllocation,
                    quota.used,
                    quota.waiting,
                    quota.isolatedSinceMs,
                    quota.overshootBound);
        }
    }
}
