package cacheproxy.proxy.request;

import cacheproxy.proxy.upstream.EventLoopContext;
import io.netty.buffer.ByteBuf;

/**
 * A request as fronts hand it in: its key, id and list of names and values, and the line in which cache nodes are to
 * get it, which is the client's own where that was of the same grammar.
 */
public final class ClientRequest {
    /** Of {@code mg} and {@code ms}, with the space. */
    private static final int COMMAND_LENGTH = 3;

    public final String key;
    public final String id;
    public final boolean isWrite;
    final String attributes;
    /** The list up to the deadline's figure, and from there on. */
    private final String attributesPrefix;

    private final String attributesSuffix;
    /** The line for cache nodes up to the deadline's figure, and from there on. */
    public final String linePrefix;

    public final String lineSuffix;
    /** A write's value with its line's end; null for reads. */
    public ByteBuf value;
    /** What is given back to the bound on clients' values with the value. */
    private int reservedBytes;

    private int referenceCount = 1;

    // What the intake has made of the list.
    public int serviceClass;
    public int tenant;
    /** The earliest that its last byte may have come; set by whoever read it, else by the intake. */
    public double arrivedMs = Double.NaN;

    public double dueMs;
    /** When the client gives up, whatever others order; no server is told more than is left until then. */
    public double clientDueMs = Double.POSITIVE_INFINITY;

    public double workHintMs;
    public float sizeHintBytes;
    public boolean isRetry;

    /**
     * A request whose line for cache nodes is put together around its list.
     *
     * @param attributes the list of names and values; of several deadlines in it the first counts
     * @param beforeAttributes the line up to the list
     * @param afterAttributes the line after the list
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

    /** The same request for another key. */
    private ClientRequest(ClientRequest of, String otherKey) {
        key = otherKey;
        id = of.id;
        isWrite = of.isWrite;
        attributes = of.attributes;
        attributesPrefix = of.attributesPrefix;
        attributesSuffix = of.attributesSuffix;
        linePrefix = of.linePrefix.substring(0, COMMAND_LENGTH)
                + otherKey
                + of.linePrefix.substring(COMMAND_LENGTH + of.key.length());
        lineSuffix = of.lineSuffix;
    }

    /** A request that no client sent in the nodes' own grammar. */
    public static ClientRequest of(String key, String id, boolean isWrite, int valueBytes, String attributes) {
        return new ClientRequest(
                key,
                id,
                isWrite,
                attributes,
                isWrite ? "ms " + key + " " + valueBytes + " O" + id + " P" : "mg " + key + " v O" + id + " P",
                "");
    }

    /** The list with another deadline in place of the client's, or behind the list where that has none. */
    public String attributesWithDeadline(int deadlineMs) {
        return attributesPrefix + deadlineMs + attributesSuffix;
    }

    public void setValue(ByteBuf newValue, int newReservedBytes) {
        value = newValue;
        reservedBytes = newReservedBytes;
    }

    /** The same request for another key. It shares the value and must be released, too. */
    public ClientRequest withKey(String otherKey) {
        ClientRequest copy = new ClientRequest(this, otherKey);
        if (value != null) {
            copy.value = value.retainedDuplicate();
        }
        copy.serviceClass = serviceClass;
        copy.tenant = tenant;
        copy.arrivedMs = arrivedMs;
        copy.dueMs = dueMs;
        copy.clientDueMs = clientDueMs;
        copy.workHintMs = workHintMs;
        copy.sizeHintBytes = sizeHintBytes;
        copy.isRetry = isRetry;
        return copy;
    }

    /** The same request for another key, in this one's place: the value goes over to it. */
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

    /** Another class, tenant and end than the intake has found. */
    public void reclassify(int toClass, int toTenant, double toDueMs) {
        serviceClass = toClass;
        tenant = toTenant;
        dueMs = toDueMs;
    }

    /** Whether the client says that it has sent this before. */
    public boolean isRetry() {
        return isRetry;
    }

    public String key() {
        return key;
    }

    public String id() {
        return id;
    }

    public boolean isWrite() {
        return isWrite;
    }

    /** Index among the classes; set once the intake has resolved it, like all figures below. */
    public int serviceClass() {
        return serviceClass;
    }

    public int tenant() {
        return tenant;
    }

    public double arrivedMs() {
        return arrivedMs;
    }

    /** When the client gives up, on the core's clock. */
    public double dueMs() {
        return dueMs;
    }

    /** One more holder; each releases once. */
    public ClientRequest retain() {
        referenceCount++;
        return this;
    }

    public void release(EventLoopContext loopContext) {
        if (--referenceCount == 0 && value != null) {
            loopContext.giveBack(reservedBytes);
            value.release();
            value = null;
        }
    }
}
