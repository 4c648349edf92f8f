package cacheproxy.bench;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** Sizes of the generated configurations, which the import bench prints. */
class GeneratedNginxConfTest {
    @Test
    void sitesHaveTheStatedLines() {
        Map<String, String> files = GeneratedNginxConf.sites(3);
        assertThat(files).hasSize(4).containsKey("nginx.conf");
        files.forEach((path, text) -> {
            if (path.startsWith(GeneratedNginxConf.SITES)) {
                assertThat(text.lines()).hasSize(GeneratedNginxConf.LINES_PER_SITE);
            }
        });
    }

    @Test
    void oneSiteHasAboutTheStatedLines() {
        String text = GeneratedNginxConf.oneSite(6_250).get("nginx.conf");
        assertThat(text.lines().count()).isBetween(6_245L, 6_250L);
        assertThat(text).contains("location /service0/ {").endsWith("    }\n}\n");
    }

    @Test
    void oneLocationInTenIsPattern() {
        String text = GeneratedNginxConf.locations(100).get("nginx.conf");
        assertThat(text.lines().filter(line -> line.contains("location ~"))).hasSize(10);
        assertThat(text.lines().filter(line -> line.contains("location /"))).hasSize(90);
    }
}
