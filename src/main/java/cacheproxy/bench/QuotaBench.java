package cacheproxy.bench;

import cacheproxy.fleet.quota.QuotaSpec;
import cacheproxy.fleet.quota.QuotaTiming;
import cacheproxy.simulation.QuotaSimulation;
import cacheproxy.simulation.QuotaSimulation.Plan;
import cacheproxy.simulation.QuotaSimulation.Result;
import cacheproxy.simulation.QuotaSimulation.Scheme;
import java.io.PrintWriter;
import java.util.Arrays;
import java.util.DoubleSummaryStatistics;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;

/** Ways of sharing a quota beside one another, on virtual time, and what a quota costs one proxy. */
final class QuotaBench {
    /** Timing of the quotas in all measurements. */
    static final QuotaTiming TIMING = new QuotaTiming(1000, 0.01);

    private static final int[] PROXY_COUNTS = {8, 50, 200, 1000};
    /** With more proxies, the schemes that exchange messages among all of them are left out. */
    private static final int MAX_PROXIES_OF_ALL_SCHEMES = 50;
    /** With more proxies, quotas that are not shared in isolation are left out. */
    private static final int MAX_PROXIES_OF_ALL_POLICIES = 200;

    private static final double MIN_PER_SECOND = 200;
    private static final double SPAN_MS = 1000;
    private static final double BOUND_WINDOW_MS = 1000;
    private static final int ONE_SECOND_WINDOW = 1;

    private final PrintWriter out;

    QuotaBench(PrintWriter out) {
        this.out = out;
    }

    /** Simulates all cases with so many seeds each, then measures the cost. */
    void run(int seeds) {
        out.println(
                "limits: over by requests in 1 s (bound), part idle while as much is refused from 3 s on, messages a second a proxy; means of "
                        + seeds + " seeds");
        for (int proxies : PROXY_COUNTS) {
            compare(proxies, QuotaSpec.IsolationPolicy.SHARE, seeds);
            if (proxies <= MAX_PROXIES_OF_ALL_POLICIES) {
                compare(proxies, QuotaSpec.IsolationPolicy.NONE, seeds);
            }
        }
        new QuotaCostBench(out).run();
    }

    private void compare(int proxies, QuotaSpec.IsolationPolicy policy, int seeds) {
        double perSecond = Math.max(MIN_PER_SECOND, 10 * proxies);
        QuotaSpec quota = new QuotaSpec("l", false, perSecond, perSecond / 10, policy, 1, 0);
        out.printf(
                Locale.ROOT,
                "%d proxies, %.0f a second, three times that wanted, alone: %s; bound %.1f%n",
                proxies,
                perSecond,
                policy,
                QuotaSimulation.maxOvershoot(quota, TIMING, proxies, BOUND_WINDOW_MS));
        List<Scheme> schemes = Arrays.stream(Scheme.values())
                .filter(scheme -> isCompared(scheme, proxies, policy))
                .toList();
        for (QuotaCase quotaCase : QuotaCase.all(proxies, perSecond)) {
            StringBuilder line = new StringBuilder(String.format("  %-22s", quotaCase.name()));
            for (Scheme scheme : schemes) {
                line.append(describe(scheme, simulate(scheme, proxies, quota, quotaCase, seeds)));
            }
            out.println(line);
            out.flush();
        }
    }

    private static boolean isCompared(Scheme scheme, int proxies, QuotaSpec.IsolationPolicy policy) {
        if (proxies > MAX_PROXIES_OF_ALL_SCHEMES && (scheme == Scheme.PEERS || scheme == Scheme.GOSSIP)) {
            return false;
        }
        return policy != QuotaSpec.IsolationPolicy.NONE || scheme == Scheme.DEALER;
    }

    private static Result[] simulate(Scheme scheme, int proxies, QuotaSpec quota, QuotaCase quotaCase, int seeds) {
        return IntStream.rangeClosed(1, seeds)
                .parallel()
                .mapToObj(seed -> QuotaSimulation.run(new Plan(
                        scheme,
                        proxies,
                        quota,
                        TIMING,
                        quotaCase.offered(),
                        SPAN_MS,
                        0,
                        QuotaCase.END_MS,
                        quotaCase.faults(),
                        seed)))
                .toArray(Result[]::new);
    }

    private static String describe(Scheme scheme, Result[] results) {
        DoubleSummaryStatistics idle = summarize(results, Result::idleFraction);
        return String.format(
                Locale.ROOT,
                " %s %.0f, %.3f (%.3f to %.3f), %.1f;",
                scheme.name().toLowerCase(Locale.ROOT),
                summarize(results, result -> result.overshoot()[ONE_SECOND_WINDOW])
                        .getMax(),
                idle.getAverage(),
                idle.getMin(),
                idle.getMax(),
                summarize(results, Result::messagesPerSecond).getAverage());
    }

    private static DoubleSummaryStatistics summarize(Result[] results, ToDoubleFunction<Result> figure) {
        return Arrays.stream(results).mapToDouble(figure).summaryStatistics();
    }
}
