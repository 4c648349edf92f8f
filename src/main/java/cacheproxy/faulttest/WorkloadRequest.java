package cacheproxy.faulttest;

import cacheproxy.faulttest.check.Event;

/** A request of the workload, which may be sent a second time. */
final class WorkloadRequest {
    private final String id;
    private final String kind;
    private final String key;
    private boolean retried;

    private WorkloadRequest(String id, String kind, String key) {
        this.id = id;
        this.kind = kind;
        this.key = key;
    }

    /** A read of a key. */
    static WorkloadRequest read(String id, String key) {
        return new WorkloadRequest(id, Event.READ, key);
    }

    /** A write of a key of its own, with an idempotency key or without one. */
    static WorkloadRequest write(String id, boolean keyed) {
        return new WorkloadRequest(id, keyed ? Event.KEYED_WRITE : Event.UNSAFE_WRITE, "w/" + id);
    }

    /** Its id, by which cache servers and the origin report what they do for it. */
    String id() {
        return id;
    }

    /** Its kind, one of the details of {@link Event#REQUEST_SENT}. */
    String kind() {
        return kind;
    }

    /** The key that it reads or writes. */
    String key() {
        return key;
    }

    /** Whether it reads. */
    boolean isRead() {
        return kind.equals(Event.READ);
    }

    /** Marks it as retried; returns false if it was before, or if it must not be applied twice. */
    boolean markRetried() {
        if (retried || kind.equals(Event.UNSAFE_WRITE)) {
            return false;
        }
        retried = true;
        return true;
    }

    /** Its command, with a deadline in milliseconds. */
    String command(int deadlineMs) {
        String options = ",d=" + deadlineMs;
        return switch (kind) {
            case Event.READ -> "mg " + key + " v O" + id + " Pc=read" + options + "\r\n";
            case Event.KEYED_WRITE ->
                "ms " + key + " " + id.length() + " O" + id + " Pc=put" + options + ",k=" + id + "\r\n" + id + "\r\n";
            default -> "ms " + key + " " + id.length() + " O" + id + " Pc=submit" + options + "\r\n" + id + "\r\n";
        };
    }
}
