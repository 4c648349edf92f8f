package cacheproxy.fakes.nginx;

import cacheproxy.nginx.Directive;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Matcher;

/** The state of a request during its interpretation. */
final class SimulatedRequest {
    private final String host;
    private final String method;
    private final String requestUri;
    /** The query; null if there is none. */
    private final String args;

    private final Map<String, String> variables = new HashMap<>();
    private String path;
    private boolean pathChangedInLocation;
    private boolean pathEverChanged;
    private boolean rewriteEnded;
    /** The last match with groups; null if there is none. */
    private Matcher groups;
    /** The {@code proxy_pass} of an {@code if} that replaces that of the location; null if there is none. */
    private Directive handler;
    /** Null until the request is answered. */
    private Response response;

    private SimulatedRequest(String method, String host, String requestUri, String path, String args) {
        this.method = method;
        this.host = host;
        this.requestUri = requestUri;
        this.path = path;
        this.args = args;
    }

    /** Parses a request; returns null if its path is malformed. */
    static SimulatedRequest of(String method, String host, String uriWithFragment) {
        int hash = uriWithFragment.indexOf('#');
        String uri = hash < 0 ? uriWithFragment : uriWithFragment.substring(0, hash);
        int question = uri.indexOf('?');
        String args = question < 0 ? null : uri.substring(question + 1);
        String path = PathNormalizer.normalize(question < 0 ? uri : uri.substring(0, question));
        return path == null ? null : new SimulatedRequest(method, host.toLowerCase(Locale.ROOT), uri, path, args);
    }

    /** Returns the host in lower case. */
    String host() {
        return host;
    }

    /** Returns the method, such as {@code GET}. */
    String method() {
        return method;
    }

    /** Returns path and query as received. */
    String requestUri() {
        return requestUri;
    }

    /** Returns the query; empty if there is none. */
    String args() {
        return args == null ? "" : args;
    }

    /** Returns the query with its question mark; empty if there is none. */
    String query() {
        return args == null ? "" : "?" + args;
    }

    /** Returns the current path, normalized. */
    String path() {
        return path;
    }

    /** Returns whether the path has been changed since the request was received. */
    boolean isPathEverChanged() {
        return pathEverChanged;
    }

    /** Returns whether the path has been changed since its location was found. */
    boolean isPathChangedInLocation() {
        return pathChangedInLocation;
    }

    /** Sets the path of a {@code rewrite}. */
    void rewritePath(String newPath) {
        redirectTo(newPath);
        pathChangedInLocation = true;
    }

    /** Sets a path for which a location must be searched. */
    void redirectTo(String newPath) {
        path = newPath;
        pathEverChanged = true;
    }

    /** Resets the state that is kept per location, before its rewrite directives run. */
    void enterLocation() {
        pathChangedInLocation = false;
    }

    /** Returns whether a {@code break} has ended the rewrite directives. */
    boolean isRewriteEnded() {
        return rewriteEnded;
    }

    /** Sets whether the rewrite directives have ended; false allows those of the next location to run. */
    void setRewriteEnded(boolean ended) {
        rewriteEnded = ended;
    }

    /** Returns the variables assigned by {@code set}; the map is mutable. */
    Map<String, String> variables() {
        return variables;
    }

    /** Returns the match to whose groups {@code $1} and so on refer; null if there is none. */
    Matcher groups() {
        return groups;
    }

    /** Sets the match to whose groups {@code $1} and so on refer. */
    void setGroups(Matcher match) {
        groups = match;
    }

    /** Returns the {@code proxy_pass} of an {@code if} that replaces that of the location; null if there is none. */
    Directive handler() {
        return handler;
    }

    /** Sets the {@code proxy_pass} that replaces that of the location; null for none. */
    void setHandler(Directive pass) {
        handler = pass;
    }

    /** Returns the response; null until there is one. */
    Response response() {
        return response;
    }

    /** Returns whether there is a response. */
    boolean isAnswered() {
        return response != null;
    }

    /** Completes the request with a response of nginx itself. */
    void answer(int status) {
        response = Response.ofStatus(status);
    }

    /** Completes the request with a response. */
    void answer(Response ending) {
        response = ending;
    }
}
