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
    public final boolean write;
    final String extras;
    /** The list up to the deadline's figure, and from there on. */
    private final String extrasHead;

    private final String extrasTail;
    /** The line for cache nodes up to the deadline's figure, and from there on. */
    public final String head;

    public final String tail;
    /** A write's value with its line's end; null for reads. */
    public ByteBuf value;
    /** What is given back to the bound on clients' values with the value. */
    private int reserved;

    private int holders = 1;

    // What the intake has made of the list.
    public int serviceClass;
    public int tenant;
    /** The earliest that its last byte may have come; set by whoever read it, else by the intake. */
    public double arrivedMs = Double.NaN;

    public double dueMs;
    /** When the client gives up, whatever others order; no server is told more than is left until then. */
    public double clientDueMs = Double.POSITIVE_INFINITY;

    public double costMs;
    public float bytes;
    public boolean repeat;

    /**
     * A request whose line for cache nodes is put together around its list.
     *
     * @param extras the list of names and values; of several deadlines in it the first counts
     * @param lineHead the line up to the list
     * @param lineTail the line after the list
     */
    public ClientRequest(String key, String id, boolean write, String extras, String lineHead, String lineTail) {
        this.key = key;
        this.id = id;
        this.write = write;
        this.extras = DeadlineField.withoutRepeats(extras);
        DeadlineField deadline = DeadlineField.in(this.extras);
        extrasHead = deadline.before(this.extras);
        extrasTail = deadline.after(this.extras);
        head = lineHead + extrasHead;
        tail = extrasTail + lineTail;
    }

    /** The same request for another key. */
    private ClientRequest(ClientRequest of, String otherKey) {
        key = otherKey;
        id = of.id;
        write = of.write;
        extras = of.extras;
        extrasHead = of.extrasHead;
        extrasTail = of.extrasTail;
        head = of.head.substring(0, COMMAND_LENGTH) + otherKey + of.head.substring(COMMAND_LENGTH + of.key.length());
        tail = of.tail;
    }

    /** A request that no client sent in the nodes' own grammar. */
    public static ClientRequest of(String key, String id, boolean write, int valueBytes, String extras) {
        return new ClientRequest(
                key,
                id,
                write,
                extras,
                write ? "ms " + key + " " + valueBytes + " O" + id + " P" : "mg " + key + " v O" + id + " P",
                "");
    }

    /** The list with another deadline in place of the client's, or behind the list where that has none. */
    public String extras(int deadlineMs) {
        return extrasHead + deadlineMs + extrasTail;
    }

    public void value(ByteBuf of, int room) {
        value = of;
        reserved = room;
    }

    /** The same request for another key. It shares the value and must be released, too. */
    public ClientRequest withKey(String other) {
        ClientRequest c = new ClientRequest(this, other);
        if (value != null) {
            c.value = value.retainedDuplicate();
        }
        c.serviceClass = serviceClass;
        c.tenant = tenant;
        c.arrivedMs = arrivedMs;
        c.dueMs = dueMs;
        c.clientDueMs = clientDueMs;
        c.costMs = costMs;
        c.bytes = bytes;
        c.repeat = repeat;
        return c;
    }

    /** The same request for another key, in this one's place: the value goes over to it. */
    public ClientRequest moved(String other) {
        ClientRequest c = withKey(other);
        if (value != null) {
            value.release();
            value = null;
        }
        c.reserved = reserved;
        reserved = 0;
        return c;
    }

    /** Another class, tenant and end than the intake has found. */
    public void order(int toClass, int toTenant, double toDueMs) {
        serviceClass = toClass;
        tenant = toTenant;
        dueMs = toDueMs;
    }

    /** Whether the client says that it has sent this before. */
    public boolean repeat() {
        return repeat;
    }

    public String key() {
        return key;
    }

    public String id() {
        return id;
    }

    public boolean write() {
        return write;
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
        holders++;
        return this;
    }

    public void release(EventLoopContext core) {
        if (--holders == 0 && value != null) {
            core.giveBack(reserved);
            value.release();
            value = null;
        }
    }
}
