package cacheproxy.hooks;

import cacheproxy.policy.Idempotency;
import cacheproxy.policy.ServiceClass;
import cacheproxy.routes.KeyRewrite;
import java.util.List;
import java.util.Set;

/**
 * The rules for a hook's orders. If an order breaks a rule, the violation is described for operators, and none of the
 * orders is carried out.
 */
public final class HookRules {
    private final List<ServiceClass> classes;
    private final List<String> tenants;
    private final Set<String> routes;

    /**
     * @param classes the service classes, by index
     * @param tenants the names of the tenants, by index
     * @param routes the names of the routes that a hook may choose from
     */
    public HookRules(List<ServiceClass> classes, List<String> tenants, Set<String> routes) {
        this.classes = classes;
        this.tenants = tenants;
        this.routes = routes;
    }

    /**
     * Returns why orders can't be carried out; null if they can.
     *
     * @param sentClass index of the class that the client sent; if there are several hooks, the orders of each are
     *     checked against it
     * @param remainingMs the time until the client gives up
     */
    public String violation(HookOrders orders, int sentClass, long remainingMs) {
        if (orders.key() != null && !KeyRewrite.isLegalKey(orders.key())) {
            return "its key is not legal; keys have 1 to 250 printing characters without space";
        }
        String classViolation = classViolation(orders.serviceClass(), sentClass);
        if (classViolation != null) {
            return classViolation;
        }
        if (orders.tenant() != null && tenantIndex(orders.tenant()) < 0) {
            return "there is no tenant '" + HookOrders.sanitize(orders.tenant()) + "'";
        }
        if (orders.route() != null && !routes.contains(orders.route())) {
            return "there is no route '" + HookOrders.sanitize(orders.route()) + "'";
        }
        if (orders.remainingMs() > remainingMs) {
            return "a deadline may only be shortened; " + orders.remainingMs() + " ms are more than the " + remainingMs
                    + " left";
        }
        return null;
    }

    private String classViolation(String orderedClass, int sentClass) {
        if (orderedClass == null) {
            return null;
        }
        int index = classIndex(orderedClass);
        if (index < 0) {
            return "there is no class '" + HookOrders.sanitize(orderedClass) + "'";
        }
        ServiceClass sent = classes.get(sentClass);
        if (strictness(classes.get(index).idempotency()) < strictness(sent.idempotency())) {
            return "class " + orderedClass + " is less strict about repeats than " + sent.name()
                    + ", which the client sent";
        }
        return null;
    }

    /**
     * Idempotent requests may always be sent again, deduplicated ones only to servers that drop repeats, others never.
     */
    private static int strictness(Idempotency idempotency) {
        return switch (idempotency) {
            case IDEMPOTENT -> 0;
            case DEDUPLICATED -> 1;
            case NON_IDEMPOTENT -> 2;
        };
    }

    /** Returns the index of a class; -1 if no class has that name. */
    public int classIndex(String name) {
        for (int i = 0; i < classes.size(); i++) {
            if (classes.get(i).name().equals(name)) {
                return i;
            }
        }
        return -1;
    }

    /** Returns the index of a tenant; -1 if no tenant has that name. */
    public int tenantIndex(String name) {
        return tenants.indexOf(name);
    }
}
