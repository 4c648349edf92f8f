package cacheproxy.fleet.quota;

import cacheproxy.simulation.QuotaSimulation.Fault;
import cacheproxy.simulation.QuotaSimulation.FaultKind;
import cacheproxy.simulation.QuotaSimulation.Plan;
import cacheproxy.simulation.QuotaSimulation.Scheme;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/** Creates seeded random plans for simulations: a quota, an uneven and changing demand, and faults. */
final class RandomQuotaPlan {
    private static final double DURATION_MS = 10_000;
    private static final double LONG_DELAY_MS = 5000;
    private static final double SHORT_DELAY_MS = 400;
    private static final double MAX_LOSS_RATE = 0.8;

    private static final List<FaultKind> FAULT_KINDS = List.of(FaultKind.values());

    private final SplittableRandom random;
    private final int proxies;

    private RandomQuotaPlan(long seed) {
        random = new SplittableRandom(seed);
        proxies = 2 + random.nextInt(8);
    }

    /** Returns the plan for a seed. */
    static Plan of(long seed, QuotaTiming timing) {
        return new RandomQuotaPlan(seed).plan(seed, timing);
    }

    private Plan plan(long seed, QuotaTiming timing) {
        QuotaSpec spec = spec();
        double[][] offered = offered(spec);
        List<Fault> faults = faults();
        double spanMs = 300 + random.nextDouble() * 3000;
        return new Plan(
                Scheme.DEALER, proxies, spec, timing, offered, spanMs, spec.maxHoldMs(), DURATION_MS, faults, seed);
    }

    private QuotaSpec spec() {
        boolean concurrent = random.nextInt(4) == 0;
        QuotaSpec.IsolationPolicy[] policies = QuotaSpec.IsolationPolicy.values();
        QuotaSpec.IsolationPolicy whenIsolated = policies[concurrent ? random.nextInt(2) * 2 : random.nextInt(3)];
        double holdMs = concurrent ? 50 + random.nextInt(600) : 0;
        double amount = concurrent ? 1 + random.nextInt(60) : 5 + random.nextInt(300);
        double burst = concurrent ? 0 : random.nextInt(30);
        double staticFraction = random.nextInt(3) == 0 ? random.nextDouble() : 1;
        return new QuotaSpec("l", concurrent, amount, burst, whenIsolated, staticFraction, holdMs);
    }

    /** Returns the requests per second, by time span and proxy. */
    private double[][] offered(QuotaSpec spec) {
        int spans = 1 + random.nextInt(4);
        double[][] offered = new double[spans][proxies];
        double perSecond = spec.concurrent() ? spec.amount() * 1000 / spec.maxHoldMs() : spec.amount();
        double total = perSecond * (0.5 + 4 * random.nextDouble());
        for (double[] span : offered) {
            double sum = 0;
            for (int i = 0; i < proxies; i++) {
                span[i] = Math.pow(random.nextDouble(), 6);
                sum += span[i];
            }
            for (int i = 0; i < proxies; i++) {
                span[i] *= total / sum;
            }
        }
        return offered;
    }

    private List<Fault> faults() {
        List<Fault> faults = new ArrayList<>();
        for (int count = random.nextInt(12); count > 0; count--) {
            faults.add(fault());
        }
        return faults;
    }

    private Fault fault() {
        FaultKind kind = FAULT_KINDS.get(random.nextInt(FAULT_KINDS.size()));
        double fraction = random.nextInt(4) == 0 ? 0.9 : 0.3;
        List<Integer> affected = IntStream.range(0, proxies)
                .filter(proxy -> random.nextDouble() < fraction)
                .boxed()
                .toList();
        double parameter = kind == FaultKind.DELAY ? delayMs() : random.nextDouble() * MAX_LOSS_RATE;
        double fromMs = 500 + random.nextDouble() * 7000;
        double position = random.nextDouble();
        double forMs = 50 + position * (random.nextInt(3) == 0 ? 5000 : 1200);
        return new Fault(kind, fromMs, forMs, affected, parameter);
    }

    private double delayMs() {
        return random.nextInt(3) == 0 ? LONG_DELAY_MS : SHORT_DELAY_MS;
    }
}
