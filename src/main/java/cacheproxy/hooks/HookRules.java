package cacheproxy.hooks;

import cacheproxy.policy.Idempotency;
import cacheproxy.policy.ServiceClass;
import cacheproxy.routes.KeyRewrite;
import java.util.List;
import java.util.Set;

/** What a hook may order. Pure: what it may not is told in words, and none of its orders is carried out then. */
public final class HookRules {
    private final List<ServiceClass> classes;
    private final List<String> tenants;
    private final Set<String> routes;

    public HookRules(List<ServiceClass> classes, List<String> tenants, Set<String> routes) {
        this.classes = classes;
        this.tenants = tenants;
        this.routes = routes;
    }

    /**
     * Why orders can't be carried out; null if they can.
     *
     * @param sentClass index of the class that the client sent: hooks in a row are held against that one, each
     * @param remainingMs until the client gives up
     */
    public String refused(HookOrders o, int sentClass, long remainingMs) {
        if (o.key() != null && !KeyRewrite.isLegalKey(o.key())) {
            return "its key is not legal; 1 to 250 printing characters without space";
        }
        if (o.serviceClass() != null) {
            int to = classIndex(o.serviceClass());
            if (to < 0) {
                return "there is no class '" + HookOrders.clean(o.serviceClass()) + "'";
            }
            if (strictness(classes.get(to).idempotency())
                    < strictness(classes.get(sentClass).idempotency())) {
                return "class " + o.serviceClass() + " is less strict about repeats than "
                        + classes.get(sentClass).name() + ", which the client sent";
            }
        }
        if (o.tenant() != null && tenantIndex(o.tenant()) < 0) {
            return "there is no tenant '" + HookOrders.clean(o.tenant()) + "'";
        }
        if (o.route() != null && !routes.contains(o.route())) {
            return "there is no route '" + HookOrders.clean(o.route()) + "'";
        }
        if (o.remainingMs() > remainingMs) {
            return "a deadline may only be shortened; " + o.remainingMs() + " ms are more than the " + remainingMs
                    + " left";
        }
        return null;
    }

    /** Safe requests may be repeated, keyed ones by those that drop repeats, unsafe ones never. */
    private static int strictness(Idempotency e) {
        return e == Idempotency.IDEMPOTENT ? 0 : e == Idempotency.DEDUPLICATED ? 1 : 2;
    }

    public int classIndex(String name) {
        for (int i = 0; i < classes.size(); i++) {
            if (classes.get(i).name().equals(name)) {
                return i;
            }
        }
        return -1;
    }

    public int tenantIndex(String name) {
        return tenants.indexOf(name);
    }
}
