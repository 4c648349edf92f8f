package cacheproxy.proxy.process;

/** The signal that tells of a new configuration. */
public final class SighupHandler {
    /** What operators are told where the signal will not come. */
    public static final String IGNORED_MESSAGE =
            "SIGHUP is ignored in this process, as under nohup: a new configuration is read by POST /reload at the "
                    + "control address alone";

    private SighupHandler() {}

    /**
     * SIGHUP tells of a new configuration; unhandled it would end the process. The JDK's signals are called by
     * reflection, as the compiler warns of their package and can't be told not to.
     *
     * @return whether the signal will come; not where it was ignored when the process started, as under nohup: then it
     *     stays so
     */
    public static boolean install(Runnable task) throws ReflectiveOperationException {
        Class<?> signal = Class.forName("sun.misc.Signal");
        Class<?> handler = Class.forName("sun.misc.SignalHandler");
        Object before = signal.getMethod("handle", signal, handler)
                .invoke(
                        null,
                        signal.getConstructor(String.class).newInstance("HUP"),
                        java.lang.reflect.Proxy.newProxyInstance(
                                handler.getClassLoader(), new Class<?>[] {handler}, (self, method, args) -> {
                                    task.run();
                                    return null;
                                }));
        return before != handler.getField("SIG_IGN").get(null);
    }
}
