package damsonworks.proxy;

/** The signal that tells of a new configuration. */
public final class Hangup {
    private Hangup() { }

    /**
     * SIGHUP tells of a new configuration; unhandled it would end the process. The JDK's signals are called by
     * reflection, as the compiler warns of their package and can't be told not to.
     */
    public static void run(Runnable task) throws ReflectiveOperationException {
        Class<?> signal = Class.forName("sun.misc.Signal");
        Class<?> handler = Class.forName("sun.misc.SignalHandler");
        signal.getMethod("handle", signal, handler).invoke(null, signal.getConstructor(String.class).newInstance("HUP"),
                java.lang.reflect.Proxy.newProxyInstance(handler.getClassLoader(), new Class<?>[] {handler},
                        (self, method, args) -> {
                            task.run();
                            return null;
                        }));
    }
}
