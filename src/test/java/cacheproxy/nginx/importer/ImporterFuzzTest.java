package cacheproxy.nginx.importer;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.config.ConfigException;
import cacheproxy.config.DaemonConfigReader;
import cacheproxy.nginx.ConfParser;
import cacheproxy.nginx.ConfPrinter;
import cacheproxy.nginx.Directive;
import cacheproxy.nginx.Position;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Whatever directives stand in whatever places: the importer makes a file that is accepted, or none, and says why. */
class ImporterFuzzTest {
    private static final String[] WORDS = {
        "/",
        "/a",
        "/a/",
        "/a b",
        "=",
        "~",
        "~*",
        "^~",
        "@x",
        "@y",
        "^/(.*)$",
        "\\.(a|b)$",
        "(?<n>x)",
        "(a)\\1",
        "(",
        "$uri",
        "$host",
        "$1",
        "$x",
        "$y",
        "$request_uri",
        "$arg_q",
        "$remote_addr",
        "${uri}s",
        "u",
        "v",
        "http://u",
        "http://v/z",
        "http://$x",
        "http://10.0.0.1:80",
        "https://u/$1",
        "http://",
        "10.0.0.1:80",
        "10.0.0.2",
        "host.example:1",
        "localhost:8",
        "unix:/s",
        "weight=2",
        "weight=0",
        "backup",
        "down",
        "max_fails=0",
        "consistent",
        "last",
        "break",
        "permanent",
        "404",
        "502",
        "=404",
        "80",
        "443",
        "ssl",
        "default_server",
        "a.example",
        "*.example",
        ".b.example",
        "c.*",
        "~^d\\d$",
        "_",
        "10%",
        "0.5%",
        "*",
        "default",
        "hostnames",
        "GET",
        "POST",
        "$request_method",
        "!=",
        "!~",
        "on",
        "5s",
        "error",
        "non_idempotent",
        "all",
        "x y",
        "",
        "\u00e9",
        "a,b=c",
        "{",
        ";",
        "$",
        "$$",
        "0",
        "99999999999",
        "%",
        "?a=b",
        "/x?y=1",
        "http://w.example/"
    };
    private static final String[] NAMES = {
        "server",
        "location",
        "upstream",
        "map",
        "split_clients",
        "geo",
        "set",
        "rewrite",
        "return",
        "if",
        "proxy_pass",
        "memcached_pass",
        "try_files",
        "error_page",
        "limit_except",
        "hash",
        "ip_hash",
        "listen",
        "server_name",
        "internal",
        "break",
        "proxy_next_upstream",
        "proxy_next_upstream_tries",
        "proxy_read_timeout",
        "proxy_connect_timeout",
        "deny",
        "foo",
        "least_conn",
        "fastcgi_pass",
        "http"
    };

    private static List<Directive> block(SplittableRandom random, int depth) {
        List<Directive> all = new ArrayList<>();
        for (int n = random.nextInt(depth == 0 ? 9 : 6); n > 0; n--) {
            all.add(directive(random, depth));
        }
        return all;
    }

    private static String word(SplittableRandom random) {
        return WORDS[random.nextInt(WORDS.length)];
    }

    private static Directive directive(SplittableRandom random, int depth) {
        String name = NAMES[random.nextInt(NAMES.length)];
        List<String> args = new ArrayList<>();
        boolean plausible = random.nextInt(12) > 0;
        int count = switch (plausible ? name : "") {
            case "location" -> 1 + random.nextInt(2);
            case "if" -> random.nextBoolean() ? 1 : 3;
            case "rewrite" -> 2 + random.nextInt(2);
            case "return",
                    "proxy_pass",
                    "memcached_pass",
                    "proxy_next_upstream_tries",
                    "proxy_read_timeout",
                    "proxy_connect_timeout",
                    "deny",
                    "fastcgi_pass" -> 1;
            case "try_files", "error_page" -> 2 + random.nextInt(2);
            case "internal", "break", "least_conn", "ip_hash", "http" -> 0;
            case "hash" -> 1 + random.nextInt(2);
            default -> plausible ? 1 + random.nextInt(2) : random.nextInt(4);
        };
        for (int n = count; n > 0; n--) {
            args.add(word(random));
        }
        List<Directive> block = null;
        switch (plausible ? name : "") {
            case "server" -> {
                if (depth == 0) {
                    block = block(random, depth + 1);
                    args.clear();
                } else {
                    args.add(0, "10.0.0." + random.nextInt(5) + ":80");
                }
            }
            case "location", "if", "limit_except" -> block = depth < 4 ? block(random, depth + 1) : List.of();
            case "upstream" -> {
                args = List.of(random.nextBoolean() ? "u" : "v");
                block = block(random, 1);
            }
            case "map", "split_clients", "geo" -> {
                args = List.of(word(random), random.nextBoolean() ? "$x" : "$y");
                block = new ArrayList<>();
                for (int n = random.nextInt(5); n > 0; n--) {
                    block.add(new Directive(word(random), List.of(word(random)), null, null, at()));
                }
            }
            case "set" -> args = List.of(random.nextBoolean() ? "$x" : "$z", word(random));
            default -> block = !plausible && random.nextInt(3) == 0 && depth < 4 ? block(random, depth + 1) : null;
        }
        return new Directive(name, args, block, null, at());
    }

    private static Position at() {
        return new Position("f.conf", 1, 1);
    }

    @Test
    void whateverIsImportedIsAcceptedAndEveryDirectiveHasAnEntry() throws Exception {
        SplittableRandom random = new SplittableRandom(21);
        int made = 0;
        for (int i = 0; i < 6000; i++) {
            List<Directive> tree = block(random, 0);
            tree.add(new Directive("server", List.of(), block(random, 1), null, at()));
            tree.add(new Directive(
                    "upstream",
                    List.of("spare"),
                    List.of(new Directive("server", List.of("10.1.1.1:80"), null, null, at())),
                    null,
                    at()));
            String text = ConfPrinter.print(tree);
            List<Directive> read = ConfParser.parse("f.conf", text);
            Importer.Result r;
            try {
                r = Importer.run(
                        new ConfParser.Conf(read, List.of(), 1, 1),
                        new ImportOptions("127.0.0.1", 0, Map.of(), "unsafe", 0));
            } catch (RuntimeException e) {
                throw new AssertionError(text, e);
            }
            assertThat(r.report().entries()).isNotEmpty();
            if (r.file() != null) {
                made++;
                try {
                    DaemonConfigReader.parse("imported", r.file());
                } catch (ConfigException e) {
                    throw new AssertionError(text + "\n" + r.file(), e);
                }
            }
        }
        assertThat(made).isGreaterThan(4000);
    }
}
