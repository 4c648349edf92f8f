package cacheproxy.golden;

import java.lang.reflect.Array;
import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Deque;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Renders all values of an object graph without the names of classes, fields and enum constants, so that a text does
 * not change when these are renamed. Each value is on its own line, indented by its depth; fields are in the order of
 * their declaration.
 */
public final class ValueText {
    private static final String INDENT = "  ";
    private static final String OWN_PACKAGE = "cacheproxy";
    private static final String WORKING_DIRECTORY = Path.of("").toAbsolutePath().toString();

    private final StringBuilder text = new StringBuilder();
    private final Set<Object> parents = Collections.newSetFromMap(new IdentityHashMap<>());
    private final Deque<String> indents = new ArrayDeque<>(List.of(""));

    private ValueText() {}

    /** Renders a value; the working directory in paths is replaced by {@code @}. */
    public static String of(Object value) {
        ValueText rendered = new ValueText();
        rendered.add(value);
        return rendered.text.toString();
    }

    @SuppressWarnings("EnumOrdinal") // the text must not change with a constant's name
    private void add(Object value) {
        if (value instanceof Optional<?> optional) {
            add(optional.orElse(null));
        } else if (value instanceof Enum<?> constant) {
            line("#" + constant.ordinal());
        } else if (value instanceof Map<?, ?> map) {
            addMap(map);
        } else if (value instanceof Collection<?> collection) {
            addCollection(collection);
        } else if (value != null && value.getClass().isArray()) {
            addArray(value);
        } else if (value != null && value.getClass().getName().startsWith(OWN_PACKAGE)) {
            addFields(value);
        } else {
            line(leaf(value));
        }
    }

    private static String leaf(Object value) {
        if (value instanceof String string) {
            return "\""
                    + string.replace("\\", "\\\\")
                            .replace("\n", "\\n")
                            .replace("\"", "\\\"")
                            .replace(WORKING_DIRECTORY, "@")
                    + "\"";
        }
        if (value instanceof InetSocketAddress address) {
            return address.getAddress().getHostAddress() + ":" + address.getPort();
        }
        return String.valueOf(value).replace(WORKING_DIRECTORY, "@");
    }

    private void addMap(Map<?, ?> map) {
        // A class used as a key has a name that may change, so only the value is rendered.
        boolean byClass = map.keySet().stream().anyMatch(Class.class::isInstance);
        List<String> entries = new ArrayList<>();
        map.forEach((key, value) -> entries.add((byClass ? "" : of(key)) + of(value)));
        Collections.sort(entries);
        open("{");
        entries.forEach(this::addRendered);
        close("}");
    }

    private void addCollection(Collection<?> collection) {
        List<String> entries = new ArrayList<>();
        collection.forEach(value -> entries.add(of(value)));
        if (collection instanceof Set<?>) {
            Collections.sort(entries);
        }
        open("[");
        entries.forEach(this::addRendered);
        close("]");
    }

    private void addArray(Object array) {
        open("[");
        for (int i = 0; i < Array.getLength(array); i++) {
            add(Array.get(array, i));
        }
        close("]");
    }

    private void addFields(Object value) {
        if (value.getClass().isHidden() || value.getClass().isSynthetic()) {
            line("function");
            return;
        }
        if (!parents.add(value)) {
            line("parent");
            return;
        }
        open("(");
        addFields(value, value.getClass());
        close(")");
        parents.remove(value);
    }

    private void addFields(Object value, Class<?> type) {
        if (type.getSuperclass() != null && type.getSuperclass().getName().startsWith(OWN_PACKAGE)) {
            addFields(value, type.getSuperclass());
        }
        for (Field field : type.getDeclaredFields()) {
            if (!Modifier.isStatic(field.getModifiers()) && !field.isSynthetic()) {
                field.setAccessible(true);
                add(get(field, value));
            }
        }
    }

    private static Object get(Field field, Object value) {
        try {
            return field.get(value);
        } catch (IllegalAccessException e) {
            throw new IllegalStateException(e);
        }
    }

    private void open(String bracket) {
        line(bracket);
        indents.push(indents.peek() + INDENT);
    }

    private void close(String bracket) {
        indents.pop();
        line(bracket);
    }

    private void addRendered(String lines) {
        lines.lines().forEach(this::line);
    }

    private void line(String line) {
        text.append(indents.peek()).append(line).append('\n');
    }
}
