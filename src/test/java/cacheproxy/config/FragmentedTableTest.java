package cacheproxy.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.tomlj.Toml;
import org.tomlj.TomlPosition;

/** A table whose keys are spread over two chunks of its file. */
class FragmentedTableTest {
    private static final FragmentedTable TABLE = new FragmentedTable(List.of(
            new TomlFragment(Toml.parse("first = 1\nboth = 2\n"), 0),
            new TomlFragment(Toml.parse("both = 3\nlast = 4\n"), 10)));

    @Test
    void firstDefinitionOfAKeyCounts() {
        assertThat(TABLE.fragmentWith("both").orElseThrow().get("both")).isEqualTo(2L);
        assertThat(TABLE.fragmentWith("last").orElseThrow().get("last")).isEqualTo(4L);
        assertThat(TABLE.fragmentWith("none")).isEmpty();
        assertThat(TABLE.keys()).containsExactly("first", "both", "last");
    }

    @Test
    void positionsAreThoseInTheFile() {
        assertThat(TABLE.positionOf("both")).contains(TomlPosition.positionAt(2, 1));
        assertThat(TABLE.positionOf("last")).contains(TomlPosition.positionAt(12, 1));
        assertThat(TABLE.positionOf("none")).isEmpty();
    }

    @Test
    void repeatedDefinitionsAreThoseAfterTheFirst() {
        assertThat(TABLE.repeatedDefinitions("both")).containsExactly(TomlPosition.positionAt(11, 1));
        assertThat(TABLE.repeatedDefinitions("first")).isEmpty();
    }
}
