package cacheproxy.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Reads valid configuration files and reports each error at its place. */
class DaemonConfigReaderTest {
    static final String VALID = """
            [[class]]
            name = "page"
            effect = "safe"
            [[class]]
            name = "publish"
            effect = "keyed"
            window_ms = 1500
            [[listen]]
            name = "main"
            address = "127.0.0.1:0"
            open = true
            class = "page"
            [[pool]]
            name = "a"
            [[pool.server]]
            name = "a1"
            dial = "127.0.0.1:7001"
            [[pool]]
            name = "b"
            [[pool.server]]
            name = "b1-x"
            dial = "127.0.0.1:7002"
            [[route]]
            name = "all"
            pools = ["a"]
            """;

    @TempDir
    private Path folder;

    private static List<String> errors(String text) {
        return catchThrowableOfType(ConfigException.class, () -> DaemonConfigReader.parse("f", text))
                .errors();
    }

    private static String validWith(String anchor, String line) {
        return VALID.replace(anchor, anchor + "\n" + line);
    }

    @Test
    void readsPoolsRoutesAndListenersOfValidFile() throws Exception {
        DaemonConfig file =
                DaemonConfigReader.parse("f", validWith("name = \"a\"", "fallback = \"b\"\nretry_share = 0.5"));
        assertThat(file.pools().keySet()).containsExactly("a", "b");
        assertThat(file.fallbackChain(List.of("a"))).containsExactly("a", "b");
        assertThat(file.pools().get("a").retryRatio()).isEqualTo(0.5);
        assertThat(file.routes().routes()).hasSize(1);
        assertThat(file.listeners().get(0).readClass()).isEqualTo("page");
    }

    @Test
    void acceptsExampleFilesOfRepository() throws Exception {
        assertThat(DaemonConfigReader.read(Path.of("deploy/coralbay.toml"))
                        .routes()
                        .routes())
                .isNotEmpty();
        assertThat(DaemonConfigReader.read(Path.of("deploy/duties.toml"))
                        .section(FleetConfig.class)
                        .leases())
                .hasSize(1);
        assertThat(DaemonConfigReader.read(Path.of("deploy/limits.toml"))
                        .section(FleetConfig.class)
                        .quotas()
                        .quotas())
                .hasSize(2);
    }

    @Test
    void namesPlaceAndAllowedValuesInEachError() {
        String[][] cases = {
            {"name = \"page\"", "efect = \"safe\"", "f:3:1: unknown key 'efect' in class page; allowed: aim_ms"},
            {"name = \"main\"", "adress = 1", "unknown key 'adress'"},
            {"name = \"a\"", "in_hand = 0", "f:15:1: in_hand is 0; a number from 1 to 1000000"},
            {"name = \"a\"", "in_hand = \"x\"", "in_hand is not a whole number"},
            {"name = \"a\"", "per_second = \"x\"", "per_second is not a number"},
            {"name = \"a\"", "placement = \"ring\"", "placement is 'ring'; allowed: carp"},
            {"name = \"a\"", "fallback = \"c\"", "there is no pool 'c'; there are: a, b"},
            {"name = \"a\"", "fallback = \"a\"", "fallbacks form a cycle: a -> a"},
            {"name = \"a1\"", "backup = 1", "backup is neither true nor false"},
            {"name = \"a1\"", "down = true", "every server of pool a is down"},
            {"name = \"a1\"", "backup = true", "every server of pool a is a backup"},
            {"name = \"all\"", "prefix = \"x\"\nkey = \"y\"", "has key and prefix; one at most"},
            {"name = \"all\"", "regex = \"(a)\\\\1\"", "regex can't be used"},
            {"name = \"all\"", "regex = \"(a\"", "regex can't be used"},
            {"name = \"all\"", "class = \"no\"", "there is no class 'no'; there are: page, publish"},
            {"name = \"all\"", "listener = [\"main\", 3]", "listener contains a value that is not a string"},
            {"name = \"all\"", "refuse_ms = 5", "needs one of pools, refuse_ms and fail"},
            {"name = \"all\"", "share = { from_percent = 5, to_percent = 5 }", "the share is empty"},
            {"name = \"all\"", "regex = \"^a\"\nreplace = \"$1\"", "'$1' names no group"},
            {"name = \"all\"", "add = \"a b\"", "add puts characters into keys"},
            {"name = \"publish\"", "aim_ms = 2000", "aim_ms is 2000, more than the deadline"},
        };
        for (String[] expected : cases) {
            assertThat(errors(validWith(expected[0], expected[1])))
                    .as(expected[1])
                    .anySatisfy(error -> assertThat(error).contains(expected[2]).matches("f:\\d+:\\d+: .*"));
        }
        assertThat(errors(VALID.replace("window_ms = 1500", "")))
                .anySatisfy(error -> assertThat(error).contains("window_ms"));
        assertThat(errors(VALID.replace("127.0.0.1:7001", "cache.example:7001")))
                .singleElement()
                .asString()
                .startsWith("f:17:1: ")
                .contains("names are not looked up");
        assertThat(errors(VALID.replace("127.0.0.1:7002", "127.0.0.1:7001")))
                .singleElement()
                .asString()
                .contains("is server 'a1' already");
        assertThat(errors(VALID.replace("b1-x", "a1")))
                .anySatisfy(error -> assertThat(error).contains("a name has one address"));
        assertThat(errors(VALID.replace("pools = [\"a\"]", "pools = [\"a\", \"a\"]")))
                .singleElement()
                .asString()
                .contains("falls back to itself");
    }

