package cacheproxy.soak;

import cacheproxy.soak.SoakHistory.Arrival;
import cacheproxy.soak.SoakHistory.Effect;
import cacheproxy.soak.SoakHistory.Outage;
import cacheproxy.soak.SoakHistory.ProcessExit;
import cacheproxy.soak.SoakHistory.Request;
import cacheproxy.soak.SoakHistory.Shutdown;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Checks the history of a round, which was recorded outside of the processes, against the invariants. */
final class SoakJudge {
    private static final double DEADLINE_SLACK_MS = 150;
    private static final double CLIENT_GONE_SLACK_MS = 100;
    private static final double ANSWER_SLACK_MS = 500;
    private static final double LIST_UPDATE_BOUND_MS = 6000;
    private static final double JUST_AFTER_PAUSE_MS = 50;
    /** A command that was sent at least this long before SIGTERM is assumed to have arrived before it. */
    private static final double SENT_BEFORE_SIGTERM_MS = 20;
    /**
     * The longest time that a close can be in transit, or that a command can remain unread at a proxy that is not late.
     */
    private static final double CLOSE_IN_TRANSIT_MS = 50;

    private static final double NANOS_PER_MS = 1e6;

    private final SoakHistory history;
    private final double drainGraceMs;
    private final double latenessMs;
    private final List<String> violations = new ArrayList<>();

    private SoakJudge(SoakHistory history, double drainGraceMs) {
        this.history = history;
        this.drainGraceMs = drainGraceMs;
        latenessMs = history.maxLatenessNanos / NANOS_PER_MS;
    }

    /** Returns one line for each violation. */
    static List<String> violations(SoakHistory history, double drainGraceMs) {
        SoakJudge judge = new SoakJudge(history, drainGraceMs);
        judge.judgeArrivals();
        judge.judgeAnswers();
        judge.violations.addAll(history.errors);
        return judge.violations;
    }

    private void judgeArrivals() {
        Map<String, Integer> effectCounts = new HashMap<>();
        for (Arrival arrival : history.arrivals) {
            Request request = history.requests.get(arrival.id());
            if (request == null) {
                violations.add("unknown request: " + arrival);
                continue;
            }
            // The last byte was sent during the client's write call, so at the latest when the call returned or when
            // the command arrived.
            double ageMs =
                    request.sentNanos == 0 ? 0 : Math.max(0, (arrival.atNanos() - request.sentNanos) / NANOS_PER_MS);
            double remainingMs = request.deadlineMs - ageMs;
            if (arrival.deadlineMs() > remainingMs + DEADLINE_SLACK_MS + latenessMs
                    && !computedBeforePause(arrival, request)) {
                violations.add("deadline: %s was told %.0f ms at %s by n%d, its client had %.0f of %d left"
                        .formatted(
                                arrival.id(),
                                arrival.deadlineMs(),
                                arrival.server(),
                                request.proxy,
                                remainingMs,
                                request.deadlineMs));
            }
            if (request.closedNanos != 0
                    && arrival.atNanos() - request.closedNanos > (CLIENT_GONE_SLACK_MS + latenessMs) * NANOS_PER_MS
                    && !pausedAfter(request.proxy, request.closedNanos)) {
                violations.add("client gone: %s came to %s %.0f ms after its client had closed"
                        .formatted(
                                arrival.id(),
                                arrival.server(),
                                (arrival.atNanos() - request.closedNanos) / NANOS_PER_MS));
            }
            Long drainedNanos = history.drainedNanos.get(arrival.server());
            if (drainedNanos != null
                    && arrival.atNanos() - drainedNanos
                            > (LIST_UPDATE_BOUND_MS + drainGraceMs + latenessMs) * NANOS_PER_MS) {
                violations.add("drain: %s came to %s %.0f ms after its change"
                        .formatted(arrival.id(), arrival.server(), (arrival.atNanos() - drainedNanos) / NANOS_PER_MS));
            }
            if (arrival.takesEffect()
                    && request.effect == Effect.SINGLE
                    && effectCounts.merge(arrival.id(), 1, Integer::sum) > 1) {
                violations.add("effect twice: " + arrival.id());
            }
        }
    }

