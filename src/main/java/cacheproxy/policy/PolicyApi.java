package cacheproxy.policy;

import java.util.List;

/** What the decision module is told and what it can order: its settings, events and actions. */
public interface PolicyApi {

    /** How often a request may take effect. */
    enum Effect {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** The servers that drop a repeat of a keyed request: all, those of one zone, or those of one cell. */
    enum Group {
        ALL,
        ZONE,
        CELL
    }

    /** Where load reports come from. */
    enum Reports {
        NONE,
        WITH_ANSWERS,
        BY_PROBE
    }

    /** State of a server on the list. */
    enum State {
        GONE,
        DRAINING,
        READY
    }

    /** What a list event carries. {@code FAILED}: a call for the list failed, no entries. */
    enum ListKind {
        FULL,
        CHANGES,
        CACHED,
        FAILED
    }

    /** How an attempt ended. */
    enum Outcome {
        OK(true),
        MISS(false),
        ERROR(true),
        FULL(false),
        TIMEOUT(true),
        CONNECT_FAILED(false),
        RESET(true),
        CANCELLED(true),
        NOT_SENT(false);

        private final boolean mayHaveRun;

        Outcome(boolean mayHaveRun) {
            this.mayHaveRun = mayHaveRun;
        }

        /** Whether the request may have taken effect (or may yet). */
        public boolean mayHaveRun() {
            return mayHaveRun;
        }
    }

    /** A class of requests; times in milliseconds. */
    record ServiceClass(
            String name,
            Effect effect,
            Group group,
            double windowMs,
            double aimMs,
            double deadlineMs,
            double worth,
            double lateShare,
            boolean stream) {}

    /** A tenant and the rate, over all instances, that is within its share. */
    record Tenant(String name, double share, double quotaPerSecond) {}

    /** One server of the list. {@code bornMs}: when it last started, 0 if long ago. */
    record Member(int id, int zone, int kind, int cell, State state, float weight, double bornMs) {}

    record Settings(
            int me,
            int instances,
            int zone,
            int zones,
            int kinds,
            boolean askForList,
            boolean aside,
            int originKind,
            Reports reports,
            List<String> reportNames,
            boolean worthByWork,
            double overShareWorth,
            boolean mayCancel,
            boolean mayProbe,
            boolean peers,
            boolean secondCopies,
            boolean retryAdvice,
            int maxAttempts,
            double maxRetryAfterMs,
            double connectTimeoutMs,
            double drainGraceMs,
            double answerGraceMs,
            double startCapacity,
            double warmUpMs,
            double tipMultiple,
            double fallMs,
            double askWithinMs,
            double originFallMultiple,
            double originFallMs,
            List<ServiceClass> classes,
            List<Tenant> tenants) {}

    /** A request taken from a client; key 0: none; cost hint NaN: none; due: when the client gives up. */
    record Request(
            int id,
            int serviceClass,
            int tenant,
            long key,
            double dueMs,
            double costMs,
            float bytes,
            boolean write,
            boolean repeat) {}

    /** The end of an attempt. {@code over}: the request has had its final answer; report: null if none. */
    @SuppressWarnings("ArrayRecordComponent") // the arrays are read only, and instances are not compared
    record AttemptEnd(
            int request,
            int attempt,
            int server,
            Outcome outcome,
            double elapsedMs,
            boolean over,
            int note,
            float[] report) {}

    int NOTE_FETCH_OUT = 3;

    /** Where the module's orders go. They are carried out in order, at the time of the event. */
    interface Actions {
        void place(int request, int server, double timeoutMs);

        /** Final answer: turned away, a retry is harmless. Advice 0: none. */
        void deny(int request, double retryAfterMs);

        /** Final answer: failed, nothing promised. */
        void fail(int request);

        /** Stops waiting for an attempt. */
        void cancel(int request, int attempt);

        /** Asks for {@link PolicyApi#onTimer} after this time. */
        void setTimer(double afterMs, int token);

        /** Asks siblings about a request's key; {@link PolicyApi#onSibling} tells of the first that has it. */
        default void ask(int request, double waitMs) {}

        /** Tests a server. */
        void probe(int server);

        void closeIdle(int server);

        /** Sends bytes to another instance; -1: to all. */
        void tell(int peer, byte[] message);

        /** Subscribes to changes of the list, or ends that. */
        void watch(boolean on);

        /** Asks for the whole list once. */
        void fetchList();

        /** A line for the operators. */
        void log(String line);
    }

    /** News of the list of servers. */
    void onList(double now, ListKind kind, List<Member> members, Actions out);

    /** A client's request; the instance now owes exactly one final answer. */
    void onRequest(double now, Request request, Actions out);

    /** A streamed answer has begun. */
    void onFirstByte(double now, int request, int attempt, int server, Actions out);

    /** An attempt has ended. */
    void onAttemptEnd(double now, AttemptEnd end, Actions out);

    /** The client has left; no answer is owed. */
    void onGone(double now, int request, Actions out);

    /** A timer has come due. */
    void onTimer(double now, int token, Actions out);

    /** The result of a probe. */
    void onProbed(double now, int server, Outcome outcome, double elapsedMs, float[] report, Actions out);

    /** A sibling says that it has the key of a request whose siblings were asked; 0: all of them say they lack it. */
    default void onSibling(double now, int request, int sibling, Actions out) {}

    /** A message of another instance. */
    void onPeer(double now, int peer, byte[] message, Actions out);
}