    @Test
    void reportsAllErrorsInFileOrder() {
        String broken = VALID.replace("effect = \"safe\"", "effect = \"sure\"")
                .replace("open = true", "open = 3")
                .replace("127.0.0.1:7002", "nowhere")
                .replace("pools = [\"a\"]", "pools = [\"c\"]");
        List<String> errors = errors(broken);
        assertThat(errors).hasSizeGreaterThanOrEqualTo(4);
        assertThat(errors)
                .extracting(error -> Integer.parseInt(error.split(":", -1)[1]))
                .isSorted();
    }

    @Test
    void reportsPlaceOfTomlSyntaxErrors() {
        assertThat(errors("[[class]\nname = 1")).isNotEmpty().allMatch(error -> error.matches("f:\\d+:\\d+: [^\\n]+"));
        assertThat(errors(""))
                .anyMatch(error -> error.contains("no class"))
                .anyMatch(error -> error.contains("no listener"))
                .anyMatch(error -> error.contains("no pool"))
                .anyMatch(error -> error.contains("no route"));
        // The file can be cut anywhere if it is read while it is being written.
        for (int cut = 1; cut < VALID.length() - 20; cut += 7) {
            int at = cut;
            assertThat(errors(VALID.substring(0, at))).as("cut at " + at).isNotEmpty();
        }
    }

    @Test
    void rejectsFallbackLoopsAndUnreachableRoutes() {
        String loop = VALID.replace("name = \"a\"\n", "name = \"a\"\nfallback = \"b\"\n")
                .replace("name = \"b\"\n", "name = \"b\"\nfallback = \"a\"\n");
        assertThat(errors(loop)).hasSize(2).allMatch(error -> error.contains("fallbacks form a cycle"));
        assertThat(errors(VALID + "[[route]]\nname = \"late\"\norder = 1\nprefix = \"x\"\npools = [\"b\"]\n"))
                .singleElement()
                .asString()
                .startsWith("f:27:1: ")
                .contains("never reached")
                .contains("'all'");
    }

