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
import com.sun.management.ThreadMXBean;
import java.io.PrintWriter;
import java.lang.management.ManagementFactory;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** What an import costs as the configuration grows, and what a choice costs among imported locations. */
final class ImportBench {
    private static final int LINES_A_SITE = 50;
    private static final ImportOptions OPTIONS = new ImportOptions("127.0.0.1", 0, Map.of(), "unsafe", 0);

    private final PrintWriter out;

    @SuppressWarnings("UnusedVariable") // keeps the compiler from dropping what is measured
    private long sink;

    ImportBench(PrintWriter out) {
        this.out = out;
    }

    void run(int rounds) throws Exception {
        out.printf(
                "%-22s %8s %10s %10s %10s %12s%n",
                "configuration", "lines", "read ms", "import ms", "check ms", "allocated MB");
        for (int lines : new int[] {6_250, 12_500, 25_000, 50_000}) {
            time("sites of 50 lines", sites(lines / LINES_A_SITE), lines, rounds);
        }
        for (int lines : new int[] {6_250, 12_500, 25_000, 50_000}) {
            time("one site", oneSite(lines), lines, rounds);
        }
        locations();
    }

    /** A main file, and a file for each site with its own upstream. */
    private static Map<String, String> sites(int count) {
        Map<String, String> files = new LinkedHashMap<>();
        files.put("nginx.conf", "http { include sites/*; }\n");
        for (int i = 0; i < count; i++) {
            StringBuilder t = new StringBuilder("upstream u" + i + " {\n    hash $uri consistent;\n");
            for (int s = 1; s <= 4; s++) {
                t.append("    server 10.")
                        .append(i / 250)
                        .append('.')
                        .append(i % 250)
                        .append('.')
                        .append(s)
                        .append(":80;\n");
            }
            t.append("}\nserver {\n    listen 80;\n    server_name s").append(i).append(".example;\n");
            for (int l = 0; l < 13; l++) {
                String text = l % 5 == 4 ? "~ \\.x" + l + "$" : "/l" + l + "/";
                t.append("    location ")
                        .append(text)
                        .append(" {\n        proxy_pass http://u")
                        .append(i)
                        .append(";\n    }\n");
            }
            files.put("sites/" + (100_000 + i), t.append("}\n").toString());
        }
        return files;
    }

    @SuppressWarnings("StringConcatToTextBlock") // the line breaks are part of the generated text
    private static Map<String, String> oneSite(int lines) {
        StringBuilder t =
                new StringBuilder("upstream u {\n    hash $uri;\n    server 10.0.0.1:80;\n    server 10.0.0.2:80;\n}\n"
                        + "server {\n    listen 80;\n    location / {\n        proxy_pass http://u;\n    }\n");
        for (int l = 0; l < (lines - 11) / 3; l++) {
            t.append("    location /service").append(l).append("/ {\n        proxy_pass http://u;\n    }\n");
        }
        return Map.of("nginx.conf", t.append("}\n").toString());
    }

    private static ConfParser.Conf read(Map<String, String> files) throws NginxSyntaxException {
        return ConfParser.read(
                new ConfSource() {
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
                                .filter(f -> f.startsWith("sites/"))
                                .toList();
                    }
                },
                "nginx.conf");
    }

    private void time(String what, Map<String, String> files, int lines, int rounds) throws Exception {
        double[][] ms = new double[4][rounds];
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        for (int r = 0; r < rounds; r++) {
            long allocated =
                    threads.getThreadAllocatedBytes(Thread.currentThread().getId());
            long at = System.nanoTime();
            ConfParser.Conf conf = read(files);
            long readAt = System.nanoTime();
            Importer.Result result = Importer.run(conf, OPTIONS);
            long importedAt = System.nanoTime();
            DaemonConfig file = DaemonConfigReader.parse("imported", result.file());
            long checkedAt = System.nanoTime();
            ms[0][r] = (readAt - at) / 1e6;
            ms[1][r] = (importedAt - readAt) / 1e6;
            ms[2][r] = (checkedAt - importedAt) / 1e6;
            ms[3][r] = (threads.getThreadAllocatedBytes(Thread.currentThread().getId()) - allocated) / 1e6;
            sink += file.routes().routes().size();
        }
        out.printf(
                "%-22s %8d %10s %10s %10s %12s%n",
                what, lines, median(ms[0]), median(ms[1]), median(ms[2]), median(ms[3]));
        out.flush();
    }

    private static String median(double[] values) {
        Arrays.sort(values);
        return Long.toString(Math.round(values[values.length / 2]));
    }

    /** ns for a route among a thousand imported locations, nine in ten prefixes, the rest patterns. */
    @SuppressWarnings("StringConcatToTextBlock") // the line breaks are part of the generated text
    private void locations() throws NginxSyntaxException, ConfigException {
        StringBuilder t =
                new StringBuilder("upstream u {\n    hash $uri;\n    server 10.0.0.1:80;\n    server 10.0.0.2:80;\n}\n"
                        + "server {\n    listen 80;\n");
        for (int l = 0; l < 1000; l++) {
            t.append("    location ")
                    .append(l % 10 == 9 ? "~ ^/p" + l + "/v[0-9]+/" : "/s" + l + "/list/")
                    .append(" {\n        proxy_pass http://u;\n    }\n");
        }
        Importer.Result result =
                Importer.run(read(Map.of("nginx.conf", t.append("}\n").toString())), OPTIONS);
        DaemonConfig file = DaemonConfigReader.parse("imported", result.file());
        SplittableRandom random = new SplittableRandom(3);
        String[] prefix = new String[1024];
        String[] pattern = new String[1024];
        for (int i = 0; i < 1024; i++) {
            prefix[i] = "/s" + (random.nextInt(100) * 10 + random.nextInt(9)) + "/list/" + random.nextInt(1000);
            pattern[i] = "/p" + (random.nextInt(100) * 10 + 9) + "/v" + random.nextInt(10) + "/x";
        }
        out.printf(
                "%d routes of 1,000 locations: a prefix %s ns, a pattern %s ns%n",
                file.routes().routes().size(), choice(file, prefix), choice(file, pattern));
    }

    private String choice(DaemonConfig file, String[] keys) {
        double[] ns = new double[9];
        int turns = 20_000;
        for (int r = -3; r < ns.length; r++) {
            long at = System.nanoTime();
            for (int i = 0; i < turns; i++) {
                RouteInput s = file.keys().parse(file.listeners().get(0).name(), keys[i & 1023], 0, 0, false);
                sink += file.routes().find(s).position();
            }
            if (r >= 0) {
                ns[r] = (System.nanoTime() - at) / (double) turns;
            }
        }
        Arrays.sort(ns);
        return Math.round(ns[4]) + " (" + Math.round(ns[0]) + "-" + Math.round(ns[8]) + ")";
    }
}
