package cacheproxy.nginx;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Tests of the nginx grammar: words and their positions, includes, and the rejection of malformed text. */
class ConfParserTest {
    /** Files in memory; an asterisk in a pattern matches anything except a slash. */
    record Files(Map<String, String> texts) implements ConfSource {
        @Override
        public String read(String path) throws UnreadableFileException {
            if (!texts.containsKey(path)) {
                throw new UnreadableFileException("there is no such file");
            }
            return texts.get(path);
        }

        @Override
        public List<String> glob(String pattern) {
            String regex = pattern.replace(".", "\\.").replace("*", "[^/]*");
            return new TreeMap<>(texts)
                    .keySet().stream().filter(path -> path.matches(regex)).toList();
        }
    }

    private static List<Directive> parse(String text) throws NginxSyntaxException {
        return ConfParser.parse("f", text);
    }

    @Test
    void splitsWordsWithQuotesEscapesAndComments() throws Exception {
        List<Directive> all = parse("a 1 \"two words\" 'it''s'".replace("''s'", "' s") + ";# c ; }\n"
                + "b \"x\\\"y\\\\z\\t\\.\" ${v}x a#b \\. 'a;{}b';\n  location ~ \\.(a|b)$ { c\td; }\n");
        assertThat(all.get(0).args()).containsExactly("1", "two words", "it", "s");
        assertThat(all.get(1).args()).containsExactly("x\"y\\z\t\\.", "${v}x", "a#b", "\\.", "a;{}b");
        assertThat(all.get(2).args()).containsExactly("~", "\\.(a|b)$");
        assertThat(all.get(2).block().get(0).args()).containsExactly("d");
        assertThat(all.get(2).position()).isEqualTo(new Position("f", 3, 3));
        assertThat(all.get(2).block().get(0).position()).isEqualTo(new Position("f", 3, 25));
    }

    @Test
    void rejectsMalformedTextNamingItsLine() {
        for (String[] textAndMessage : new String[][] {
            {"a;\nb {\n c;\n", "f:2: the block that opens here is not closed"},
            {"a;\n}\n", "f:2: unexpected '}': no block is open"},
            {"a {\n b\n}\n", "f:3: unexpected '}': 'b' of line 2 ends without ';'"},
            {"a;\n;", "f:2: unexpected ';'"},
            {"{ a; }", "f:1: unexpected '{'"},
            {"a 1", "f:1: 'a' is not ended by ';' or a block"},
            {"a;\nb \"x;\n", "f:2: the quote that opens here is not closed"},
            {"a \"x\"y;", "f:1: unexpected 'y' behind a closing quote"},
            {"a;\nb \u0000\u0001;", "f:2: byte 0x00 in column 3; this is no text"},
            {"a " + "x".repeat(5000) + ";", "f:1: a parameter of more than 4095 bytes begins here"},
            {"a {".repeat(100), "f:1: more than 64 blocks in each other"},
            {"include g;", "f:1: can't read g: a text alone can't include files"}
        }) {
            assertThatThrownBy(() -> parse(textAndMessage[0]))
                    .as(textAndMessage[0])
                    .isInstanceOf(NginxSyntaxException.class)
                    .hasMessageStartingWith(textAndMessage[1]);
        }
    }

    @Test
    void keepsTextOfLuaBlocks() throws Exception {
        List<Directive> all = parse("content_by_lua_block { if x then y = \"}\" end -- }\n t = {1} }\na;");
        assertThat(all.get(0).rawBlock()).isEqualTo(" if x then y = \"}\" end -- }\n t = {1} ");
        assertThat(all.get(1).name()).isEqualTo("a");
    }

