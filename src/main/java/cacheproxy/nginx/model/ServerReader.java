package cacheproxy.nginx.model;

import cacheproxy.nginx.Directive;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/** Reads {@code server} blocks with their locations. */
final class ServerReader {
    private static final String DEFAULT_SOCKET = "*:80";
    private static final String DEFAULT_PORT = ":80";

    private final List<HttpModel.Fault> faults;

    ServerReader(List<HttpModel.Fault> faults) {
        this.faults = faults;
    }

    /** Reads a server. */
    ServerBlock read(Directive directive) {
        List<ServerBlock.Listen> listens = new ArrayList<>();
        List<String> names = new ArrayList<>();
        for (Directive inner : directive.block()) {
            if (inner.name().equals("listen")) {
                listens.add(listen(inner));
            } else if (inner.name().equals("server_name")) {
                inner.args().forEach(name -> names.add(name.startsWith("~") ? name : name.toLowerCase(Locale.ROOT)));
            }
        }
        if (listens.isEmpty()) {
            listens.add(new ServerBlock.Listen(DEFAULT_SOCKET, false, null));
        }
        return new ServerBlock(directive, listens, names, locations(directive, null));
    }

    private static ServerBlock.Listen listen(Directive directive) {
        boolean isDefault =
                directive.args().contains("default_server") || directive.args().contains("default");
        return new ServerBlock.Listen(socket(directive.arg(0)), isDefault, directive);
    }

    private static String socket(String text) {
        if (text.startsWith("unix:")) {
            return text;
        }
        if (text.matches("[0-9]+")) {
            return "*:" + text;
        }
        boolean hasPort = text.matches(".*[^:]:[0-9]+") || text.matches("\\[.*]:[0-9]+");
        return hasPort ? text : text + DEFAULT_PORT;
    }

    private List<Location> locations(Directive block, Location parent) {
        List<Location> locations = new ArrayList<>();
        Set<String> seen = new HashSet<>();
        for (Directive directive : block.block()) {
            if (!directive.name().equals("location") || directive.block() == null) {
                continue;
            }
            Location location = location(directive, parent);
            if (location != null && isAccepted(location, seen)) {
                location.addChildren(locations(directive, location));
                locations.add(location);
            }
        }
        return locations;
    }

    /**
     * Whether nginx accepts a location, given the texts of the locations before it on its level; reports a fault if
     * not.
     */
    private boolean isAccepted(Location location, Set<String> seen) {
        Location.Kind kind = location.kind().isPrefix() ? Location.Kind.PREFIX : location.kind();
        if (!kind.isRegex() && !seen.add(kind + " " + location.text())) {
            reject(location.directive(), "duplicate location \"" + location.text() + "\"; the first is taken");
            return false;
        }
        String misplacement = misplacementReason(location);
        if (misplacement != null) {
            reject(location.directive(), "location \"" + location.text() + "\" " + misplacement + "; it is left out");
        }
        return misplacement == null;
    }

    private Location location(Directive directive, Location parent) {
        if (directive.args().size() == 1) {
            return locationFromSingleArgument(directive, parent);
        }
        if (directive.args().size() != 2) {
            reject(directive, "invalid number of arguments in \"location\"; it is left out");
            return null;
        }
        Location.Kind kind = switch (directive.arg(0)) {
            case "=" -> Location.Kind.EXACT;
            case "^~" -> Location.Kind.PREFIX_WITHOUT_REGEX;
            case "~" -> Location.Kind.REGEX;
            case "~*" -> Location.Kind.REGEX_IGNORING_CASE;
            default -> null;
        };
        if (kind == null) {
            reject(directive, "invalid location modifier \"" + directive.arg(0) + "\"; it is left out");
            return null;
        }
        return new Location(kind, directive.arg(1), directive, parent);
    }

    /** Reads a location without a modifier, or with a modifier that is not followed by a space. */
    private static Location locationFromSingleArgument(Directive directive, Location parent) {
        String text = directive.arg(0);
        if (text.startsWith("=")) {
            return new Location(Location.Kind.EXACT, text.substring(1), directive, parent);
        }
        if (text.startsWith("^~")) {
            return new Location(Location.Kind.PREFIX_WITHOUT_REGEX, text.substring(2), directive, parent);
        }
        if (text.startsWith("~*")) {
            return new Location(Location.Kind.REGEX_IGNORING_CASE, text.substring(2), directive, parent);
        }
        if (text.startsWith("~")) {
            return new Location(Location.Kind.REGEX, text.substring(1), directive, parent);
        }
        Location.Kind kind = text.startsWith("@") ? Location.Kind.NAMED : Location.Kind.PREFIX;
        return new Location(kind, text, directive, parent);
    }

    /** Returns why a location is not allowed within its parent; null if it is allowed. */
    private static String misplacementReason(Location location) {
        Location parent = location.parent();
        if (parent == null) {
            return null;
        }
        if (parent.kind() == Location.Kind.EXACT) {
            return "cannot be inside the exact location \"" + parent.text() + "\"";
        }
        if (parent.kind() == Location.Kind.NAMED) {
            return "cannot be inside the named location \"" + parent.text() + "\"";
        }
        if (location.kind() == Location.Kind.NAMED) {
            return "can be on the server level only";
        }
        return !location.kind().isRegex() && !location.text().startsWith(parent.text())
                ? "is outside location \"" + parent.text() + "\""
                : null;
    }

    private void reject(Directive directive, String reason) {
        faults.add(HttpModel.rejected(directive, reason));
    }
}
