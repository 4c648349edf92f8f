package cacheproxy.faulttest.check;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Checks that each request that a proxy has accepted gets one final response, in time, also during a graceful shutdown.
 *
 * <p>Requests in flight at a process that was killed are excused, and the time for which a process was paused does not
 * count. A graceful shutdown can close a connection while a new request is on its way; that request must then not have
 * been forwarded.
 */
public final class SingleResponseChecker implements Checker {
    /** How much later than its deadline a response may come. */
    private static final long SLACK_US = 550_000;
    /**
     * Limit on the time between the events of a kill and of the reset connections that it causes, which are noticed by
     * two threads.
     */
    private static final long MAX_NOTICE_SKEW_US = 100_000;

    @Override
    public String name() {
        return "one-answer";
    }

    @Override
    public Violations check(RunHistory run) {
        HistoryCheck historyCheck = new HistoryCheck(run);
        run.events().forEach(historyCheck::process);
        historyCheck.findUnanswered();
        return historyCheck.violations;
    }

    /** A request and its state so far. */
    private static final class Request {
        final Event sent;
        boolean concluded;
        boolean connectionClosed;
        boolean forwarded;

        Request(Event sent) {
            this.sent = sent;
        }

        String proxy() {
            return sent.endpoint();
        }

        /** The time from when the request was sent to its deadline. */
        long deadlineUs() {
            return (long) (sent.value() * 1000);
        }

        long ageMs(Event event) {
            return (event.timeUs() - sent.timeUs()) / 1000;
        }

        String description() {
            return sent.id() + " at " + sent.endpoint();
        }
    }

    /** One pass over a history. */
    private static final class HistoryCheck {
        final Violations violations = new Violations();
        private final RunHistory run;
        private final Map<String, Request> requests = new HashMap<>();
        private final Set<String> answered = new HashSet<>();

        HistoryCheck(RunHistory run) {
            this.run = run;
        }

        void process(Event event) {
            Request request = requests.get(event.id());
            switch (event.type()) {
                case Event.REQUEST_SENT -> {
                    violations.countJudged();
                    requests.put(event.id(), new Request(event));
                }
                case Event.COMMAND_ARRIVED, Event.WRITE_APPLIED -> {
                    if (request != null) {
                        request.forwarded = true;
                    }
                }
                case Event.RESPONSE_RECEIVED -> checkResponse(request, event);
                case Event.CONNECTION_CLOSED -> checkClose(request, event);
                case Event.CLIENT_TIMED_OUT -> checkTimeout(request, event);
                default -> {}
            }
        }

        private void checkResponse(Request request, Event response) {
            String text = response.id() + " at " + response.endpoint();
            if (response.detail().equals(Event.WRONG)) {
                violations.add(response, text + " was answered with what nobody made for it");
            }
            if (!answered.add(response.id())) {
                violations.add(response, response.id() + " was answered twice");
                return;
            }
            if (request == null) {
                violations.add(response, response.id() + " was answered and never asked");
                return;
            }
            request.concluded = true;
            long lateUs = response.earliestUs() - request.sent.timeUs() - request.deadlineUs() - SLACK_US;
            if (lateUs > 0 && !isExcused(request, response)) {
                violations.add(response, text + " had its answer after " + request.ageMs(response) + " ms");
            }
        }

        private void checkClose(Request request, Event close) {
            if (request == null || request.concluded) {
                return;
            }
            request.connectionClosed = true;
            String proxy = close.endpoint();
            long fromUs = close.earliestUs() - MAX_NOTICE_SKEW_US;
            if (run.wasKilled(proxy, fromUs, close.timeUs() + MAX_NOTICE_SKEW_US)) {
                return;
            }
            if (!run.wasDown(proxy, fromUs, close.timeUs()) || request.forwarded) {
                violations.add(close, close.id() + " at " + proxy + " lost its connection, with no whole answer");
            }
        }

        private void checkTimeout(Request request, Event timeout) {
            if (request == null) {
                return;
            }
            if (!request.concluded && !isExcused(request, timeout)) {
                violations.add(
                        timeout,
                        timeout.id() + " at " + timeout.endpoint() + " had no answer " + request.ageMs(timeout)
                                + " ms after it was sent");
            }
            request.concluded = true;
        }

        /** Finds requests that had neither a response nor a closed connection when the history ended. */
        void findUnanswered() {
            for (Request request : requests.values()) {
                // Only a kill before the request was due excuses it, as all processes are killed at the run's end.
                long dueUs = request.sent.timeUs() + request.deadlineUs() + SLACK_US;
                if (!request.concluded
                        && !request.connectionClosed
                        && run.endUs() > dueUs
                        && !run.wasKilled(request.proxy(), request.sent.earliestUs(), dueUs)
                        && !isExcusedByPause(request, run.endUs())) {
                    violations.add(request.sent, request.description() + " never had an answer");
                }
            }
        }

        private boolean isExcused(Request request, Event event) {
            return run.wasKilled(request.proxy(), request.sent.earliestUs(), event.timeUs())
                    || isExcusedByPause(request, event.earliestUs());
        }

        /** Returns whether a request is in time after the time for which its proxy was paused is subtracted. */
        private boolean isExcusedByPause(Request request, long untilUs) {
            long pausedUs = run.pausedUs(request.proxy(), request.sent.earliestUs(), untilUs);
            return pausedUs > 0 && untilUs - request.sent.timeUs() - pausedUs < request.deadlineUs() + SLACK_US;
        }
    }
}
