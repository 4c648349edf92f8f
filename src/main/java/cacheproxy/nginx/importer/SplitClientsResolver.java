package cacheproxy.nginx.importer;

import cacheproxy.nginx.Directive;
import cacheproxy.routes.PlacementTemplate;
import cacheproxy.routes.SplitShare;
import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.List;

/** Resolves variables that a {@code split_clients} block defines. */
final class SplitClientsResolver {
    /** nginx computes each share as a fraction of this number, in hundredths of a percent. */
    private static final long MAX_HASH = 0xFFFFFFFFL;

    private static final long HUNDREDTHS_OF_WHOLE = 10_000;
    private static final String REMAINDER = "*";

    private final ExpressionResolver resolver;
    private final Report report;

    SplitClientsResolver(ExpressionResolver resolver, Report report) {
        this.resolver = resolver;
        this.report = report;
    }

    /** Resolves the variable of a split. */
    List<Alternative> resolve(Directive split, VariableScope scope) throws UnsupportedDirectiveException {
        String hashTemplate = PlacementText.of(Expression.of(split.arg(0)));
        if (hashTemplate == null) {
            String value = valueWithoutSplit(split);
            report.notCarried(
                    split,
                    split.arg(0) + " can't be known from keys: nothing is split, '" + value + "' is taken for all");
            return resolver.resolve(Expression.of(value), scope.nested());
        }
        report.carried(split);
        PlacementTemplate template = new PlacementTemplate(hashTemplate);
        List<Alternative> values = new ArrayList<>();
        long fromHash = 0;
        String remainder = "";
        for (Directive entry : split.block()) {
            if (entry.name().equals(REMAINDER)) {
                remainder = entry.arg(0);
                continue;
            }
            long hundredths = hundredths(entry.name());
            if (hundredths < 0) {
                report.notCarried(split, "nginx refuses this: invalid percent value \"" + entry.name() + "\"");
                continue;
            }
            // Same arithmetic as in nginx, so that every key falls into the same share.
            long share = hundredths * MAX_HASH / HUNDREDTHS_OF_WHOLE;
            long toHash = Math.min(SplitShare.HASH_RANGE - 1, fromHash + share);
            if (toHash > fromHash) {
                Conditions conditions = Conditions.share(template, fromHash, toHash);
                values.addAll(resolver.resolveValue(entry.arg(0), conditions, scope));
            }
            fromHash = toHash;
        }
        values.addAll(resolver.resolveValue(remainder, Conditions.NONE, scope));
        return values;
    }

    /** Returns the value of the first remainder entry; if there is none, of the last share. */
    private static String valueWithoutSplit(Directive split) {
        List<Directive> remainders = split.childrenNamed(REMAINDER);
        if (!remainders.isEmpty()) {
            return remainders.get(0).arg(0);
        }
        List<Directive> entries = split.block();
        return entries.isEmpty() ? "" : entries.get(entries.size() - 1).arg(0);
    }

    /** Returns a percentage in hundredths of a percent; -1 if the text is not a percentage. */
    private static long hundredths(String percentage) {
        if (!percentage.matches("[0-9]{1,3}(\\.[0-9]{1,2})?%")) {
            return -1;
        }
        String number = percentage.substring(0, percentage.length() - 1);
        return new BigDecimal(number).movePointRight(2).longValueExact();
    }
}
