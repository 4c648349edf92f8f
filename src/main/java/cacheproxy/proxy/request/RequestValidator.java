package cacheproxy.proxy.request;

import cacheproxy.policy.ServiceClass;
import cacheproxy.policy.Tenant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads class, tenant, deadline and hints from a request's attributes, and rejects requests that have invalid ones or
 * the id of another open request.
 */
public final class RequestValidator {
    private static final double MICROS_PER_MS = 1000;
    private static final int HEX_RADIX = 16;
    /** Hexadecimal digits of a 64-bit number. */
    private static final int MAX_HEX_DIGITS = 16;

    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private final RequestAccounting accounting;
    private final List<ServiceClass> classes;
    private final Map<String, Integer> classIndices = new HashMap<>();
    private final Map<String, Integer> tenantIndices = new HashMap<>();

    /** Creates a validator for these classes and tenants. If there are no tenants, the tenant attribute is ignored. */
    public RequestValidator(RequestAccounting accounting, List<ServiceClass> classes, List<Tenant> tenants) {
        this.accounting = accounting;
        this.classes = classes;
        classes.forEach(serviceClass -> classIndices.put(serviceClass.name(), classIndices.size()));
        tenants.forEach(tenant -> tenantIndices.put(tenant.name(), tenantIndices.size()));
    }

    /**
     * Sets the request's class, tenant, times and hints, and records its id as open.
     *
     * @return what is wrong with the request, or null; the id of an invalid request is not recorded as open
     */
    public String resolve(ClientRequest request) {
        String attributes = request.attributes();
        Integer serviceClass = classIndices.get(String.valueOf(MetaCodec.attribute(attributes, "c")));
        Integer tenant = tenantIndex(MetaCodec.attribute(attributes, "t"));
        double deadlineMs = serviceClass == null
                ? 0
                : deadlineMs(attributes, classes.get(serviceClass).deadlineMs());
        if (serviceClass == null || tenant == null || !(deadlineMs > 0 && deadlineMs <= Integer.MAX_VALUE)) {
            return "unknown class, tenant or deadline";
        }
        if (!accounting.openId(request.id())) {
            // Servers match responses to requests by the id. A second request under the id of an open one could be
            // served with the other's value.
            return "id is in use";
        }
        if (Double.isNaN(request.arrivedMs())) {
            request.setArrivedMs(accounting.nowMs());
        }
        request.resolve(serviceClass, tenant, request.arrivedMs() + deadlineMs);
        request.setHints(
                hint(attributes, "h", Integer.MAX_VALUE * MICROS_PER_MS, Double.NaN) / MICROS_PER_MS,
                (float) hint(attributes, "size", MetaCodec.MAX_VALUE_BYTES, 0),
                "1".equals(MetaCodec.attribute(attributes, "r")));
        return null;
    }

    private Integer tenantIndex(String name) {
        return tenantIndices.isEmpty() || name == null ? Integer.valueOf(0) : tenantIndices.get(name);
    }

    /** Returns whether the client has already stopped waiting, because the request was read too late. */
    public boolean isExpired(ClientRequest request) {
        return request.dueMs() <= accounting.nowMs();
    }

    /**
     * Returns the deadline. If it is present but not a number, returns 0, which is invalid, because such a deadline
     * must not be treated as an absent one.
     */
    private static double deadlineMs(String attributes, double defaultMs) {
        String text = MetaCodec.attribute(attributes, "d");
        if (text == null) {
            return defaultMs;
        }
        return parseDecimal(text, 0);
    }

    /** Returns a hint, which counts as absent if it is not a decimal number or exceeds the maximum. */
    private static double hint(String attributes, String name, double maximum, double absent) {
        String text = MetaCodec.attribute(attributes, name);
        double value = text == null ? absent : parseDecimal(text, absent);
        return value <= maximum ? value : absent;
    }

    /** Parses a number of decimal digits, without the signs, exponents, names and suffixes that Java also accepts. */
    private static double parseDecimal(String text, double invalid) {
        boolean isDecimal = text.chars().allMatch(digit -> (digit >= '0' && digit <= '9') || digit == '.');
        try {
            return isDecimal ? Double.parseDouble(text) : invalid;
        } catch (NumberFormatException e) {
            return invalid;
        }
    }

    /**
     * The hash of a key, by which servers are chosen: the value of up to 16 hexadecimal digits, unless that value is 0,
     * and otherwise the FNV-1a hash of the characters, which is the same in every process.
     */
    public static long keyHash(String key) {
        long hash = FNV_OFFSET_BASIS;
        long value = 0;
        boolean hexadecimal = key.length() <= MAX_HEX_DIGITS;
        for (int i = 0; i < key.length(); i++) {
            int digit = Character.digit(key.charAt(i), HEX_RADIX);
            hexadecimal &= digit >= 0;
            value = value << 4 | (digit & 15);
            hash = (hash ^ key.charAt(i)) * FNV_PRIME;
        }
        return hexadecimal && value != 0 ? value : hash;
    }
}
