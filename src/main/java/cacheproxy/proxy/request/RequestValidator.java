package cacheproxy.proxy.request;

import cacheproxy.policy.ServiceClass;
import cacheproxy.policy.Tenant;
import cacheproxy.proxy.upstream.EventLoopContext;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Reads what a request's list of names and values says, and turns away what can't be a request. */
public final class RequestValidator {
    private final EventLoopContext core;
    private final List<ServiceClass> kinds;
    private final Map<String, Integer> classes = new HashMap<>();
    private final Map<String, Integer> tenants = new HashMap<>();

    public RequestValidator(EventLoopContext core, List<ServiceClass> kinds, List<Tenant> owners) {
        this.core = core;
        this.kinds = kinds;
        for (ServiceClass c : kinds) {
            classes.put(c.name(), classes.size());
        }
        owners.forEach(t -> tenants.put(t.name(), tenants.size()));
    }

    /** Fills in the request's figures; what is wrong with it, or null. */
    public String resolve(ClientRequest c) {
        Integer kind = classes.get(String.valueOf(MetaCodec.attribute(c.attributes, "c")));
        String owner = MetaCodec.attribute(c.attributes, "t");
        Integer tenant = tenants.isEmpty() || owner == null ? Integer.valueOf(0) : tenants.get(owner);
        double wait = kind == null ? 0 : deadline(c, kinds.get(kind).deadlineMs());
        if (kind == null || tenant == null || !(wait > 0 && wait <= Integer.MAX_VALUE)) {
            return "unknown class, tenant or deadline";
        }
        if (!core.openId(c.id)) {
            // Ids are new with every request. Servers tell answers apart by them, so a second request under the id of
            // one that is open could be served with the other's value.
            return "id is in use";
        }
        if (Double.isNaN(c.arrivedMs)) {
            c.arrivedMs = core.now();
        }
        c.dueMs = c.arrivedMs + wait;
        c.clientDueMs = c.dueMs;
        c.serviceClass = kind;
        c.tenant = tenant;
        c.workHintMs = figure(c, "h", Double.NaN) / 1000;
        c.sizeHintBytes = (float) figure(c, "size", 0);
        c.isRetry = "1".equals(MetaCodec.attribute(c.attributes, "r"));
        return null;
    }

    /** Whether its client has stopped waiting by now: a request that lay unread for too long. */
    public boolean isExpired(ClientRequest c) {
        return c.dueMs <= core.now();
    }

    /** A deadline that is there and is no number is 0: it must not pass for one that is absent. */
    private static double deadline(ClientRequest c, double absent) {
        String text = MetaCodec.attribute(c.attributes, "d");
        boolean number = text == null || text.chars().allMatch(d -> (d >= '0' && d <= '9') || d == '.');
        return number ? figure(c, "d", text == null ? absent : 0) : 0;
    }

    private static double figure(ClientRequest c, String name, double absent) {
        String text = MetaCodec.attribute(c.attributes, name);
        try {
            return text == null ? absent : Double.parseDouble(text);
        } catch (NumberFormatException e) {
            return absent;
        }
    }

    /** The module's key: what the text's hexadecimal digits say, else a hash of it that is alike everywhere. */
    public static long keyHash(String text) {
        long hash = 0xcbf29ce484222325L;
        long value = 0;
        boolean hex = text.length() <= 16;
        for (int i = 0; i < text.length(); i++) {
            int digit = Character.digit(text.charAt(i), 16);
            hex &= digit >= 0;
            value = value << 4 | (digit & 15);
            hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
        }
        return hex && value != 0 ? value : hash;
    }
}
