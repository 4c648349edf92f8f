package cacheproxy.proxy.request;

import io.netty.buffer.ByteBuf;

/**
 * A client's request: its key, id, attributes and value, and the command line that cache servers get. If the client
 * uses the grammar of cache servers, that line is the client's own line except for the deadline.
 *
 * <p>{@link RequestValidator#resolve} sets class, tenant, times and hints from the attributes. Times are milliseconds
 * of {@link RequestAccounting#nowMs}. The request is reference-counted for its value; it belongs to one thread at a
 * time.
 */
public final class ClientRequest {
    /** The length of {@code mg} or {@code ms} and the space after it. */
    private static final int COMMAND_LENGTH = 3;

    private final String key;
    private final String id;
    private final boolean isWrite;
    private final String attributes;
    /** The attributes before the value of the deadline. */
    private final String attributesPrefix;
    /** The attributes after the value of the deadline. */
    private final String attributesSuffix;

    private final String linePrefix;
    private final String lineSuffix;
    private ByteBuf value;
    /** The number of bytes that are returned to the memory limit on clients' values when the value is released. */
    private int reservedBytes;

    private int referenceCount = 1;

    private int serviceClass;
    private int tenant;
    private double arrivedMs = Double.NaN;
    private double dueMs;
    private double clientDueMs = Double.POSITIVE_INFINITY;
    private double workHintMs;
    private float sizeHintBytes;
    private boolean isRetry;
    /** The attempts in any pool that have begun, and whose response or connection's end has not come. */
    private int outstandingAttempts;
    /** Runs once when no attempt is outstanding any more; null if nothing waits for that. */
    private Runnable onNoneOutstanding;

    /**
     * Creates a request whose line for cache servers consists of the attributes and the text before and after them.
     *
     * @param attributes names and values; of several deadlines the first counts, the others are removed
     * @param beforeAttributes the line up to the attributes
     * @param afterAttributes the line after the attributes
     */
    public ClientRequest(
            String key,
            String id,
            boolean isWrite,
            String attributes,
            String beforeAttributes,
            String afterAttributes) {
        this.key = key;
        this.id = id;
        this.isWrite = isWrite;
        this.attributes = DeadlineField.withoutRepeats(attributes);
        DeadlineField deadline = DeadlineField.in(this.attributes);
        attributesPrefix = deadline.before(this.attributes);
        attributesSuffix = deadline.after(this.attributes);
        linePrefix = beforeAttributes + attributesPrefix;
        lineSuffix = attributesSuffix + afterAttributes;
    }

    /** Creates a copy for another key, which shares the value. */
    private ClientRequest(ClientRequest original, String otherKey) {
        key = otherKey;
        id = original.id;
        isWrite = original.isWrite;
        attributes = original.attributes;
        attributesPrefix = original.attributesPrefix;
        attributesSuffix = original.attributesSuffix;
        linePrefix = original.linePrefix.substring(0, COMMAND_LENGTH)
                + otherKey
                + original.linePrefix.substring(COMMAND_LENGTH + original.key.length());
        lineSuffix = original.lineSuffix;
        value = original.value == null ? null : original.value.retainedDuplicate();
        serviceClass = original.serviceClass;
        tenant = original.tenant;
        arrivedMs = original.arrivedMs;
        dueMs = original.dueMs;
        clientDueMs = original.clientDueMs;
        workHintMs = original.workHintMs;
        sizeHintBytes = original.sizeHintBytes;
        isRetry = original.isRetry;
    }

    /**
     * Creates a request of a client that does not use the grammar of cache servers; {@code valueBytes} is used for
     * writes only.
     */
    public static ClientRequest of(String key, String id, boolean isWrite, int valueBytes, String attributes) {
        String beforeAttributes =
                isWrite ? "ms " + key + " " + valueBytes + " O" + id + " P" : "mg " + key + " v O" + id + " P";
        return new ClientRequest(key, id, isWrite, attributes, beforeAttributes, "");
    }

    /** The key that the client requests, or the key by which a route or hook has replaced it. */
    public String key() {
        return key;
    }

    /** The client's id of the request; unique among open requests. */
    public String id() {
        return id;
    }

    /** Returns whether this is a write. */
    public boolean isWrite() {
        return isWrite;
    }

    /** The attributes with this deadline in place of the client's, or appended if the attributes have none. */
    public String attributesWithDeadline(int deadlineMs) {
        return attributesPrefix + deadlineMs + attributesSuffix;
    }

    /** The attributes as the client sent them; of several deadlines, only the first. */
    String attributes() {
        return attributes;
    }