    @Test
    void readsIncludedFilesInOrderWithTheirPositions() throws Exception {
        Map<String, String> texts = new TreeMap<>();
        StringBuilder mainFile = new StringBuilder("include none/*.conf;\nhttp { include sites/*.conf;\n");
        for (int i = 0; i < 200; i++) {
            texts.put(String.format("sites/%03d.conf", i), "server { include parts/" + i + "; }");
            texts.put("parts/" + i, "\n\nlisten " + (1000 + i) + ";");
        }
        texts.put("main", mainFile.append("}").toString());
        ConfParser.Conf conf = ConfParser.read(new Files(texts), "main");
        assertThat(conf.fileCount()).isEqualTo(401);
        assertThat(conf.emptyIncludes())
                .singleElement()
                .satisfies(empty -> assertThat(empty.include().arg(0)).isEqualTo("none/*.conf"));
        List<Directive> servers = conf.directives().get(0).block();
        assertThat(servers).hasSize(200);
        assertThat(servers.get(17).block().get(0).arg(0)).isEqualTo("1017");
        assertThat(servers.get(17).block().get(0).position()).isEqualTo(new Position("parts/17", 3, 1));
    }

    @Test
    void rejectsIncludeLoopsAndMissingFilesNamingTheInclude() {
        assertThatThrownBy(() -> ConfParser.read(
                        new Files(Map.of("a", "x;\ninclude b;", "b", "include *c;", "c", "include a;")), "a"))
                .hasMessage("c:1: a includes itself: a -> b -> c -> a");
        assertThatThrownBy(() -> ConfParser.read(new Files(Map.of("a", "x;\n\ninclude b/c;")), "a"))
                .hasMessage("a:3: can't read b/c: there is no such file");
        assertThatThrownBy(() -> ConfParser.read(new Files(Map.of()), "a"))
                .hasMessage("a: can't be read: there is no such file");
        Map<String, String> deep = new TreeMap<>();
        for (int i = 0; i < 100; i++) {
            deep.put("f" + i, "include f" + (i + 1) + ";");
        }
        assertThatThrownBy(() -> ConfParser.read(new Files(deep), "f0"))
                .hasMessageContaining("more than 64 includes in each other");
    }

    @Test
    void readsTenMegabytes() throws Exception {
        String server = "server { listen 80; location /x { proxy_pass http://u; } }\n";
        List<Directive> all = parse(server.repeat(10_000_000 / server.length() + 1));
        assertThat(all).hasSize(10_000_000 / server.length() + 1);
    }

    @Test
    void parsesPrintedTreeToAnEqualTree() throws Exception {
        SplittableRandom random = new SplittableRandom(5);
        for (int i = 0; i < 2000; i++) {
            List<Directive> tree = randomTree(random, 0);
            String text = ConfPrinter.print(tree);
            List<Directive> again = parse(text);
            assertThat(again).as(text).isEqualTo(tree);
            assertThat(ConfPrinter.print(again)).isEqualTo(text);
        }
    }

    @Test
    void rejectsRandomTextOnlyWithSyntaxException() {
        SplittableRandom random = new SplittableRandom(6);
        String alphabet = "ab ;{}\"'\\#$\n\t\u0000~*/";
        int accepted = 0;
        for (int i = 0; i < 20_000; i++) {
            StringBuilder text = new StringBuilder();
            for (int remaining = random.nextInt(30); remaining > 0; remaining--) {
                text.append(alphabet.charAt(random.nextInt(alphabet.length())));
            }
            try {
                parse(text.toString());
                accepted++;
            } catch (NginxSyntaxException e) {
                assertThat(e.getMessage()).matches("f:[0-9]+: (?s).+");
            }
        }
        assertThat(accepted).isBetween(100, 10_000);
    }

    private static List<Directive> randomTree(SplittableRandom random, int depth) {
        List<Directive> all = new ArrayList<>();
        for (int remaining = random.nextInt(4); remaining > 0; remaining--) {
            List<String> args = new ArrayList<>();
            for (int remainingArgs = random.nextInt(3); remainingArgs > 0; remainingArgs--) {
                args.add(randomWord(random));
            }
            List<Directive> block = depth < 4 && random.nextInt(3) == 0 ? randomTree(random, depth + 1) : null;
            all.add(new Directive("d" + randomWord(random), args, block, null, new Position("f", 1, 1)));
        }
        return all;
    }

    private static String randomWord(SplittableRandom random) {
        String alphabet = "abc09 ;{}\"'\\#$~^*/.()\t\n=\u00e9";
        StringBuilder text = new StringBuilder();
        for (int remaining = random.nextInt(8); remaining > 0; remaining--) {
            text.append(alphabet.charAt(random.nextInt(alphabet.length())));
        }
        return text.toString();
    }
}
