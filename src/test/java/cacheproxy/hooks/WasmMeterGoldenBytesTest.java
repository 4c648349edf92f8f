package cacheproxy.hooks;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Compares the metered form of each module of this repository byte by byte, because operators compare the fuel of calls
 * between releases.
 */
class WasmMeterGoldenBytesTest {
    private static final int MAX_PAGES = 16;
    private static final long INITIAL_FUEL = 1_000_000;

    @Test
    void metersEveryModuleAsBefore() throws Exception {
        List<String> lines = new ArrayList<>();
        lines.add(
                "# module, then SHA-256 of its metered form, index of the global with the fuel and pages at its start,"
                        + " or why it is rejected");
        for (String folder : List.of("hooks", "src/test/resources/hooks")) {
            try (Stream<Path> files = Files.list(Path.of(folder))) {
                for (Path file : files.filter(path -> path.toString().endsWith(".wasm"))
                        .sorted()
                        .toList()) {
                    lines.add(file.getFileName() + " " + describe(Files.readAllBytes(file)));
                }
            }
        }
        assertThat(lines).isEqualTo(Files.readAllLines(Path.of("src/test/resources/golden/metered-modules.txt")));
    }

    private static String describe(byte[] module) {
        try {
            WasmMeter.Metered metered = WasmMeter.meter(module, MAX_PAGES, HookAbi.OFFERED_IMPORTS, INITIAL_FUEL);
            return HookModule.sha256Hex(metered.module()) + " fuelGlobal=" + metered.fuelGlobal() + " pages="
                    + metered.initialPages();
        } catch (HookException e) {
            return "HookException: " + e.getMessage();
        }
    }
}
