package cacheproxy.proxy.discovery;

/** Discovery's names of zones and of server kinds, in the form in which the settings list them. */
public final class SettingNames {
    private SettingNames() {}

    /** The name without spaces and commas, which separate the simulator's settings. */
    public static String toSettingName(String name) {
        return name.replace(' ', '_').replace(',', '_');
    }
}
