package cacheproxy.nginx.importer;

import cacheproxy.nginx.Directive;

/**
 * The condition of an {@code if}.
 *
 * @param text the condition without its parentheses
 * @param left the variable; any other text if the condition tests no variable
 * @param operator such as {@code =} or {@code !~*}; null: the condition tests whether the variable has a value
 * @param right the text or pattern to compare with, without quotes; null if there is none
 */
record IfCondition(String text, String left, String operator, String right) {
    /** Parses the parameters of an {@code if}. */
    static IfCondition of(Directive directive) {
        String parameters = String.join(" ", directive.args());
        boolean inParentheses = parameters.startsWith("(") && parameters.endsWith(")");
        String text =
                inParentheses ? parameters.substring(1, parameters.length() - 1).trim() : parameters;
        String[] words = text.split("\\s+", 3);
        return new IfCondition(
                text, words[0], words.length > 1 ? words[1] : null, words.length > 2 ? unquoted(words[2]) : null);
    }

    /** Whether the condition tests a variable and is complete. */
    boolean isComparison() {
        return left.startsWith("$") && (operator == null || right != null);
    }

    /** Whether the condition has an operator. */
    boolean hasOperator() {
        return operator != null;
    }

    /** Whether the operator is negated. */
    boolean isNegated() {
        return operator.startsWith("!");
    }

    /** Whether the operator compares the whole text. */
    boolean isEquality() {
        return operator.equals("=") || operator.equals("!=");
    }

    /** Whether the operator matches a pattern. */
    boolean isMatch() {
        return operator.matches("!?~\\*?");
    }

    /** Returns the pattern of the condition. */
    RegexTranslation regex() {
        return RegexTranslation.of(right, operator.endsWith("*"));
    }

    private static String unquoted(String text) {
        boolean quoted = text.length() > 1 && "\"'".indexOf(text.charAt(0)) >= 0 && text.endsWith(text.substring(0, 1));
        return quoted ? text.substring(1, text.length() - 1) : text;
    }
}
