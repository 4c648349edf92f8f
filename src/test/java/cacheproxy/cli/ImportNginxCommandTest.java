package cacheproxy.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** {@code import-nginx} with files on disk: exit codes, and what is written and what is not. */
class ImportNginxCommandTest {
    @SuppressWarnings("StringConcatToTextBlock") // each line of the text is on its own line of the source
    private static final String GOOD = "upstream u { hash $uri; server 10.0.0.1:80; server 10.0.0.2:80; }\n"
            + "server { listen 80; location / { proxy_pass http://u; } }\n";

    @TempDir
    private Path dir;

    private String out;
    private String err;

    /** Runs a command line and stores what it prints in {@code out} and {@code err}. */
    private int run(String... args) {
        CommandResult result = CommandResult.run(args);
        out = result.out();
        err = result.err();
        return result.exitCode();
    }

    private String file(String name, String text) throws Exception {
        Path path = dir.resolve(name);
        Files.createDirectories(path.getParent());
        Files.writeString(path, text);
        return path.toString();
    }

    @Test
    void writesFileThatCheckAcceptsWhereAllIsImported() throws Exception {
        String conf = file("nginx.conf", "events { }\nhttp { include sites/*.conf; }\n");
        file("sites/b.conf", GOOD);
        file("sites/.hidden.conf", "broken {");
        String toml = dir.resolve("out.toml").toString();
        assertThat(run("import-nginx", conf, "--out", toml, "--report", dir + "/report"))
                .isZero();
        assertThat(Files.readString(dir.resolve("report")))
                .contains(" carried, ")
                .doesNotContain(": not carried");
        assertThat(run("check", toml)).isZero();
        assertThat(run("explain", toml, "/a")).isZero();
        assertThat(out).matches("(?s)/a route=b.conf:2 pool=u server=10.0.0.[12]:80\n");
        assertThat(run("import-nginx", conf)).isZero();
        assertThat(out).as("without --out on standard output").isEqualTo(Files.readString(dir.resolve("out.toml")));
    }

    @Test
    void reportsWhatIsNotImportedAndWritesTheFile() throws Exception {
        String conf = file("n.conf", GOOD.replace("proxy_pass", "limit_req zone=x; proxy_pass"));
        String toml = dir.resolve("out.toml").toString();
        assertThat(run("import-nginx", conf, "--out", toml, "--json")).isEqualTo(1);
        JsonObject report = JsonParser.parseString(err).getAsJsonObject();
        assertThat(report.get("not_carried").getAsInt()).isEqualTo(1);
        assertThat(report.get("entries").toString()).contains("\"line\":2").contains("limit_req zone=x");
        assertThat(run("check", toml)).isZero();
    }

    @Test
    void writesNothingForUnreadableConfigurationsAndOptions() throws Exception {
        String toml = dir.resolve("out.toml").toString();
        for (String[] textAndError : new String[][] {
            {"a;\nb {\n", "n.conf:2: the block that opens here is not closed"},
            {"include no.conf;", "n.conf:1: can't read no.conf: there is no such file"},
            {"include n.conf;", "n.conf:1: n.conf includes itself"},
            {"include sub;", "n.conf:1: can't read sub: it is a directory"},
            {"\u0000\u0001\u0002", "n.conf:1: byte 0x00"},
            {"events { }", "nothing in it can be served"}
        }) {
            Files.createDirectories(dir.resolve("sub"));
            String conf = file("n.conf", textAndError[0]);
            assertThat(run("import-nginx", conf, "--out", toml))
                    .as(textAndError[0])
                    .isEqualTo(2);
            assertThat(err).contains(textAndError[1]).doesNotContain("Exception");
            assertThat(Files.exists(Path.of(toml))).isFalse();
        }
        assertThat(run("import-nginx", dir + "/none.conf")).isEqualTo(2);
        assertThat(err).contains("none.conf: can't be read: there is no such file");
        String good = file("g.conf", GOOD);
        assertThat(run("import-nginx", good, "--dial", "10.0.0.1:80=here:0")).isEqualTo(2);
        assertThat(err).contains("'here:0' is not an address with a port");
        assertThat(run("import-nginx", good, "--compare")).isEqualTo(2);
        assertThat(run("import-nginx", good, "--writes", "idempotent")).isEqualTo(2);
    }

    @Test
    void comparesEachKeyAndCountsDifferences() throws Exception {
        String conf = file(
                "n.conf", GOOD.replace("location /", "location ~ (?=/x) { proxy_pass http://10.0.0.9; }\nlocation /"));
        String keys = file("keys", "/a\n/b\n\n/x\n");
        assertThat(run("import-nginx", conf, "--compare", "--keys", keys)).isEqualTo(1);
        assertThat(out)
                .contains("/x nginx=10.0.0.9 10.0.0.9 imported=u 10.0.0.")
                .contains(" DIFFERS\n")
                .endsWith("2 the same, 0 of the same pool, in which nginx chooses by more than the key, 1 differ\n");
        assertThat(run("import-nginx", file("g.conf", GOOD), "--compare", "--keys", keys))
                .isZero();
        assertThat(run("import-nginx", conf, "--compare", "--keys", dir + "/none"))
                .isEqualTo(2);
    }

    @SuppressWarnings("StringConcatToTextBlock") // each line of the text is on its own line of the source
    @Test
    void checksTenThousandRoutes() throws Exception {
        StringBuilder text = new StringBuilder("[[class]]\nname = \"r\"\neffect = \"safe\"\n[[listen]]\nname = \"l\"\n"
                + "address = \"127.0.0.1:0\"\nopen = true\nclass = \"r\"\n[[pool]]\nname = \"p\"\nnodes = \"plain\"\n"
                + "[[pool.server]]\nname = \"s\"\ndial = \"127.0.0.1:1\"\n");
        for (int i = 0; i < 10_000; i++) {
            text.append("[[route]]\nname = \"r")
                    .append(i)
                    .append("\"\n")
                    .append(i % 3 == 0 ? "key" : i % 3 == 1 ? "prefix" : "regex")
                    .append(" = \"svc")
                    .append(i)
                    .append("/\"\npools = [\"p\"]\n");
        }
        assertThat(run("check", file("big.toml", text.toString()))).isZero();
        assertThat(out).contains("10000 routes");
        assertThat(run(
                        "check",
                        file(
                                "bad.toml",
                                text + "[[route]]\nname = \"late\"\nprefix = \"svc1/x\"\npools = [\"p\", \"q\"]\n")))
                .isEqualTo(2);
        assertThat(err).contains("there is no pool 'q'");
        assertThat(run(
                        "check",
                        file(
                                "dead.toml",
                                text + "[[route]]\nname = \"late\"\nprefix = \"svc1/x\"\norder = 1\n"
                                        + "pools = [\"p\"]\n")))
                .isEqualTo(2);
        assertThat(err).contains("route 'late' is never reached: 'r1' takes all of its requests before");
    }
}
