package cacheproxy.proxy.discovery;

/** Converts discovery's names of zones and of server kinds to the form that the settings use. */
public final class SettingNames {
    private SettingNames() {}

    /** The name without spaces and commas, which separate the simulator's settings. */
    public static String toSettingName(String name) {
        return name.replace(' ', '_').replace(',', '_');
    }
}
