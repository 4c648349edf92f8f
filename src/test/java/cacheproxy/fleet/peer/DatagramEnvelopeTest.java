package cacheproxy.fleet.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Sealing and opening datagrams: authentication, replays, incarnations and duplicate ids. */
class DatagramEnvelopeTest {
    private static final byte[] OLD_KEY = "an old key of some length".getBytes(StandardCharsets.UTF_8);
    private static final byte[] NEW_KEY = "a new key of some length".getBytes(StandardCharsets.UTF_8);
    private static final List<Long> PEERS = List.of(1L, 2L);

    private static DatagramEnvelope envelope(long ownId, long incarnation, byte[]... keys) {
        return new DatagramEnvelope(ownId, incarnation, List.of(keys), PEERS);
    }

    @Test
    void opensSealedDatagramOnlyOnce() {
        for (byte[][] keys : new byte[][][] {{}, {OLD_KEY}}) {
            DatagramEnvelope sender = envelope(1, 100, keys);
            DatagramEnvelope receiver = envelope(2, 100, keys);
            byte[] datagram = sender.seal(2L, (byte) 3, new byte[] {7, 8});
            OpenedDatagram opened = receiver.open(datagram, 0);
            assertThat(opened.sender()).isEqualTo(1);
            assertThat(opened.topic()).isEqualTo((byte) 3);
            assertThat(opened.payload()).containsExactly(7, 8);
            assertThat(receiver.open(datagram, 0)).as("the same datagram again").isNull();
            assertThat(sender.open(sender.seal(2L, (byte) 3, new byte[0]), 0))
                    .as("the sender's own datagram")
                    .isNull();
            assertThat(sender.duplicateIds()).isEmpty();
        }
    }

    @Test
    void acceptsReorderedDatagramsInWindowAndRejectsReplays() {
        DatagramEnvelope sender = envelope(1, 100);
        DatagramEnvelope receiver = envelope(2, 100);
        List<byte[]> sent = new ArrayList<>();
        for (int i = 0; i < ReplayWindow.SIZE; i++) {
            sent.add(sender.seal(2L, (byte) 0, new byte[0]));
        }
        Collections.shuffle(sent, new Random(4));
        sent.forEach(datagram -> assertThat(receiver.open(datagram, 0)).isNotNull());
        sent.forEach(datagram -> assertThat(receiver.open(datagram, 0)).isNull());
        byte[] late = sender.seal(2L, (byte) 0, new byte[0]);
        for (int i = 0; i < ReplayWindow.SIZE; i++) {
            assertThat(receiver.open(sender.seal(2L, (byte) 0, new byte[0]), 0)).isNotNull();
        }
        assertThat(receiver.open(late, 0)).as("older than the window").isNull();
    }

    @Test
    void burstToAnotherPeerDoesNotMoveWindow() {
        DatagramEnvelope sender = envelope(1, 100);
        DatagramEnvelope receiver = envelope(2, 100);
        byte[] late = sender.seal(2L, (byte) 0, new byte[0]);
        for (int i = 0; i < 3 * ReplayWindow.SIZE; i++) {
            sender.seal(1L, (byte) 0, new byte[0]);
        }
        assertThat(receiver.open(sender.seal(2L, (byte) 0, new byte[0]), 0)).isNotNull();
        assertThat(receiver.open(late, 0)).isNotNull();
        assertThat(DatagramEnvelope.claimedSender(late)).isEqualTo(1);
        assertThat(DatagramEnvelope.claimedSender(new byte[5])).isZero();
    }

    @Test
    void rejectsOlderIncarnationUntilNewerExpiresAndReportsDuplicateOfItself() {
        DatagramEnvelope first = envelope(1, 100, OLD_KEY);
        DatagramEnvelope second = envelope(1, 200, OLD_KEY);
        DatagramEnvelope receiver = envelope(2, 100, OLD_KEY);
        byte[] kept = first.seal(2L, (byte) 0, new byte[0]);
        assertThat(receiver.open(second.seal(2L, (byte) 0, new byte[0]), 0)).isNotNull();
        assertThat(receiver.open(kept, 0)).isNull();
        assertThat(receiver.open(first.seal(2L, (byte) 0, new byte[0]), 0)).isNull();
        byte[] after = first.seal(2L, (byte) 0, new byte[0]);
        assertThat(receiver.open(after, ReplayWindow.INCARNATION_EXPIRY_MS)).isNull();
        assertThat(receiver.open(after, ReplayWindow.INCARNATION_EXPIRY_MS + 1))
                .as("the newer incarnation has expired")
                .isNotNull();
        assertThat(first.open(second.seal(2L, (byte) 0, new byte[0]), 0)).isNull();
        assertThat(first.duplicateIds()).containsExactly(1L);
        assertThat(second.duplicateIds()).isEmpty();
    }

