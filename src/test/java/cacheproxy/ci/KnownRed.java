package cacheproxy.ci;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.extension.ConditionEvaluationResult;
import org.junit.jupiter.api.extension.ExecutionCondition;
import org.junit.jupiter.api.extension.ExtensionContext;

/**
 * Skips exactly the tests that are listed, as Class#method, in the file that the system property {@code known.red}
 * names.
 */
public final class KnownRed implements ExecutionCondition {
    private final List<String> entries;

    /** Reads the file that the system property names; only CI sets it. */
    public KnownRed() {
        this(System.getProperty("known.red", ""));
    }

    KnownRed(String file) {
        try {
            entries = file.isEmpty() ? List.of() : Files.readAllLines(Path.of(file));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public ConditionEvaluationResult evaluateExecutionCondition(ExtensionContext context) {
        return context.getTestMethod()
                .map(method -> evaluate(method.getDeclaringClass().getSimpleName(), method.getName()))
                .orElseGet(() -> ConditionEvaluationResult.enabled("no method"));
    }

    ConditionEvaluationResult evaluate(String testClass, String method) {
        return entries.stream()
                .filter(entry -> entry.startsWith(testClass + "#" + method + ","))
                .findFirst()
                .map(entry -> ConditionEvaluationResult.disabled("known red: " + entry))
                .orElseGet(() -> ConditionEvaluationResult.enabled("not known red"));
    }
}
