package cacheproxy.fakes.nginx;

import cacheproxy.nginx.Directive;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Replaces variables by their values for a request. Headers, cookies and client addresses are not modeled; their
 * variables are empty.
 */
final class VariableExpander {
    private static final Pattern VARIABLE = Pattern.compile("\\$(?:\\{(\\w+)}|([0-9])|([A-Za-z_]\\w*))");
    private static final String ARGUMENT_PREFIX = "arg_";
    /**
     * The largest hash value, of which nginx computes the shares of {@code split_clients}, in hundredths of a percent.
     */
    private static final long MAX_HASH = 4294967295L;

    private static final long HUNDREDTHS_OF_WHOLE = 10_000;

    private final List<Directive> http;
    private final MapLookup maps;

    VariableExpander(List<Directive> http, PatternCache patterns) {
        this.http = http;
        maps = new MapLookup(patterns);
    }

    /** Returns the text with its variables replaced by their values. */
    String expand(String text, SimulatedRequest request) {
        StringBuilder out = new StringBuilder();
        Matcher variable = VARIABLE.matcher(text);
        int end = 0;
        while (variable.find()) {
            out.append(text, end, variable.start());
            out.append(value(name(variable), request));
            end = variable.end();
        }
        return out.append(text.substring(end)).toString();
    }

    private static String name(Matcher variable) {
        if (variable.group(1) != null) {
            return variable.group(1);
        }
        return variable.group(2) != null ? variable.group(2) : variable.group(3);
    }

    private String value(String name, SimulatedRequest request) {
        if (request.variables().containsKey(name)) {
            return request.variables().get(name);
        }
        if (name.matches("[0-9]")) {
            return group(Integer.parseInt(name), request);
        }
        String builtIn = builtIn(name, request);
        if (builtIn != null) {
            return builtIn;
        }
        if (name.startsWith(ARGUMENT_PREFIX)) {
            return argument(name.substring(ARGUMENT_PREFIX.length()), request);
        }
        Directive definition = definition(name);
        return definition != null ? definedValue(definition, request) : namedGroup(name, request);
    }

    private static String group(int index, SimulatedRequest request) {
        Matcher groups = request.groups();
        String group = groups != null && index <= groups.groupCount() ? groups.group(index) : null;
        return group == null ? "" : group;
    }

    private static String namedGroup(String name, SimulatedRequest request) {
        Matcher groups = request.groups();
        if (groups == null || !groups.pattern().pattern().contains("(?<" + name + ">")) {
            return "";
        }
        String group = groups.group(name);
        return group == null ? "" : group;
    }

    /** Returns the value of a built-in variable of nginx; null if there is none of that name. */
    private static String builtIn(String name, SimulatedRequest request) {
        return switch (name) {
            case "uri", "document_uri" -> request.path();
            case "request_uri" -> request.requestUri();
            case "host", "http_host" -> request.host();
            case "request_method" -> request.method();
            case "args", "query_string" -> request.args();
            case "is_args" -> request.args().isEmpty() ? "" : "?";
            case "scheme" -> "http";
            default -> null;
        };
    }

    private static String argument(String name, SimulatedRequest request) {
        String beginning = name.toLowerCase(Locale.ROOT) + "=";
        for (String pair : request.args().split("&", 0)) {
            if (pair.toLowerCase(Locale.ROOT).startsWith(beginning)) {
                return pair.substring(beginning.length());
            }
        }
        return "";
    }

    /** Returns the first block that defines a variable; null if there is none. */
    private Directive definition(String name) {
        for (Directive directive : http) {
            boolean isShortGeo =
                    directive.name().equals("geo") && directive.args().size() == 1;
            String variable = isShortGeo ? directive.arg(0) : directive.arg(1);
            boolean defines = List.of("map", "split_clients", "geo").contains(directive.name());
            if (defines && variable.equals("$" + name)) {
                return directive;
            }
        }
        return null;
    }

    private String definedValue(Directive definition, SimulatedRequest request) {
        return switch (definition.name()) {
            case "map" -> expand(maps.lookUp(definition, expand(definition.arg(0), request)), request);
            case "split_clients" -> expand(split(definition, expand(definition.arg(0), request)), request);
            default -> {
                Directive entry = definition.lastChildNamed("default");
                yield entry == null ? "" : entry.arg(0);
            }
        };
    }

    /** Returns the value of the share that contains the hash of a text. */
    private static String split(Directive splitClients, String text) {
        long hash = ReferenceHashes.murmur2(text.getBytes(StandardCharsets.ISO_8859_1));
        long bound = 0;
        for (Directive entry : splitClients.block()) {
            if (entry.name().equals("*")) {
                return entry.arg(0);
            }
            double percentage = Double.parseDouble(entry.name().replace("%", ""));
            bound += Math.round(percentage * 100) * MAX_HASH / HUNDREDTHS_OF_WHOLE;
            if (hash < bound) {
                return entry.arg(0);
            }
        }
        return "";
    }
}
