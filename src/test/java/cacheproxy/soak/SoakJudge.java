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

/** Holds a round's history against the invariants, from outside of the processes. */
final class SoakJudge {
    private static final double DEADLINE_SLACK_MS = 150;
    private static final double CLIENT_GONE_SLACK_MS = 100;
    private static final double ANSWER_SLACK_MS = 500;
    private static final double LIST_UPDATE_BOUND_MS = 6000;
    private static final double JUST_AFTER_PAUSE_MS = 50;
    /** A command that was sent this long before SIGTERM was there before it. */
    private static final double SENT_BEFORE_SIGTERM_MS = 20;
    /** For so long a close may be on its way, or a command unread on a proxy that is on time. */
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

    /** What was violated, a line each. */
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
            // The last byte went out while the client's thread was in its write: by the time that it came back, or that
            // the command came.
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

    /** The planned end that a request was cut in; null if it was not. */
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
     * Whether a proxy that ended as planned may have closed the connection before the command came. It can't have where
     * the command was there before SIGTERM, nor where the connection stayed open for long after the command was sent.
     */
    private boolean closedByShutdownBeforeArrival(Request request) {
        Shutdown shutdown = request.cutNanos == 0 ? null : shutdownThatCut(request);
        return shutdown != null
                && request.sentNanos > shutdown.requestedNanos() - SENT_BEFORE_SIGTERM_MS * NANOS_PER_MS
                && request.cutNanos - request.sentNanos < (CLOSE_IN_TRANSIT_MS + latenessMs) * NANOS_PER_MS;
    }

    /** Whether the process at the other end of its connection had ended before the command was sent. */
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
     * Whether a stop of the process, longer than what it may be held up for between its clock and its writing, struck
     * just there: then it told what was left when the stop began, of a request that had been sent before. One that was
     * sent while the stop was in force has no such excuse.
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
     * Whether a stop of the process leaves open whether the attempt had begun in time; it may have been written before
     * the stop.
     */
    private boolean pausedAfter(int proxy, long fromNanos) {
        return outageBetween(proxy, fromNanos, fromNanos + (long) (CLIENT_GONE_SLACK_MS * NANOS_PER_MS));
    }
}
