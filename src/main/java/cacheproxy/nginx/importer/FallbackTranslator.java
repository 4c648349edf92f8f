package cacheproxy.nginx.importer;

import cacheproxy.nginx.Directive;
import cacheproxy.nginx.model.Location;
import java.util.List;
import java.util.Set;

/** Translates {@code error_page}s that pass requests to other servers when all servers of a pool have failed. */
final class FallbackTranslator {
    /** Statuses with which nginx answers if no server has answered. */
    private static final Set<String> UNANSWERED_STATUSES = Set.of("502", "503", "504");

    private static final String LITERAL_AUTHORITY_URL = "https?://[^/$]+";

    private final ServerContext context;
    private final Report report;

    FallbackTranslator(ServerContext context) {
        this.context = context;
        report = context.report();
    }

    /**
     * Returns the pool that takes the requests that another pool fails to answer.
     *
     * @param pool the name of the pool that fails
     * @return the name of the fallback pool; null if there is none
     */
    String fallbackPool(Location location, String pool) {
        String fallback = null;
        for (Directive errorPage : errorPages(location)) {
            Directive pass = fallbackPass(errorPage);
            if (pass == null) {
                continue;
            }
            String url = pass.arg(0);
            PoolSpec other = context.pools().poolFor(url.substring(url.indexOf("//") + 2), pass);
            if (other != null && !other.name().equals(pool) && fallback == null) {
                report.changed(
                        errorPage,
                        "requests that no server answers go to " + other.name()
                                + ", except those that must not be repeated");
                report.carried(context.namedLocation(errorPage.lastArg()).directive());
                report.carried(pass);
                fallback = other.name();
            }
        }
        return fallback;
    }

    /** Returns the {@code error_page}s of a location: its own, or those of the nearest enclosing block that has any. */
    private List<Directive> errorPages(Location location) {
        for (Location level = location; level != null; level = level.parent()) {
            List<Directive> own = level.directive().childrenNamed("error_page");
            if (!own.isEmpty()) {
                return own;
            }
        }
        return context.errorPages();
    }

    /** Returns the {@code proxy_pass} of an error page's named location; reports and returns null if there is none. */
    private Directive fallbackPass(Directive errorPage) {
        String target = errorPage.lastArg();
        boolean coversUnanswered = errorPage.args().stream().anyMatch(UNANSWERED_STATUSES::contains);
        Location named = target.startsWith("@") ? context.namedLocation(target) : null;
        Directive pass = named == null ? null : named.directive().lastChildNamed("proxy_pass");
        if (coversUnanswered && pass != null && pass.arg(0).matches(LITERAL_AUTHORITY_URL)) {
            return pass;
        }
        report.notCarried(
                errorPage,
                "servers report no statuses here, so no error page replaces an answer"
                        + (coversUnanswered ? "" : "; " + target + " is not requested"));
        return null;
    }
}
