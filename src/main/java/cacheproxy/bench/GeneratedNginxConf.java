package cacheproxy.bench;

import java.util.LinkedHashMap;
import java.util.Map;

/** Generated nginx configurations, as the texts of files by their paths; the main file is {@code nginx.conf}. */
final class GeneratedNginxConf {
    /** Directory of the sites' files. */
    static final String SITES = "sites/";
    /** Lines of each file of {@link #sites}. */
    static final int LINES_PER_SITE = 50;

    private static final String MAIN_FILE = "nginx.conf";
    private static final int SERVERS_PER_SITE = 4;
    private static final int LOCATIONS_PER_SITE = 13;
    private static final int FIRST_SITE_NUMBER = 100_000;
    private static final int LINES_PER_LOCATION = 3;
    private static final int LINES_BESIDE_LOCATIONS = 11;
    private static final String SHARED_UPSTREAM =
            "upstream u {\n    hash $uri;\n    server 10.0.0.1:80;\n    server 10.0.0.2:80;\n}\n";

    private GeneratedNginxConf() {}

    /** A main file, and a file for each site with its own upstream. */
    static Map<String, String> sites(int count) {
        Map<String, String> files = new LinkedHashMap<>();
        files.put(MAIN_FILE, "http { include " + SITES + "*; }\n");
        for (int i = 0; i < count; i++) {
            files.put(SITES + (FIRST_SITE_NUMBER + i), site(i));
        }
        return files;
    }

    private static String site(int number) {
        String upstream = "u" + number;
        StringBuilder text = new StringBuilder("upstream " + upstream + " {\n    hash $uri consistent;\n");
        for (int server = 1; server <= SERVERS_PER_SITE; server++) {
            text.append("    server 10.")
                    .append(number / 250)
                    .append('.')
                    .append(number % 250)
                    .append('.')
                    .append(server)
                    .append(":80;\n");
        }
        text.append("}\nserver {\n    listen 80;\n    server_name s")
                .append(number)
                .append(".example;\n");
        for (int i = 0; i < LOCATIONS_PER_SITE; i++) {
            addLocation(text, i % 5 == 4 ? "~ \\.x" + i + "$" : "/l" + i + "/", upstream);
        }
        return text.append("}\n").toString();
    }

    /** One file of so many lines: a site with many locations of the same upstream. */
    static Map<String, String> oneSite(int lines) {
        StringBuilder text = new StringBuilder(SHARED_UPSTREAM).append("server {\n    listen 80;\n");
        addLocation(text, "/", "u");
        for (int i = 0; i < (lines - LINES_BESIDE_LOCATIONS) / LINES_PER_LOCATION; i++) {
            addLocation(text, "/service" + i + "/", "u");
        }
        return Map.of(MAIN_FILE, text.append("}\n").toString());
    }

    /** A site of so many locations, nine in ten prefixes, the rest patterns. */
    static Map<String, String> locations(int count) {
        StringBuilder text = new StringBuilder(SHARED_UPSTREAM).append("server {\n    listen 80;\n");
        for (int i = 0; i < count; i++) {
            addLocation(text, i % 10 == 9 ? "~ ^/p" + i + "/v[0-9]+/" : "/s" + i + "/list/", "u");
        }
        return Map.of(MAIN_FILE, text.append("}\n").toString());
    }

    private static void addLocation(StringBuilder text, String pattern, String upstream) {
        text.append("    location ")
                .append(pattern)
                .append(" {\n        proxy_pass http://")
                .append(upstream)
                .append(";\n    }\n");
    }
}
