package cacheproxy.cli;

import cacheproxy.config.Addresses;
import cacheproxy.config.ConfigException;
import cacheproxy.config.DaemonConfig;
import cacheproxy.config.DaemonConfigReader;
import cacheproxy.nginx.ConfParser;
import cacheproxy.nginx.NginxSyntaxException;
import cacheproxy.nginx.importer.ImportOptions;
import cacheproxy.nginx.importer.Importer;
import cacheproxy.nginx.importer.Report;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

@Command(
        name = "import-nginx",
        mixinStandardHelpOptions = true,
        description =
                "Makes the daemon's file of an nginx configuration. Exit 0: all carried over; 1: some things were "
                        + "not, as the report tells; 2: the configuration can't be read, nothing is written.")
final class ImportNginxCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "FILE", description = "The main file, such as nginx.conf, or a file of sites.")
    private Path file;

    @Option(
            names = "--prefix",
            paramLabel = "DIR",
            description = "Where relative includes count from; else FILE's directory.")
    private Path prefix;

    @Option(names = "--out", paramLabel = "FILE", description = "Where the daemon's file goes; else standard output.")
    private Path outFile;

    @Option(names = "--report", paramLabel = "FILE", description = "Where the report goes; else standard error.")
    private Path reportFile;

    @Option(names = "--json", description = "The report as JSON.")
    private boolean json;

    @Option(
            names = "--listen",
            paramLabel = "ADDRESS:PORT",
            defaultValue = "127.0.0.1:11211",
            description = "Address of the first listener; each further one takes the next port.")
    private String listen;

    @Option(
            names = "--dial",
            paramLabel = "WRITTEN=ADDRESS:PORT",
            description = "Where a server is reached that is written so; for names, and for servers elsewhere.")
    private Map<String, String> dial = new LinkedHashMap<>();

    @Option(
            names = "--writes",
            paramLabel = "EFFECT",
            defaultValue = "unsafe",
            description = "What methods other than GET and HEAD are: unsafe, keyed, safe.")
    private String writes;

    @Option(
            names = "--window-ms",
            paramLabel = "MS",
            defaultValue = "1000",
            description = "With --writes keyed: how long servers drop repeats.")
    private double windowMs;

    @Option(
            names = "--compare",
            description = "Tells for each of --keys where nginx and the imported file send it. "
                    + "Exit 0: no key differs; 1: some do.")
    private boolean compare;

    @Option(
            names = "--keys",
            paramLabel = "FILE",
            description = "Keys, one a line: /path, or host/path where hosts differ.")
    private Path keys;

    @Override
    public Integer call() throws IOException {
        PrintWriter err = spec.commandLine().getErr();
        ImportOptions options = options(err);
        if (options == null) {
            return Cli.UNUSABLE;
        }
        Path main = file.toAbsolutePath();
        Path base = prefix != null ? prefix.toAbsolutePath() : main.getParent();
        ConfParser.Conf conf;
        try {
            String name = main.startsWith(base) ? base.relativize(main).toString() : main.toString();
            conf = ConfParser.read(new ConfDirectory(base), name);
        } catch (NginxSyntaxException e) {
            err.println(e.getMessage());
            return Cli.UNUSABLE;
        }
        Importer.Result result = Importer.run(conf, options);
        if (result.file() == null) {
            result.report().lines().forEach(err::println);
            err.println(file + ": nothing in it can be served: no server block, or no upstream with a usable server");
            return Cli.UNUSABLE;
        }
        DaemonConfig checked;
        try {
            checked = DaemonConfigReader.parse(outFile == null ? "imported" : outFile.toString(), result.file());
        } catch (ConfigException e) {
            // The importer's own fault: better nothing than a file that is not served.
            err.println("the file made of " + file + " is not accepted; please report this:");
            e.errors().forEach(err::println);
            return Cli.UNUSABLE;
        }
        if (compare) {
            return new NginxComparison(conf, checked, result.hostInKeys())
                    .run(keys, spec.commandLine().getOut(), err);
        }
        if (outFile == null) {
            spec.commandLine().getOut().print(result.file());
            spec.commandLine().getOut().flush();
        } else {
            Files.writeString(outFile, result.file());
        }
        String report = json ? json(result) : String.join("\n", result.report().lines()) + "\n";
        if (reportFile != null) {
            Files.writeString(reportFile, report, StandardCharsets.UTF_8);
        } else {
            err.print(report);
            err.flush();
        }
        return result.report().complete() ? 0 : 1;
    }

    private ImportOptions options(PrintWriter err) {
        if (compare && keys == null) {
            err.println("--compare needs --keys FILE");
            return null;
        }
        if (!List.of("unsafe", "keyed", "safe").contains(writes) || !(windowMs >= 1 && windowMs <= 3_600_000)) {
            err.println("--writes is one of unsafe, keyed, safe; --window-ms from 1 to 3600000");
            return null;
        }
        try {
            InetSocketAddress at = Addresses.parse(listen);
            for (Map.Entry<String, String> e : dial.entrySet()) {
                if (Addresses.parse(e.getValue()).getPort() == 0) {
                    throw new IllegalArgumentException("'" + e.getValue() + "' has port 0");
                }
            }
            String host = listen.substring(0, listen.lastIndexOf(':'));
            return new ImportOptions(host, at.getPort(), dial, writes, windowMs);
        } catch (IllegalArgumentException e) {
            err.println(e.getMessage() + "; --listen and --dial take literal addresses, such as 127.0.0.1:11211");
            return null;
        }
    }

    private static String json(Importer.Result result) {
        JsonObject all = new JsonObject();
        JsonArray entries = new JsonArray();
        for (Report.Entry e : result.report().entries()) {
            JsonObject o = new JsonObject();
            o.addProperty("file", e.directive().at().file());
            o.addProperty("line", e.directive().at().line());
            o.addProperty("column", e.directive().at().column());
            o.addProperty("directive", e.directive().toString());
            o.addProperty("became", e.level().text);
            o.addProperty("text", e.text());
            entries.add(o);
        }
        all.add("entries", entries);
        JsonArray notes = new JsonArray();
        result.report().notes().forEach(notes::add);
        all.add("notes", notes);
        for (Report.Level l : Report.Level.values()) {
            all.addProperty(l.text.replace(' ', '_'), result.report().count(l));
        }
        return new GsonBuilder()
                        .setPrettyPrinting()
                        .disableHtmlEscaping()
                        .create()
                        .toJson(all) + "\n";
    }
}
