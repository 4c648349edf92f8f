package cacheproxy.fleet.peer;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.zip.CRC32C;

/**
 * Compares this proxy's list of peers with the lists that the others report.
 *
 * <p>A list is changed in two steps: first all proxies use the old and the new list jointly, then the new one alone.
 * The second step is safe only when every proxy has taken the first. The comparison only serves for warnings: if it
 * blocked anything, a single wrong configuration would end the leases of all proxies.
 */
public final class PeerListTransition {
    /** Length of a report in bytes. */
    public static final int MESSAGE_BYTES = 16;
    /** Age above which a report is ignored, in ms. */
    public static final double REPORT_EXPIRY_MS = 60_000;

    private static final long NO_LIST = 0;

    private record Report(double receivedMs, long currentDigest, long previousDigest) {}

    private long currentDigest;
    private long previousDigest;
    private final Map<Long, Report> reports = new HashMap<>();

    /**
     * Sets the lists that this proxy uses.
     *
     * @param currentList the current list
     * @param previousList the list that is being replaced; empty if no change is in progress
     * @param peers the ids of the peers whose reports are kept
     */
    public void update(Set<String> currentList, Set<String> previousList, Set<Long> peers) {
        currentDigest = digest(currentList);
        previousDigest = previousList.isEmpty() ? NO_LIST : digest(previousList);
        reports.keySet().retainAll(peers);
    }

    /**
     * Returns the number of names and the CRC-32C of the sorted names; every list has a name, so the digest is never
     * {@link #NO_LIST}.
     */
    private static long digest(Set<String> names) {
        CRC32C crc = new CRC32C();
        for (String name : new TreeSet<>(names)) {
            crc.update((name + "\n").getBytes(StandardCharsets.UTF_8));
        }
        return (long) names.size() << 32 | crc.getValue();
    }

    /** Returns this proxy's report to the others: digests of the current and of the previous list. */
    public byte[] encodeReport() {
        return ByteBuffer.allocate(MESSAGE_BYTES)
                .putLong(currentDigest)
                .putLong(previousDigest)
                .array();
    }

    /** Records a peer's report; ignored if its length is wrong. */
    public void receive(double nowMs, long peer, byte[] message) {
        if (message.length == MESSAGE_BYTES) {
            ByteBuffer buffer = ByteBuffer.wrap(message);
            reports.put(peer, new Report(nowMs, buffer.getLong(), buffer.getLong()));
        }
    }

    /** Returns how a peer's lists relate to this proxy's, according to the peer's last report. */
    public PeerListRelation relationOf(long peer, double nowMs) {
        Report report = reports.get(peer);
        if (report == null || nowMs - report.receivedMs > REPORT_EXPIRY_MS) {
            return PeerListRelation.UNKNOWN;
        }
        if (report.currentDigest == currentDigest && report.previousDigest == previousDigest) {
            return PeerListRelation.SAME;
        }
        boolean oneStepApart =
                isOneStepAhead(currentDigest, previousDigest, report.currentDigest, report.previousDigest)
                        || isOneStepAhead(report.currentDigest, report.previousDigest, currentDigest, previousDigest);
        return oneStepApart ? PeerListRelation.ONE_STEP_APART : PeerListRelation.DIFFERENT;
    }

    /**
     * Returns whether the first proxy is in the middle of a change of lists that the other proxy has not begun, or has
     * completed.
     */
    private static boolean isOneStepAhead(long current, long previous, long otherCurrent, long otherPrevious) {
        boolean onlyOneIsChanging = previous != NO_LIST && otherPrevious == NO_LIST;
        return onlyOneIsChanging && (otherCurrent == previous || otherCurrent == current);
    }
}
