package cacheproxy.nginx.importer;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.config.ConfigException;
import cacheproxy.config.DaemonConfigReader;
import cacheproxy.nginx.ConfParser;
import cacheproxy.nginx.ConfPrinter;
import cacheproxy.nginx.Directive;
import cacheproxy.nginx.NginxSyntaxException;
import cacheproxy.nginx.Position;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Imports random directives in random blocks: the result must be a file that the daemon accepts, or no file. */
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

    private static List<Directive> randomBlock(SplittableRandom random, int depth) {
        List<Directive> all = new ArrayList<>();
        for (int remaining = random.nextInt(depth == 0 ? 9 : 6); remaining > 0; remaining--) {
            all.add(randomDirective(random, depth));
        }
        return all;
    }

    private static String randomWord(SplittableRandom random) {
        return WORDS[random.nextInt(WORDS.length)];
    }

    private static Directive randomDirective(SplittableRandom random, int depth) {
        String name = NAMES[random.nextInt(NAMES.length)];
        boolean plausible = random.nextInt(12) > 0;
        List<String> args = new ArrayList<>();
        int count = plausible ? plausibleArgCount(random, name) : random.nextInt(4);
        for (int remaining = count; remaining > 0; remaining--) {
            args.add(randomWord(random));
        }
        if (!plausible) {
            List<Directive> block = random.nextInt(3) == 0 && depth < 4 ? randomBlock(random, depth + 1) : null;
            return new Directive(name, args, block, null, anyPosition());
        }
        return plausibleDirective(random, name, args, depth);
    }

    private static int plausibleArgCount(SplittableRandom random, String name) {
        return switch (name) {
            case "location", "hash" -> 1 + random.nextInt(2);
            case "if" -> random.nextBoolean() ? 1 : 3;
            case "rewrite", "try_files", "error_page" -> 2 + random.nextInt(2);
            case "return",
                    "proxy_pass",
                    "memcached_pass",
                    "proxy_next_upstream_tries",
                    "proxy_read_timeout",
                    "proxy_connect_timeout",
                    "deny",
                    "fastcgi_pass" -> 1;
            case "internal", "break", "least_conn", "ip_hash", "http" -> 0;
            default -> 1 + random.nextInt(2);
        };
    }

    private static Directive plausibleDirective(SplittableRandom random, String name, List<String> args, int depth) {
        return switch (name) {
            case "server" -> randomServer(random, args, depth);
            case "location", "if", "limit_except" -> {
                List<Directive> block = depth < 4 ? randomBlock(random, depth + 1) : List.of();
                yield new Directive(name, args, block, null, anyPosition());
            }
            case "upstream" -> {
                String upstream = random.nextBoolean() ? "u" : "v";
                yield new Directive(name, List.of(upstream), randomBlock(random, 1), null, anyPosition());
            }
            case "map", "split_clients", "geo" -> {
                List<String> variables = List.of(randomWord(random), random.nextBoolean() ? "$x" : "$y");
                yield new Directive(name, variables, randomTableEntries(random), null, anyPosition());
            }
            case "set" -> {
                String variable = random.nextBoolean() ? "$x" : "$z";
                yield new Directive(name, List.of(variable, randomWord(random)), null, null, anyPosition());
            }
            default -> new Directive(name, args, null, null, anyPosition());
        };
    }

    /** Returns a server block at the top level, otherwise a server of an upstream. */
    private static Directive randomServer(SplittableRandom random, List<String> args, int depth) {
        if (depth == 0) {
            return new Directive("server", List.of(), randomBlock(random, depth + 1), null, anyPosition());
        }
        List<String> withAddress = new ArrayList<>(args);
        withAddress.add(0, "10.0.0." + random.nextInt(5) + ":80");
        return new Directive("server", withAddress, null, null, anyPosition());
    }

    private static List<Directive> randomTableEntries(SplittableRandom random) {
        List<Directive> entries = new ArrayList<>();
        for (int remaining = random.nextInt(5); remaining > 0; remaining--) {
            entries.add(new Directive(randomWord(random), List.of(randomWord(random)), null, null, anyPosition()));
        }
        return entries;
    }

    private static Position anyPosition() {
        return new Position("f.conf", 1, 1);
    }

    /** Returns a random configuration that always contains something to import. */
    private static List<Directive> randomConfiguration(SplittableRandom random) {
        List<Directive> tree = randomBlock(random, 0);
        tree.add(new Directive("server", List.of(), randomBlock(random, 1), null, anyPosition()));
        tree.add(new Directive(
                "upstream",
                List.of("spare"),
                List.of(new Directive("server", List.of("10.1.1.1:80"), null, null, anyPosition())),
                null,
                anyPosition()));
        return tree;
    }

    private static Importer.Result importResult(String text) throws NginxSyntaxException {
        List<Directive> tree = ConfParser.parse("f.conf", text);
        try {
            return Importer.run(
                    new ConfParser.Conf(tree, List.of(), 1, 1),
                    new ImportOptions("127.0.0.1", 0, Map.of(), "unsafe", 0));
        } catch (RuntimeException e) {
            throw new AssertionError(text, e);
        }
    }

    @Test
    void importsRandomDirectivesToAnAcceptedFileOrNone() throws Exception {
        SplittableRandom random = new SplittableRandom(21);
        int filesMade = 0;
        for (int i = 0; i < 6000; i++) {
            String text = ConfPrinter.print(randomConfiguration(random));
            Importer.Result result = importResult(text);
            assertThat(result.report().entries()).isNotEmpty();
            if (result.configText() != null) {
                filesMade++;
                try {
                    DaemonConfigReader.parse("imported", result.configText());
                } catch (ConfigException e) {
                    throw new AssertionError(text + "\n" + result.configText(), e);
                }
            }
        }
        assertThat(filesMade).isGreaterThan(4000);
    }
}