    @Test
    void reportsUnreadableFileInOneLine() throws Exception {
        Path none = folder.resolve("none.toml");
        assertThat(catchThrowableOfType(ConfigException.class, () -> DaemonConfigReader.read(none))
                        .errors())
                .containsExactly(none + ":1:1: there is no such file");
        Path binary = folder.resolve("binary.toml");
        Files.write(binary, new byte[] {(byte) 0xc3, 0x28, 0, 1});
        assertThat(catchThrowableOfType(ConfigException.class, () -> DaemonConfigReader.read(binary))
                        .errors())
                .containsExactly(binary + ":1:1: the file is not UTF-8 text");
        assertThat(catchThrowableOfType(ConfigException.class, () -> DaemonConfigReader.read(folder))
                        .errors())
                .hasSize(1);
    }

    private static String fileOfTwoThousandPoolsAndRoutes() {
        StringBuilder text = new StringBuilder("""
                [[class]]
                name = "r"
                effect = "safe"
                [[listen]]
                name = "l"
                address = "127.0.0.1:0"
                open = true
                class = "r"
                """);
        for (int i = 0; i < 2000; i++) {
            text.append("[[pool]] # [[pool]]\nname = \"p")
                    .append(i)
                    .append("\"\nnodes = \"plain\"\n[[pool.server]]\nname = \"s")
                    .append(i)
                    .append("\"\ndial = '127.0.0.1:")
                    .append(1 + i)
                    .append("'\n[[route]]\nname = \"\"\"r")
                    .append(i)
                    .append("\"\"\"\nregex = [\n'[a]',\n  '''\n[b]''',\n]\nprefix = \"")
                    .append(i)
                    .append("/\"\npools = \"p")
                    .append(i)
                    .append("\"\n");
        }
        return text.toString();
    }

    /**
     * Long files are parsed in chunks, which must not change the positions of errors, the detection of duplicates or
     * nested tables.
     */
    @Test
    void reportsSamePlacesWhenLongFileIsParsedInChunks() throws Exception {
        String text = fileOfTwoThousandPoolsAndRoutes();
        DaemonConfig file = DaemonConfigReader.parse("f", text);
        assertThat(file.pools()).hasSize(2000);
        assertThat(file.routes().routes()).hasSize(2000);
        int lines = (int) text.chars().filter(character -> character == '\n').count();
        String bad = text + "[site]\nname = \"a\"\n[[route]]\nname = \"bad\"\npools = [\"none\"]\n";
        assertThatThrownBy(() -> DaemonConfigReader.parse("f", bad))
                .isInstanceOfSatisfying(
                        ConfigException.class,
                        error -> assertThat(error.errors())
                                .containsExactly("f:" + (lines + 5) + ":1: "
                                        + error.errors().get(0).split(": ", 2)[1])
                                .allMatch(line -> line.contains("there is no pool 'none'")));
        // A line that looks like a table header, where a chunk could end.
        String nested = text + "[[route]]\nname = \"n\"\n" + "# long\n".repeat(10_000) + "pools = [\n[1]\n]\n";
        assertThatThrownBy(() -> DaemonConfigReader.parse("f", nested))
                .isInstanceOfSatisfying(
                        ConfigException.class,
                        error -> assertThat(error.errors())
                                .anyMatch(line -> line.contains("pools contains a value that is not a string")));
        String twice = "[site]\nname = \"a\"\n" + text + "[site]\nname = \"b\"\n";
        assertThatThrownBy(() -> DaemonConfigReader.parse("f", twice))
                .isInstanceOfSatisfying(
                        ConfigException.class,
                        error -> assertThat(error.errors())
                                .containsExactly("f:" + (lines + 3) + ":1: site previously defined at line 1"));
        assertThatThrownBy(() -> DaemonConfigReader.parse("f", text + "x = = 1\n"))
                .isInstanceOfSatisfying(
                        ConfigException.class,
                        error -> assertThat(error.errors().get(0)).startsWith("f:" + (lines + 1) + ":5: "));
    }

