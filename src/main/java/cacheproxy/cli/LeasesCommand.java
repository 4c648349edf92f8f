package cacheproxy.cli;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.PrintWriter;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.ParentCommand;
import picocli.CommandLine.ScopeType;
import picocli.CommandLine.Spec;

/** Exit codes: 0 done, 1 the proxy said no, 2 it could not be asked. */
@Command(
        name = "duties",
        mixinStandardHelpOptions = true,
        description = "Lists the duties of a running proxy, or hands one on.",
        subcommands = LeasesCommand.Transfer.class)
final class LeasesCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Option(
            names = "--control",
            paramLabel = "ADDR",
            required = true,
            scope = ScopeType.INHERIT,
            description = "The proxy's control address.")
    private String control;

    @Option(names = "--json", description = "As the proxy gives it.")
    private boolean json;

    @Override
    public Integer call() {
        ControlCall.Answer a = calls().ask("GET", "/duties");
        PrintWriter out = spec.commandLine().getOut();
        if (a == null || a.code() != 200) {
            return calls().no(a);
        }
        if (json) {
            out.println(a.text());
        } else {
            JsonArray list = JsonParser.parseString(a.text()).getAsJsonArray();
            out.printf("%-24s %-8s %18s %9s %s%n", "duty", "holding", "epoch", "left ms", "holder");
            for (JsonElement e : list) {
                JsonObject o = e.getAsJsonObject();
                out.printf(
                        "%-24s %-8s %18d %9d %s%n",
                        o.get("duty").getAsString(),
                        o.get("holding").getAsBoolean() ? "yes" : "no",
                        o.get("epoch").getAsLong(),
                        o.get("left_ms").getAsLong(),
                        o.has("holder") ? o.get("holder").getAsString() : "-");
            }
        }
        out.flush();
        return 0;
    }

    private ControlCall calls() {
        return new ControlCall(control, spec.commandLine().getErr());
    }

    @Command(
            name = "transfer",
            mixinStandardHelpOptions = true,
            description = "Has the proxy hand a duty that it holds to another.")
    static final class Transfer implements Callable<Integer> {
        @ParentCommand
        private LeasesCommand duties;

        @Spec
        private CommandSpec spec;

        @Parameters(paramLabel = "NAME", description = "The duty.")
        private String name;

        @Option(names = "--to", paramLabel = "PEER", required = true, description = "The proxy that is to have it.")
        private String to;

        @Override
        public Integer call() {
            if (!(name + to).matches("[A-Za-z0-9_.-]+")) {
                spec.commandLine().getErr().println("names are letters, digits, dots, dashes and underscores");
                return Cli.UNUSABLE;
            }
            ControlCall.Answer a = duties.calls().ask("POST", "/duties/" + name + "/transfer?to=" + to);
            if (a == null || a.code() != 200) {
                return duties.calls().no(a);
            }
            spec.commandLine().getOut().println(a.text());
            spec.commandLine().getOut().flush();
            return 0;
        }
    }
}