    private void judgeAnswers() {
        for (Request request : history.requests.values()) {
            if (request.sentNanos == 0 || request.closedNanos != 0) {
                continue;
            }
            long dueNanos = request.sentNanos
                    + (long) ((request.orderedDeadlineMs + ANSWER_SLACK_MS + latenessMs) * NANOS_PER_MS);
            boolean answered = request.answeredNanos != 0 && request.answeredNanos <= dueNanos;
            if (!answered
                    && !outageBetween(request.proxy, request.writeStartNanos, dueNanos)
                    && !closedByShutdownBeforeArrival(request)
                    && !sentToExitedProcess(request)) {
                violations.add("no answer: %s by n%d%s, %s"
                        .formatted(
                                request.id,
                                request.proxy,
                                shutdownThatCut(request) == null ? "" : " in its planned end",
                                request.cutNanos != 0
                                        ? "cut after %.0f ms"
                                                .formatted((request.cutNanos - request.sentNanos) / NANOS_PER_MS)
                                        : request.answeredNanos != 0
                                                ? "late, after %.0f ms of %d"
                                                        .formatted(
                                                                (request.answeredNanos - request.sentNanos)
                                                                        / NANOS_PER_MS,
                                                                request.deadlineMs)
                                                : "silence"));
            }
        }
    }

    /** Returns the planned shutdown in which a request was cut; null if there is none. */
    private Shutdown shutdownThatCut(Request request) {
        for (Shutdown shutdown : history.shutdowns) {
            if (shutdown.proxy() == request.proxy
                    && request.cutNanos >= shutdown.requestedNanos()
                    && request.writeStartNanos <= shutdown.endedNanos()
                    && request.cutNanos - shutdown.endedNanos() <= (CLOSE_IN_TRANSIT_MS + latenessMs) * NANOS_PER_MS) {
                return shutdown;
            }
        }
        return null;
    }

    /**
     * Returns whether a proxy in a planned shutdown can have closed the connection before the command arrived. That is
     * ruled out if the command arrived before SIGTERM, or if the connection stayed open for long after the command was
     * sent.
     */
    private boolean closedByShutdownBeforeArrival(Request request) {
        Shutdown shutdown = request.cutNanos == 0 ? null : shutdownThatCut(request);
        return shutdown != null
                && request.sentNanos > shutdown.requestedNanos() - SENT_BEFORE_SIGTERM_MS * NANOS_PER_MS
                && request.cutNanos - request.sentNanos < (CLOSE_IN_TRANSIT_MS + latenessMs) * NANOS_PER_MS;
    }

    /** Returns whether the process at the other end of the connection had exited before the command was sent. */
    private boolean sentToExitedProcess(Request request) {
        for (ProcessExit exit : history.processExits) {
            if (exit.proxy() == request.proxy
                    && request.connectedNanos < exit.endedNanos()
                    && request.writeStartNanos > exit.endedNanos()) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns whether a pause of the process explains the reported deadline: the pause fell between the proxy's reading
     * of the clock and its write, and was longer than the slack allowed there. The proxy then reports the time that was
     * left when the pause began. This excuses only a request that was sent before the pause was in force.
     */
    private boolean computedBeforePause(Arrival arrival, Request request) {
        for (Outage outage : history.outages) {
            double heldBeforeMs = Math.max(0, (outage.fromNanos() - request.sentNanos) / NANOS_PER_MS);
            if (outage.proxy() == request.proxy
                    && request.sentNanos != 0
                    && request.sentNanos < outage.inForceNanos()
                    && arrival.atNanos() > outage.fromNanos()
                    && arrival.atNanos() - outage.toNanos() < JUST_AFTER_PAUSE_MS * NANOS_PER_MS
                    && arrival.deadlineMs() <= request.deadlineMs - heldBeforeMs + DEADLINE_SLACK_MS) {
                return true;
            }
        }
        return false;
    }

    private boolean outageBetween(int proxy, long fromNanos, long toNanos) {
        for (Outage outage : history.outages) {
            if (outage.proxy() == proxy && outage.fromNanos() < toNanos && outage.toNanos() > fromNanos) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns whether the process was paused just after {@code fromNanos}: the attempt may then have been written in
     * time, before the pause.
     */
    private boolean pausedAfter(int proxy, long fromNanos) {
        return outageBetween(proxy, fromNanos, fromNanos + (long) (CLIENT_GONE_SLACK_MS * NANOS_PER_MS));
    }
}
