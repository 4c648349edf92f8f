package cacheproxy.discovery;

import cacheproxy.policy.Endpoint;
import cacheproxy.policy.EndpointState;
import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

/**
 * Decides when to poll discovery because the endpoint list may be stale although the long poll reports nothing. A long
 * poll that has silently failed looks like one without changes until its wait is over, and by then a rolling update may
 * have replaced half the fleet. Two signals distinguish the two cases:
 *
 * <ul>
 *   <li>Servers listed as ready refuse connections. Discovery reports within a known delay that a process has ended, so
 *       silence beyond that is suspicious; after refusals by many servers a shorter delay is enough. Each poll that
 *       brings no change of these servers doubles the delay of the next one, because a server may stay down and listed.
 *   <li>Another proxy has a newer version ({@link VersionGossip}). Each poll that does not return that version doubles
 *       the delay. After {@link #MAX_POLLS_PER_CLAIM} polls the claim is considered false, and all claims are ignored
 *       for a while.
 * </ul>
 *
 * <p>All proxies see the same signals at about the same time; each adds a different stagger delay, so that discovery
 * does not receive all their polls at once. The state is bounded by two entries for each listed server.
 */
public final class SilentWatchDetector {
    /** Maximum number of polls for a version that only other proxies claim to have. */
    static final int MAX_POLLS_PER_CLAIM = 4;

    private static final int MAX_DOUBLINGS = 4;
    /** Minimum number of refusing servers that counts as many. */
    private static final int MIN_MANY_SERVERS = 3;
    /** Refusals by at least one in this many ready servers count as many. */
    private static final int MANY_SERVERS_DIVISOR = 10;

    private static final double NEVER = Double.POSITIVE_INFINITY;

    private final double reportDelayMs;
    private final double shortReportDelayMs;
    private final double staggerMs;
    private final Set<Integer> readyServers = new HashSet<>();
    /** Ready servers that have refused a connection, and accepted none, since the last response or poll. */
    private final Set<Integer> refusingServers = new HashSet<>();

    private double firstRefusalAtMs = NEVER;
    private double manyRefusalsAtMs = NEVER;
    private int refusalDoublings;
    /** Since when another proxy claims to have a newer version. */
    private double staleSinceMs = NEVER;

    private long claimedVersion = Long.MIN_VALUE;
    private int claimPolls;
    private double ignoreClaimsUntilMs = Double.NEGATIVE_INFINITY;

    /**
     * Creates a detector for an empty list.
     *
     * @param reportDelayMs how long discovery may take to report that a process has ended
     * @param shortReportDelayMs the delay used instead if many processes have ended, or if another proxy has a newer
     *     version
     * @param staggerMs the time that is added to both delays, different at each proxy
     */
    public SilentWatchDetector(double reportDelayMs, double shortReportDelayMs, double staggerMs) {
        this.reportDelayMs = reportDelayMs;
        this.shortReportDelayMs = shortReportDelayMs;
        this.staggerMs = staggerMs;
    }

    /**
     * Handles a response of discovery.
     *
     * @param version the version of the list
     * @param full whether {@code members} is the full list; otherwise it contains the changes, possibly none
     */
    public void listReceived(long version, boolean full, Collection<Endpoint> members) {
        if (version >= claimedVersion) {
            resetClaims();
        }
        if (full) {
            readyServers.clear();
        }
        for (Endpoint member : members) {
            if (member.state() == EndpointState.READY) {
                readyServers.add(member.id());
            } else {
                readyServers.remove(member.id());
            }
            if (refusingServers.contains(member.id())) {
                refusalDoublings = 0;
            }
        }
        clearRefusals();
    }

    /** Records that a server has refused a connection. */
    public void connectionRefused(double nowMs, int server) {
        if (readyServers.contains(server) && refusingServers.add(server)) {
            firstRefusalAtMs = Math.min(firstRefusalAtMs, nowMs);
            manyRefusalsAtMs = manyServersRefuse() ? Math.min(manyRefusalsAtMs, nowMs) : NEVER;
        }
    }

    /** Records that a server has accepted a connection, so its process is running. */
    public void connected(int server) {
        if (refusingServers.remove(server)) {
            firstRefusalAtMs = refusingServers.isEmpty() ? NEVER : firstRefusalAtMs;
            manyRefusalsAtMs = manyServersRefuse() ? manyRefusalsAtMs : NEVER;
        }
    }

    /** Records that another proxy claims to have a version newer than this proxy's. */
    public void versionClaimed(double nowMs, long version) {
        if (version > claimedVersion && nowMs >= ignoreClaimsUntilMs) {
            claimedVersion = version;
            staleSinceMs = Math.min(staleSinceMs, nowMs);
        }
    }

    /** Forgets the versions that other proxies claim to have, for example when discovery restarts its numbering. */
    public void resetClaims() {
        claimedVersion = Long.MIN_VALUE;
        staleSinceMs = NEVER;
        claimPolls = 0;
    }

    /**
     * Returns when to poll if discovery has not responded by then; infinite if there is no reason to poll. Calls of
     * other methods can make this time earlier or later.
     */
    public double nextPollAtMs() {
        double refusalPollMs = Math.min(
                firstRefusalAtMs + reportDelayMs * (1 << refusalDoublings),
                manyRefusalsAtMs + shortReportDelayMs * (1 << refusalDoublings));
        double claimPollMs = staleSinceMs + shortReportDelayMs * (1 << claimPolls);
        return Math.min(refusalPollMs, claimPollMs) + staggerMs;
    }

    /** Returns whether a poll is due now; if so, the caller must send it. */
    public boolean takeDuePoll(double nowMs) {
        if (nowMs < nextPollAtMs()) {
            return false;
        }
        if (firstRefusalAtMs < NEVER) {
            refusalDoublings = Math.min(MAX_DOUBLINGS, refusalDoublings + 1);
        }
        clearRefusals();
        if (staleSinceMs < NEVER) {
            countClaimPoll(nowMs);
        }
        return true;
    }

    private void countClaimPoll(double nowMs) {
        staleSinceMs = nowMs; // the new poll may fail silently as well
        claimPolls++;
        if (claimPolls == MAX_POLLS_PER_CLAIM) {
            resetClaims();
            ignoreClaimsUntilMs = nowMs + reportDelayMs * (1 << MAX_DOUBLINGS);
        }
    }

    private boolean manyServersRefuse() {
        return refusingServers.size() >= Math.max(MIN_MANY_SERVERS, readyServers.size() / MANY_SERVERS_DIVISOR);
    }

    private void clearRefusals() {
        refusingServers.clear();
        firstRefusalAtMs = NEVER;
        manyRefusalsAtMs = NEVER;
    }
}
