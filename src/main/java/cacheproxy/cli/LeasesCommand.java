package cacheproxy.cli;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.PrintWriter;
import java.util.concurrent.Callable;
import java.util.regex.Pattern;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.ParentCommand;
import picocli.CommandLine.ScopeType;
import picocli.CommandLine.Spec;

/** {@code duties}: lists the leases of a running proxy, or has one transferred to another proxy. */
@Command(
        name = "duties",
        mixinStandardHelpOptions = true,
        description = "Lists the duties of a running proxy, or transfers one.",
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

    @Option(names = "--json", description = "Prints the proxy's JSON unchanged.")
    private boolean json;

    /** One lease as the control address reports it. */
    private record LeaseStatus(String name, boolean held, long epoch, long remainingMs, String holder) {
        private static LeaseStatus parse(JsonObject lease) {
            return new LeaseStatus(
                    lease.get("duty").getAsString(),
                    lease.get("holding").getAsBoolean(),
                    lease.get("epoch").getAsLong(),
                    lease.get("left_ms").getAsLong(),
                    lease.has("holder") ? lease.get("holder").getAsString() : "-");
        }
    }

    @Override
    public Integer call() {
        PrintWriter out = spec.commandLine().getOut();
        String text;
        try {
            text = new ControlClient(control).call("GET", "/duties");
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
        JsonArray leases = JsonParser.parseString(text).getAsJsonArray();
        out.printf("%-24s %-8s %18s %9s %s%n", "duty", "holding", "epoch", "left ms", "holder");
        for (JsonElement element : leases) {
            LeaseStatus lease = LeaseStatus.parse(element.getAsJsonObject());
            out.printf(
                    "%-24s %-8s %18d %9d %s%n",
                    lease.name, lease.held ? "yes" : "no", lease.epoch, lease.remainingMs, lease.holder);
        }
    }

    /** {@code duties transfer}: has the proxy transfer a lease that it holds to another proxy. */
    @Command(
            name = "transfer",
            mixinStandardHelpOptions = true,
            description = "Has the proxy transfer a duty that it holds to another proxy.")
    static final class Transfer implements Callable<Integer> {
        private static final Pattern NAME = Pattern.compile("[A-Za-z0-9_.-]+");

        @ParentCommand
        private LeasesCommand parent;

        @Spec
        private CommandSpec spec;

        @Parameters(paramLabel = "NAME", description = "The duty.")
        private String name;

        @Option(names = "--to", paramLabel = "PEER", required = true, description = "The proxy that receives it.")
        private String newHolder;

        @Override
        public Integer call() {
            PrintWriter err = spec.commandLine().getErr();
            if (!NAME.matcher(name + newHolder).matches()) {
                err.println("names consist of letters, digits, dots, dashes and underscores");
                return ExitCode.UNUSABLE;
            }
            try {
                String text =
                        new ControlClient(parent.control).call("POST", "/duties/" + name + "/transfer?to=" + newHolder);
                spec.commandLine().getOut().println(text);
            } catch (ControlCallException e) {
                return e.report(err);
            }
            spec.commandLine().getOut().flush();
            return ExitCode.OK;
        }
    }
}