    /** The length of the line for cache servers, without the deadline's digits. */
    public int lineLength() {
        return linePrefix.length() + lineSuffix.length();
    }

    /** The line for cache servers up to the value of the deadline. */
    public String linePrefix() {
        return linePrefix;
    }

    /** The line for cache servers after the value of the deadline. */
    public String lineSuffix() {
        return lineSuffix;
    }

    /** A write's value with its line end; null for reads, and once it has been released. */
    public ByteBuf value() {
        return value;
    }

    /**
     * Sets the value, which belongs to the request from now on, and the number of bytes that have been reserved for it.
     */
    public void setValue(ByteBuf newValue, int newReservedBytes) {
        value = newValue;
        reservedBytes = newReservedBytes;
    }

    /** Returns a copy for another key. It shares the value and must be released, too. */
    public ClientRequest withKey(String otherKey) {
        return new ClientRequest(this, otherKey);
    }

    /** Returns a copy for another key that replaces this request: the value passes to the copy. */
    public ClientRequest moveToKey(String otherKey) {
        ClientRequest copy = withKey(otherKey);
        if (value != null) {
            value.release();
            value = null;
        }
        copy.reservedBytes = reservedBytes;
        reservedBytes = 0;
        return copy;
    }

    // ---- attempts

    /** Records that an attempt begins: its server may process it until {@link #attemptSettled}. */
    public void attemptBegan() {
        outstandingAttempts++;
    }

    /** Records that the response to an attempt has arrived, or that its connection has closed. */
    public void attemptSettled() {
        outstandingAttempts--;
        if (outstandingAttempts == 0 && onNoneOutstanding != null) {
            Runnable next = onNoneOutstanding;
            onNoneOutstanding = null;
            next.run();
        }
    }

    /** Returns whether an attempt is out on an open connection, also one whose response is no longer needed. */
    public boolean hasOutstandingAttempt() {
        return outstandingAttempts > 0;
    }

    /** Runs the task once no attempt is outstanding; replaces an earlier task. There must be an attempt now. */
    public void whenNoneOutstanding(Runnable task) {
        onNoneOutstanding = task;
    }

    /** The index of the class among the configured ones. */
    public int serviceClass() {
        return serviceClass;
    }

    /** The index of the tenant among the configured ones; 0 if there are none. */
    public int tenant() {
        return tenant;
    }

    /**
     * The earliest time at which the request's last byte may have arrived; NaN if it is neither set nor resolved yet.
     */
    public double arrivedMs() {
        return arrivedMs;
    }

    /** Sets the earliest time at which the request's last byte may have arrived. */
    public void setArrivedMs(double newArrivedMs) {
        arrivedMs = newArrivedMs;
    }

    /** The time by which the request must have its response. */
    public double dueMs() {
        return dueMs;
    }

    /**
     * The time at which the client stops waiting, regardless of the {@link #dueMs} that a hook has set; servers get no
     * later deadline.
     */
    public double clientDueMs() {
        return clientDueMs;
    }

    /** The client's estimate of the work needed to produce the value, in milliseconds; NaN if it gives none. */
    public double workHintMs() {
        return workHintMs;
    }

    /** The client's estimate of the value's size in bytes; 0 if it gives none. */
    public float sizeHintBytes() {
        return sizeHintBytes;
    }

    /** Returns whether the client says that it has sent this request before. */
    public boolean isRetry() {
        return isRetry;
    }

    /** Sets class, tenant and the time until which the client waits. */
    void resolve(int newServiceClass, int newTenant, double newDueMs) {
        reclassify(newServiceClass, newTenant, newDueMs);
        clientDueMs = newDueMs;
    }

    /** Sets the client's hints about the request. */
    void setHints(double newWorkHintMs, float newSizeHintBytes, boolean retry) {
        workHintMs = newWorkHintMs;
        sizeHintBytes = newSizeHintBytes;
        isRetry = retry;
    }

    /** Replaces the class, tenant and due time that {@link RequestValidator#resolve} has set. */
    public void reclassify(int newServiceClass, int newTenant, double newDueMs) {
        serviceClass = newServiceClass;
        tenant = newTenant;
        dueMs = newDueMs;
    }

    /** Adds a reference, for which the request must be released once. */
    public ClientRequest retain() {
        referenceCount++;
        return this;
    }

    /** Releases one reference; the last release frees the value and the memory reserved for it. */
    public void release(RequestAccounting accounting) {
        if (--referenceCount == 0 && value != null) {
            accounting.releaseReservedBytes(reservedBytes);
            value.release();
            value = null;
        }
    }
}
