package cacheproxy.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import java.util.zip.CRC32;
import org.junit.jupiter.api.Test;

/** Compares checksums that are derived from a key with those of the text itself. */
class PlacementKeyTest {
    private static long crc(byte[]... parts) {
        CRC32 crc = new CRC32();
        for (byte[] part : parts) {
            crc.update(part);
        }
        return crc.getValue();
    }

    @Test
    void keyYieldsChecksumOfItsTextWithAnyPrefix() {
        assertThat(PlacementKey.crc(PlacementKey.fromText("123456789".getBytes(StandardCharsets.US_ASCII))))
                .isEqualTo(0xCBF43926);
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < 2000; i++) {
            byte[] text = new byte[random.nextInt(i % 10 == 0 ? 4096 : 300)];
            random.nextBytes(text);
            byte[] prefix = Integer.toString(random.nextInt(100)).getBytes(StandardCharsets.US_ASCII);
            long key = PlacementKey.fromText(text);
            assertThat(PlacementKey.crc(key)).isEqualTo((int) crc(text));
            assertThat(PlacementKey.crcWithPrefix((int) crc(prefix), key)).isEqualTo((int) crc(prefix, text));
            assertThat(key).isNotZero();
        }
    }
}
