package cacheproxy.config;

import cacheproxy.routes.PlacementTemplate;

/** Reads the templates of the texts that placements hash. */
final class PlacementTemplates {
    private PlacementTemplates() {}

    /**
     * Reads a template; returns null if the key is absent or after an error.
     *
     * @param groups number of groups in the route's regex, to which the template can refer
     */
    static PlacementTemplate read(TomlTableReader table, String key, int groups) {
        String text = table.text(key, null);
        if (text == null) {
            return null;
        }
        try {
            PlacementTemplate template = new PlacementTemplate(text);
            if (template.highestGroup() > groups) {
                String remedy =
                        groups == 0 ? "only routes with a regex have groups" : "the route's first regex has " + groups;
                table.error(key, key + ": '$" + template.highestGroup() + "' is not a group; " + remedy);
            }
            return template;
        } catch (IllegalArgumentException e) {
            table.error(key, key + ": " + e.getMessage());
            return null;
        }
    }
}
