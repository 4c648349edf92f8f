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
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code import-nginx}: converts an nginx configuration, or compares the result with the original. */
@Command(
        name = "import-nginx",
        mixinStandardHelpOptions = true,
        description =
                "Converts an nginx configuration to the daemon's configuration file. Exit code 0: all was carried over; "
                        + "1: some directives were not, as the report shows; 2: the configuration can't be read, nothing is written.")
final class ImportNginxCommand implements Callable<Integer> {
    private static final List<String> WRITE_EFFECTS = List.of("unsafe", "keyed", "safe");
    private static final double MIN_WINDOW_MS = 1;
    private static final double MAX_WINDOW_MS = 3_600_000;

    @Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "FILE", description = "The main file, such as nginx.conf, or a file of sites.")
    private Path file;

    @Option(
            names = "--prefix",
            paramLabel = "DIR",
            description = "Directory of relative includes; default: FILE's directory.")
    private Path prefix;

    @Option(names = "--out", paramLabel = "FILE", description = "The daemon's file to write; default: standard output.")
    private Path outputFile;

    @Option(names = "--report", paramLabel = "FILE", description = "The report file to write; default: standard error.")
    private Path reportFile;

    @Option(names = "--json", description = "Writes the report as JSON.")
    private boolean json;

    @Option(
            names = "--listen",
            paramLabel = "ADDRESS:PORT",
            defaultValue = "127.0.0.1:11211",
            description = "Address of the first listener; each further one gets the next port.")
    private String listenAddress;

    @Option(
            names = "--dial",
            paramLabel = "WRITTEN=ADDRESS:PORT",
            description =
                    "Address for a server that is written as WRITTEN; for host names, and for servers at another address.")
    private Map<String, String> dialAddresses = new LinkedHashMap<>();

    @Option(
            names = "--writes",
            paramLabel = "EFFECT",
            defaultValue = "unsafe",
            description = "Effect of methods other than GET and HEAD: unsafe, keyed, safe.")
    private String writeEffect;

    @Option(
            names = "--window-ms",
            paramLabel = "MS",
            defaultValue = "1000",
            description = "With --writes keyed: how long servers drop repeats.")
    private double windowMs;

    @Option(
            names = "--compare",
            description = "Prints for each key of --keys where nginx and the imported file send it. "
                    + "Exit code 0: no key differs; 1: some do.")
    private boolean compare;

    @Option(
            names = "--keys",
            paramLabel = "FILE",
            description = "Keys, one per line: /path, or host/path if there are several hosts.")
    private Path keysFile;

    @Override
    public Integer call() throws IOException {
        PrintWriter err = spec.commandLine().getErr();
        Optional<ImportOptions> options = importOptions(err);
        if (options.isEmpty()) {
            return ExitCode.UNUSABLE;
        }
        ConfParser.Conf conf;
        try {
            conf = parse();
        } catch (NginxSyntaxException e) {
            err.println(e.getMessage());
            return ExitCode.UNUSABLE;
        }
        Importer.Result result = Importer.run(conf, options.get());
        if (result.configText() == null) {
            result.report().lines().forEach(err::println);
            err.println(file + ": nothing in it can be served: no server block, or no upstream with a usable server");
            return ExitCode.UNUSABLE;
        }
        Optional<DaemonConfig> imported = validate(result, err);
        if (imported.isEmpty()) {
            return ExitCode.UNUSABLE;
        }
        if (compare) {
            return new NginxComparison(conf, imported.get(), result.hostInKeys())
                    .run(keysFile, spec.commandLine().getOut(), err);
        }
        writeConfig(result.configText());
        writeReport(result.report(), err);
        return result.report().isComplete() ? ExitCode.OK : ExitCode.FAILED;
    }

    private boolean optionsAreValid(PrintWriter err) {
        if (compare && keysFile == null) {
            err.println("--compare needs --keys FILE");
            return false;
        }
        boolean windowIsValid = windowMs >= MIN_WINDOW_MS && windowMs <= MAX_WINDOW_MS;
        if (!WRITE_EFFECTS.contains(writeEffect) || !windowIsValid) {
            err.println("--writes must be one of unsafe, keyed, safe; --window-ms must be from 1 to 3600000");
            return false;
        }
        return true;
    }

    /** Returns the options of the import, or nothing after printing what is wrong with the options of the command. */
    private Optional<ImportOptions> importOptions(PrintWriter err) {
        if (!optionsAreValid(err)) {
            return Optional.empty();
        }
        try {
            return Optional.of(parseAddresses());
        } catch (IllegalArgumentException e) {
            err.println(e.getMessage() + "; --listen and --dial take literal addresses, such as 127.0.0.1:11211");
            return Optional.empty();
        }
    }

    private ImportOptions parseAddresses() {
        int port = Addresses.parse(listenAddress).getPort();
        for (String address : dialAddresses.values()) {
            if (Addresses.parse(address).getPort() == 0) {
                throw new IllegalArgumentException("'" + address + "' has port 0");
            }
        }
        String host = listenAddress.substring(0, listenAddress.lastIndexOf(':'));
        return new ImportOptions(host, port, dialAddresses, writeEffect, windowMs);
    }

    private ConfParser.Conf parse() throws NginxSyntaxException {
        Path main = file.toAbsolutePath();
        Path base = prefix != null ? prefix.toAbsolutePath() : main.getParent();
        String name = main.startsWith(base) ? base.relativize(main).toString() : main.toString();
        return ConfParser.read(new NginxConfDirectory(base), name);
    }

    /** Parses the imported file as the daemon would; an error is a fault of the importer. */
    private Optional<DaemonConfig> validate(Importer.Result result, PrintWriter err) {
        try {
            String name = outputFile == null ? "imported" : outputFile.toString();
            return Optional.of(DaemonConfigReader.parse(name, result.configText()));
        } catch (ConfigException e) {
            err.println("the file generated from " + file + " is not accepted; please report this:");
            e.errors().forEach(err::println);
            return Optional.empty();
        }
    }

    private void writeConfig(String text) throws IOException {
        if (outputFile == null) {
            spec.commandLine().getOut().print(text);
            spec.commandLine().getOut().flush();
        } else {
            Files.writeString(outputFile, text);
        }
    }

    private void writeReport(Report report, PrintWriter err) throws IOException {
        String text = json ? ImportReportJson.write(report) : String.join("\n", report.lines()) + "\n";
        if (reportFile != null) {
            Files.writeString(reportFile, text, StandardCharsets.UTF_8);
        } else {
            err.print(text);
            err.flush();
        }
    }
}