    @Test
    void reportsSenderThatKeepsSendingFromOlderIncarnation() {
        DatagramEnvelope first = envelope(1, 100);
        DatagramEnvelope second = envelope(1, 200);
        DatagramEnvelope receiver = envelope(2, 100);
        for (int i = 0; i < ReplayWindow.DUPLICATE_ID_THRESHOLD; i++) {
            assertThat(receiver.duplicateIds()).isEmpty();
            assertThat(receiver.open(second.seal(2L, (byte) 0, new byte[0]), i)).isNotNull();
            assertThat(receiver.open(first.seal(2L, (byte) 0, new byte[0]), i))
                    .as("only the newer incarnation is accepted")
                    .isNull();
        }
        assertThat(receiver.duplicateIds()).containsExactly(1L);
    }

    @Test
    void acceptsEveryConfiguredKeyAndNoOther() {
        DatagramEnvelope withOldKey = envelope(1, 100, OLD_KEY);
        DatagramEnvelope acceptsBoth = envelope(2, 100, NEW_KEY, OLD_KEY);
        assertThat(acceptsBoth.open(withOldKey.seal(2L, (byte) 0, new byte[0]), 0))
                .isNotNull();
        DatagramEnvelope withNewKey = new DatagramEnvelope(1, 101, List.of(NEW_KEY), PEERS);
        assertThat(acceptsBoth.open(withNewKey.seal(2L, (byte) 0, new byte[0]), 0))
                .isNotNull();
        assertThat(withOldKey.open(acceptsBoth.seal(2L, (byte) 0, new byte[0]), 0))
                .as("signed with the new key, opened with the old key alone")
                .isNull();
        assertThat(acceptsBoth.open(envelope(1, 102).seal(2L, (byte) 0, new byte[0]), 0))
                .as("unsigned")
                .isNull();
        assertThat(acceptsBoth.open(
                        new DatagramEnvelope(3, 1, List.of(NEW_KEY), PEERS).seal(2L, (byte) 0, new byte[0]), 0))
                .as("unknown sender")
                .isNull();
    }

    @Test
    void rejectsThreeHundredThousandCorruptedDatagrams() {
        assertCorruptedAreRejected(envelope(1, 100, OLD_KEY), envelope(2, 100, OLD_KEY), 300_000);
        assertCorruptedAreRejected(envelope(1, 100), envelope(2, 100), 300_000);
    }

    private static void assertCorruptedAreRejected(DatagramEnvelope sender, DatagramEnvelope receiver, int count) {
        SplittableRandom random = new SplittableRandom(5);
        for (int i = 0; i < count; i++) {
            byte[] datagram = sender.seal(2L, (byte) 1, new byte[20]);
            int position = random.nextInt(datagram.length);
            datagram[position] ^= (byte) (1 + random.nextInt(255));
            assertThat(receiver.open(
                            random.nextInt(5) == 0 ? Arrays.copyOf(datagram, random.nextInt(300)) : datagram, 0))
                    .isNull();
        }
        assertThat(receiver.open(sender.seal(2L, (byte) 1, new byte[20]), 0)).isNotNull();
        assertThatThrownBy(() -> sender.seal(2L, (byte) 1, new byte[DatagramEnvelope.MAX_PAYLOAD_BYTES + 1]))
                .isInstanceOf(IllegalArgumentException.class);
        assertThat(sender.seal(2L, (byte) 1, new byte[DatagramEnvelope.MAX_PAYLOAD_BYTES]).length)
                .isLessThanOrEqualTo(DatagramEnvelope.MAX_DATAGRAM_BYTES);
    }
}
