package cacheproxy.fakes.nginx;

import cacheproxy.nginx.Directive;
import java.util.List;
import java.util.regex.Matcher;

/** Runs rewrite directives: {@code set}, {@code if}, {@code rewrite}, {@code return} and {@code break}. */
final class RewriteInterpreter {
    private final PatternCache patterns;
    private final VariableExpander variables;

    RewriteInterpreter(PatternCache patterns, VariableExpander variables) {
        this.patterns = patterns;
        this.variables = variables;
    }

    /**
     * Runs the rewrite directives of a block until one of them ends the request or the processing of the rewrite
     * directives.
     */
    void run(List<Directive> block, SimulatedRequest request) {
        for (Directive directive : block) {
            if (request.isAnswered() || request.isRewriteEnded()) {
                return;
            }
            boolean endsSet = run(directive, request);
            if (endsSet) {
                return;
            }
        }
    }

    /** Runs a directive; returns whether those after it are skipped. */
    private boolean run(Directive directive, SimulatedRequest request) {
        switch (directive.name()) {
            case "set" -> {
                String value = variables.expand(directive.arg(1), request);
                request.variables().put(directive.arg(0).substring(1), value);
            }
            case "return" -> {
                String code = directive.arg(0);
                request.answer(code.matches("[0-9]{3}") ? Integer.parseInt(code) : 302);
            }
            case "break" -> request.setRewriteEnded(true);
            case "rewrite" -> {
                return rewrite(directive, request);
            }
            case "if" -> {
                return conditionHolds(directive, request) && runIf(directive, request);
            }
            default -> {}
        }
        return false;
    }

    /**
     * Runs the block of an {@code if}; returns whether a rewrite in it has ended the processing of all rewrite
     * directives.
     */
    private boolean runIf(Directive directive, SimulatedRequest request) {
        Directive pass = directive.lastChildNamed("proxy_pass");
        pass = pass != null ? pass : directive.lastChildNamed("memcached_pass");
        if (pass != null) {
            request.setHandler(pass);
        }
        boolean changedBefore = request.isPathChangedInLocation();
        run(directive.block(), request);
        boolean changedHere = request.isPathChangedInLocation() && !changedBefore;
        return changedHere
                && directive.childrenNamed("rewrite").stream()
                        .anyMatch(rewrite -> rewrite.arg(2).equals("last"));
    }

    /** Runs a {@code rewrite}; returns whether it ends the processing of the rewrite directives. */
    private boolean rewrite(Directive directive, SimulatedRequest request) {
        Matcher match = patterns.get(directive.arg(0), false).matcher(request.path());
        if (!match.find()) {
            return false;
        }
        request.setGroups(match);
        String target = variables.expand(directive.arg(1), request);
        String flag = directive.arg(2);
        boolean isUrl = target.startsWith("http://") || target.startsWith("https://");
        if (isUrl || flag.equals("redirect") || flag.equals("permanent")) {
            request.answer(flag.equals("permanent") ? 301 : 302);
            return true;
        }
        int question = target.indexOf('?');
        request.rewritePath(question < 0 ? target : target.substring(0, question));
        if (flag.equals("break")) {
            request.setRewriteEnded(true);
        }
        return !flag.isEmpty();
    }

    private boolean conditionHolds(Directive directive, SimulatedRequest request) {
        String[] words = condition(directive).split("\\s+", 3);
        if (!words[0].startsWith("$")) {
            return words[0].startsWith("!-"); // no files exist in the model, so only negated file tests are true
        }
        String value = variables.expand(words[0], request);
        if (words.length == 1) {
            return !value.isEmpty() && !value.equals("0");
        }
        String operator = words[1];
        String right = unquoted(words[2]);
        boolean negated = operator.startsWith("!");
        if (operator.equals("=") || operator.equals("!=")) {
            return value.equals(right) != negated;
        }
        Matcher match = patterns.get(right, operator.endsWith("*")).matcher(value);
        boolean found = match.find();
        if (found && !negated) {
            request.setGroups(match);
        }
        return found != negated;
    }

    private static String condition(Directive directive) {
        String text = String.join(" ", directive.args()).trim();
        int start = text.startsWith("(") ? 1 : 0;
        int end = text.endsWith(")") ? text.length() - 1 : text.length();
        return text.substring(start, end).trim();
    }

    private static String unquoted(String text) {
        boolean quoted = text.length() > 1 && "\"'".indexOf(text.charAt(0)) >= 0;
        return quoted ? text.substring(1, text.length() - 1) : text;
    }
}
