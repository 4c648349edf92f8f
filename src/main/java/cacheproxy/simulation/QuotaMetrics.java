package cacheproxy.simulation;

import cacheproxy.fleet.quota.QuotaSpec;
import java.util.Arrays;

/** What a {@link QuotaSimulation} admits and rejects, by its true time. */
final class QuotaMetrics {
    private static final int MS_PER_SECOND = 1000;
    /** Seconds at the start whose idle quota does not count. */
    private static final int WARM_UP_SECONDS = 3;

    private final QuotaSpec quota;
    private final double durationMs;
    private double[] admittedAtMs = new double[1024];
    private int admitted;
    private long rejected;
    private int inFlight;
    private int maxInFlight;
    /** By second. */
    private final double[] rejectedBySecond;
    /** By second. */
    private final double[] admittedBySecond;

    QuotaMetrics(QuotaSpec quota, double durationMs) {
        this.quota = quota;
        this.durationMs = durationMs;
        rejectedBySecond = new double[(int) (durationMs / MS_PER_SECOND) + 2];
        admittedBySecond = new double[rejectedBySecond.length];
    }

    /** Records a request that was admitted. */
    void recordAdmitted(double nowMs) {
        admittedBySecond[(int) (nowMs / MS_PER_SECOND)]++;
        if (admitted == admittedAtMs.length) {
            admittedAtMs = Arrays.copyOf(admittedAtMs, admitted * 2);
        }
        admittedAtMs[admitted++] = nowMs;
    }

    /** Records a request that was rejected. */
    void recordRejected(double nowMs) {
        rejected++;
        rejectedBySecond[(int) (nowMs / MS_PER_SECOND)]++;
    }

    /** Records that an admitted request is in flight. */
    void recordBegin() {
        maxInFlight = Math.max(maxInFlight, ++inFlight);
    }

    /** Records that a request in flight has ended. */
    void recordEnd() {
        inFlight--;
    }

    /** Returns the figures at the end. */
    QuotaSimulation.Result result(double messagesPerSecond) {
        return new QuotaSimulation.Result(overshoot(), idleFraction(), admitted, rejected, messagesPerSecond);
    }

    private double[] overshoot() {
        double[] overshoot = new double[QuotaSimulation.WINDOWS_MS.length];
        if (quota.concurrent()) {
            overshoot[0] = maxInFlight - quota.amount();
            return overshoot;
        }
        for (int i = 0; i < overshoot.length; i++) {
            overshoot[i] = overshootIn(QuotaSimulation.WINDOWS_MS[i]);
        }
        return overshoot;
    }

    private double overshootIn(double windowMs) {
        double allowed = quota.amount() * windowMs / MS_PER_SECOND;
        double overshoot = Double.NEGATIVE_INFINITY;
        int first = 0;
        for (int last = 0; last < admitted; last++) {
            while (admittedAtMs[first] <= admittedAtMs[last] - windowMs) {
                first++;
            }
            overshoot = Math.max(overshoot, last - first + 1 - allowed);
        }
        return overshoot;
    }

    private double idleFraction() {
        int seconds = (int) (durationMs / MS_PER_SECOND);
        double[] idle = new double[seconds];
        if (!quota.concurrent()) {
            for (int second = 0; second < seconds; second++) {
                double unused = Math.max(0, quota.amount() - admittedBySecond[second]);
                idle[second] = Math.min(rejectedBySecond[second], unused) / quota.amount();
            }
        }
        return Arrays.stream(idle).skip(WARM_UP_SECONDS).average().orElse(0);
    }
}
