package cacheproxy.fleet.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class DatagramEnvelopeTest {
    private static final byte[] OLD = "an old key of some length".getBytes();
    private static final byte[] NEW = "a new key of some length".getBytes();
    private static final List<Long> PEERS = List.of(1L, 2L);

    private static DatagramEnvelope of(long me, long life, byte[]... keys) {
        return new DatagramEnvelope(me, life, List.of(keys), PEERS);
    }

    @Test
    void whatAPeerSealsIsOpenedOnce() {
        for (byte[][] keys : new byte[][][] {{}, {OLD}}) {
            DatagramEnvelope a = of(1, 100, keys);
            DatagramEnvelope b = of(2, 100, keys);
            byte[] d = a.seal(2L, (byte) 3, new byte[] {7, 8});
            DatagramEnvelope.Opened o = b.open(d, 0);
            assertThat(o.sender()).isEqualTo(1);
            assertThat(o.topic()).isEqualTo((byte) 3);
            assertThat(o.payload()).containsExactly(7, 8);
            assertThat(b.open(d, 0)).as("again").isNull();
            assertThat(a.open(a.seal(2L, (byte) 3, new byte[0]), 0))
                    .as("its own")
                    .isNull();
            assertThat(a.twins()).isEmpty();
        }
    }

    @Test
    void datagramsThatOvertakeOthersComeAndNoneComesTwice() {
        DatagramEnvelope a = of(1, 100);
        DatagramEnvelope b = of(2, 100);
        List<byte[]> sent = new ArrayList<>();
        for (int i = 0; i < DatagramEnvelope.WINDOW; i++) {
            sent.add(a.seal(2L, (byte) 0, new byte[0]));
        }
        Collections.shuffle(sent, new Random(4));
        sent.forEach(d -> assertThat(b.open(d, 0)).isNotNull());
        sent.forEach(d -> assertThat(b.open(d, 0)).isNull());
        byte[] late = a.seal(2L, (byte) 0, new byte[0]);
        for (int i = 0; i < DatagramEnvelope.WINDOW; i++) {
            assertThat(b.open(a.seal(2L, (byte) 0, new byte[0]), 0)).isNotNull();
        }
        assertThat(b.open(late, 0)).as("behind the window").isNull();
    }

    @Test
    void aBurstToOthersPushesNothingOutOfTheWindow() {
        DatagramEnvelope a = of(1, 100);
        DatagramEnvelope b = of(2, 100);
        byte[] late = a.seal(2L, (byte) 0, new byte[0]);
        for (int i = 0; i < 3 * DatagramEnvelope.WINDOW; i++) {
            a.seal(1L, (byte) 0, new byte[0]);
        }
        assertThat(b.open(a.seal(2L, (byte) 0, new byte[0]), 0)).isNotNull();
        assertThat(b.open(late, 0)).isNotNull();
        assertThat(DatagramEnvelope.claimedSender(late)).isEqualTo(1);
        assertThat(DatagramEnvelope.claimedSender(new byte[5])).isZero();
    }

    @Test
    void anOlderLifeIsDroppedOnceANewerWasHeardAndATwinIsNoticed() {
        DatagramEnvelope first = of(1, 100, OLD);
        DatagramEnvelope second = of(1, 200, OLD);
        DatagramEnvelope b = of(2, 100, OLD);
        byte[] kept = first.seal(2L, (byte) 0, new byte[0]);
        assertThat(b.open(second.seal(2L, (byte) 0, new byte[0]), 0)).isNotNull();
        assertThat(b.open(kept, 0)).isNull();
        assertThat(b.open(first.seal(2L, (byte) 0, new byte[0]), 0)).isNull();
        byte[] after = first.seal(2L, (byte) 0, new byte[0]);
        assertThat(b.open(after, DatagramEnvelope.FORGET_MS)).isNull();
        assertThat(b.open(after, DatagramEnvelope.FORGET_MS + 1))
                .as("the newer one is gone")
                .isNotNull();
        assertThat(first.open(second.seal(2L, (byte) 0, new byte[0]), 0)).isNull();
        assertThat(first.twins()).containsExactly(1L);
        assertThat(second.twins()).isEmpty();
    }

    @Test
    void twoProcessesUnderOneNameAreNoticedByThoseWhoHearThem() {
        DatagramEnvelope first = of(1, 100);
        DatagramEnvelope second = of(1, 200);
        DatagramEnvelope b = of(2, 100);
        for (int i = 0; i < DatagramEnvelope.TWIN; i++) {
            assertThat(b.twins()).isEmpty();
            assertThat(b.open(second.seal(2L, (byte) 0, new byte[0]), i)).isNotNull();
            assertThat(b.open(first.seal(2L, (byte) 0, new byte[0]), i))
                    .as("only the newer one is heard")
                    .isNull();
        }
        assertThat(b.twins()).containsExactly(1L);
    }

    @Test
    void aKeyIsChangedWithoutABreakAndNoOtherIsTaken() {
        DatagramEnvelope old = of(1, 100, OLD);
        DatagramEnvelope both = of(2, 100, NEW, OLD);
        assertThat(both.open(old.seal(2L, (byte) 0, new byte[0]), 0)).isNotNull();
        DatagramEnvelope next = new DatagramEnvelope(1, 101, List.of(NEW), PEERS);
        assertThat(both.open(next.seal(2L, (byte) 0, new byte[0]), 0)).isNotNull();
        assertThat(old.open(both.seal(2L, (byte) 0, new byte[0]), 0))
                .as("the old key alone")
                .isNull();
        assertThat(both.open(of(1, 102).seal(2L, (byte) 0, new byte[0]), 0))
                .as("unsigned")
                .isNull();
        assertThat(both.open(new DatagramEnvelope(3, 1, List.of(NEW), PEERS).seal(2L, (byte) 0, new byte[0]), 0))
                .as("no peer")
                .isNull();
    }

    @Test
    void threeHundredThousandSpoiltDatagramsOpenNothing() {
        spoilt(of(1, 100, OLD), of(2, 100, OLD), 300_000);
        spoilt(of(1, 100), of(2, 100), 300_000);
    }

    private static void spoilt(DatagramEnvelope a, DatagramEnvelope b, int count) {
        SplittableRandom random = new SplittableRandom(5);
        for (int i = 0; i < count; i++) {
            byte[] d = a.seal(2L, (byte) 1, new byte[20]);
            int at = random.nextInt(d.length);
            d[at] ^= (byte) (1 + random.nextInt(255));
            assertThat(b.open(random.nextInt(5) == 0 ? java.util.Arrays.copyOf(d, random.nextInt(300)) : d, 0))
                    .isNull();
        }
        assertThat(b.open(a.seal(2L, (byte) 1, new byte[20]), 0)).isNotNull();
        assertThatThrownBy(() -> a.seal(2L, (byte) 1, new byte[DatagramEnvelope.MOST_PAYLOAD + 1]))
                .isInstanceOf(IllegalArgumentException.class);
        assertThat(a.seal(2L, (byte) 1, new byte[DatagramEnvelope.MOST_PAYLOAD]).length)
                .isLessThanOrEqualTo(DatagramEnvelope.MOST);
    }
}
