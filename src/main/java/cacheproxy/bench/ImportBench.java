package cacheproxy.bench;

import cacheproxy.config.ConfigException;
import cacheproxy.config.DaemonConfig;
import cacheproxy.config.DaemonConfigReader;
import cacheproxy.nginx.ConfParser;
import cacheproxy.nginx.ConfSource;
import cacheproxy.nginx.NginxSyntaxException;
import cacheproxy.nginx.importer.ImportOptions;
import cacheproxy.nginx.importer.Importer;
import cacheproxy.routes.RouteInput;
import java.io.PrintWriter;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** What an import costs as the configuration grows, and what a choice costs among imported locations. */
final class ImportBench {
    private static final int[] LINE_COUNTS = {6_250, 12_500, 25_000, 50_000};
    private static final int LOCATIONS = 1000;
    private static final int CALLS_PER_ROUND = 20_000;
    private static final int INPUTS = 1024;
    private static final int INPUT_MASK = INPUTS - 1;
    private static final ImportOptions OPTIONS = new ImportOptions("127.0.0.1", 0, Map.of(), "unsafe", 0);

    private final PrintWriter out;

    @SuppressWarnings("UnusedVariable") // keeps the compiler from dropping what is measured
    private long sink;

    ImportBench(PrintWriter out) {
        this.out = out;
    }

    /** Prints a row for each size, of many sites and of one, then the time of a choice. */
    void run(int rounds) throws NginxSyntaxException, ConfigException {
        out.printf(
                "%-22s %8s %10s %10s %10s %12s%n",
                "configuration", "lines", "read ms", "import ms", "check ms", "allocated MB");
        for (int lines : LINE_COUNTS) {
            Map<String, String> files = GeneratedNginxConf.sites(lines / GeneratedNginxConf.LINES_PER_SITE);
            timeImport("sites of 50 lines", files, lines, rounds);
        }
        for (int lines : LINE_COUNTS) {
            timeImport("one site", GeneratedNginxConf.oneSite(lines), lines, rounds);
        }
        timeChoices();
    }

    private static ConfParser.Conf parse(Map<String, String> files) throws NginxSyntaxException {
        return ConfParser.read(new MapSource(files), "nginx.conf");
    }

    /** A configuration's files in memory. */
    private record MapSource(Map<String, String> files) implements ConfSource {
        @Override
        public String read(String path) throws UnreadableFileException {
            String text = files.get(path);
            if (text == null) {
                throw new UnreadableFileException("there is no such file");
            }
            return text;
        }

        @Override
        public List<String> glob(String pattern) {
            return files.keySet().stream()
                    .filter(file -> file.startsWith(GeneratedNginxConf.SITES))
                    .toList();
        }
    }

    private void timeImport(String name, Map<String, String> files, int lines, int rounds)
            throws NginxSyntaxException, ConfigException {
        double[] parseMs = new double[rounds];
        double[] importMs = new double[rounds];
        double[] checkMs = new double[rounds];
        double[] allocatedMegabytes = new double[rounds];
        for (int round = 0; round < rounds; round++) {
            long allocatedBefore = ThreadCounters.allocatedBytes();
            long start = System.nanoTime();
            ConfParser.Conf conf = parse(files);
            long parsed = System.nanoTime();
            Importer.Result result = Importer.run(conf, OPTIONS);
            long imported = System.nanoTime();
            DaemonConfig config = DaemonConfigReader.parse("imported", result.configText());
            long checked = System.nanoTime();
            parseMs[round] = (parsed - start) / 1e6;
            importMs[round] = (imported - parsed) / 1e6;
            checkMs[round] = (checked - imported) / 1e6;
            allocatedMegabytes[round] = (ThreadCounters.allocatedBytes() - allocatedBefore) / 1e6;
            sink += config.routes().routes().size();
        }
        out.printf(
                "%-22s %8d %10s %10s %10s %12s%n",
                name, lines, median(parseMs), median(importMs), median(checkMs), median(allocatedMegabytes));
        out.flush();
    }

    private static long median(double[] values) {
        return Math.round(Spread.range(values).median());
    }

    /** Prints the time to find the route of a key among a thousand imported locations. */
    private void timeChoices() throws NginxSyntaxException, ConfigException {
        Importer.Result result = Importer.run(parse(GeneratedNginxConf.locations(LOCATIONS)), OPTIONS);
        DaemonConfig config = DaemonConfigReader.parse("imported", result.configText());
        SplittableRandom random = new SplittableRandom(3);
        String[] prefixes = new String[INPUTS];
        String[] patterns = new String[INPUTS];
        for (int i = 0; i < INPUTS; i++) {
            prefixes[i] = "/s" + (random.nextInt(100) * 10 + random.nextInt(9)) + "/list/" + random.nextInt(1000);
            patterns[i] = "/p" + (random.nextInt(100) * 10 + 9) + "/v" + random.nextInt(10) + "/x";
        }
        out.printf(
                "%d routes of 1,000 locations: a prefix %s ns, a pattern %s ns%n",
                config.routes().routes().size(), timeChoice(config, prefixes), timeChoice(config, patterns));
    }

    private static String timeChoice(DaemonConfig config, String[] keys) {
        String listener = config.listeners().get(0).name();
        CallTimer.Cost cost = new CallTimer(CALLS_PER_ROUND).time(i -> {
            RouteInput input = config.keys().parse(listener, keys[i & INPUT_MASK], 0, 0, false);
            return config.routes().find(input).position();
        });
        return cost.nanos().format(0);
    }
}
