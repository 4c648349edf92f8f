package cacheproxy.faulttest;

import cacheproxy.faulttest.check.Event;

/** A request of the workload, which can be retried once after its connection was closed. */
final class WorkloadRequest {
    private final String id;
    private final String kind;
    private final String key;
    private final int rejections;
    private boolean retried;

    private WorkloadRequest(String id, String kind, String key, int rejections) {
        this.id = id;
        this.kind = kind;
        this.key = key;
        this.rejections = rejections;
    }

    /** A read of a key. */
    static WorkloadRequest read(String id, String key) {
        return new WorkloadRequest(id, Event.READ, key, 0);
    }

    /** A write of a key that no other request uses, with or without an idempotency key. */
    static WorkloadRequest write(String id, boolean keyed) {
        return new WorkloadRequest(id, keyed ? Event.KEYED_WRITE : Event.UNSAFE_WRITE, "w/" + id, 0);
    }

    /** The same request as its client sends it once more under a new id, after it was rejected. */
    WorkloadRequest retryAs(String newId) {
        return new WorkloadRequest(newId, kind, key, rejections + 1);
    }

    /** How often the request was rejected before, under other ids. */
    int rejections() {
        return rejections;
    }

    /** The id under which cache servers and the origin report what they do for the request. */
    String id() {
        return id;
    }

    /** The kind of the request, one of the details of {@link Event#REQUEST_SENT}. */
    String kind() {
        return kind;
    }

    /** The key that the request reads or writes. */
    String key() {
        return key;
    }

    /** Returns whether the request is a read. */
    boolean isRead() {
        return kind.equals(Event.READ);
    }

    /** Marks the request as retried; returns false if it already was, or if it must not be applied twice. */
    boolean markRetried() {
        if (retried || kind.equals(Event.UNSAFE_WRITE)) {
            return false;
        }
        retried = true;
        return true;
    }

    /** The command of the request, with a deadline in milliseconds. */
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