    @Test
    void resolvesSnapshotPathAgainstFileAndChecksBounds() throws Exception {
        assertThat(DaemonConfigReader.parse("f", VALID).section(SnapshotConfig.class))
                .isNull();
        SnapshotConfig memory = DaemonConfigReader.parse("/etc/c/f", VALID + "[memory]\npath = \"m\"\nkeys = 7\n")
                .section(SnapshotConfig.class);
        assertThat(memory).isEqualTo(new SnapshotConfig(Path.of("/etc/c/m"), 2000, 7, 65_536));
        assertThat(errors(VALID + "[memory]\nperiod_ms = 1\nkeys = 5000\nbytes_per_second = 1\nsize = 3\n"))
                .satisfiesExactlyInAnyOrder(
                        error -> assertThat(error).startsWith("f:26:1: memory has no path"),
                        error -> assertThat(error).startsWith("f:27:1: period_ms is 1; a number from 50 to "),
                        error -> assertThat(error).startsWith("f:28:1: keys is 5000; a number from 0 to 4096"),
                        error -> assertThat(error).startsWith("f:29:1: bytes_per_second is 1; a number from 1024"),
                        error -> assertThat(error)
                                .startsWith(
                                        "f:30:1: unknown key 'size' in memory; allowed: bytes_per_second, keys, path, period_ms"));
    }

    @Test
    void readsAndChecksSiblings() throws Exception {
        String origin = "[pool.origin]\nname = \"o\"\ndial = \"127.0.0.1:9\"\n";
        String sibling =
                "[[sibling]]\nname = \"east\"\nicp = \"10.0.0.1:3130\"\nfetch = \"10.0.0.1:11212\"\nclass = \"sibling\"\n";
        String icp = "[icp]\naddress = \"127.0.0.1:0\"\nlistener = \"main\"\n";
        String pool = VALID.replace("[[pool]]\nname = \"b\"", origin + "[[pool]]\nname = \"b\"")
                .replace("name = \"a\"\n", "name = \"a\"\nsiblings = [\"east\"]\n");
        DaemonConfig file = DaemonConfigReader.parse("f", pool + icp + sibling);
        assertThat(file.pools().get("a").siblings()).containsExactly("east");
        assertThat(SiblingsConfig.of(file).sibling("east").className()).isEqualTo("sibling");
        assertThat(SiblingsConfig.of(file).icp().urlPrefix()).isEqualTo("http://coralbay/");
        assertThat(errors(pool + sibling)).singleElement().asString().contains("write [icp]");
        assertThat(errors(pool + icp)).singleElement().asString().contains("there is no sibling 'east'");
        assertThat(errors(VALID.replace("name = \"a\"\n", "name = \"a\"\nsiblings = [\"east\"]\n") + icp + sibling))
                .singleElement()
                .asString()
                .contains("this pool has none in the file");
        assertThat(errors(pool + icp.replace("main", "none") + sibling))
                .singleElement()
                .asString()
                .contains("there is no listener 'none'");
        assertThat(errors(pool + icp + "keys = 1000\nurl_prefix = \"a b\"\n" + sibling))
                .hasSize(2);
        assertThat(errors(pool + icp + sibling.replace(":3130", ":0")))
                .singleElement()
                .asString()
                .contains("port 0");
    }

    /** An error in the last of ten thousand routes is reported at its own line. */
    @Test
    void checksTenThousandRoutes() throws Exception {
        StringBuilder text = new StringBuilder(VALID);
        for (int i = 0; i < 10_000; i++) {
            text.append("[[route]]\nname = \"r")
                    .append(i)
                    .append("\"\nprefix = \"p")
                    .append(i)
                    .append("/\"\npools = [\"b\"]\n");
        }
        DaemonConfig file = DaemonConfigReader.parse("f", text.toString());
        assertThat(file.routes().routes()).hasSize(10_001);
        long lines = text.chars().filter(character -> character == '\n').count();
        assertThat(errors(text + "[[route]]\nname = \"r17\"\nprefix = \"q\"\npools = [\"b\"]\n"))
                .singleElement()
                .asString()
                .startsWith("f:" + (lines + 2) + ":1: ")
                .contains("'r17' already exists");
    }
}
