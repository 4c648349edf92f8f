package cacheproxy.proxy.process;

import java.lang.reflect.InvocationHandler;

/**
 * Handles SIGHUP, with which operators announce a new configuration. Without a handler, the signal would end the
 * process.
 */
public final class SighupHandler {
    /** The message for operators if the process does not receive the signal. */
    public static final String IGNORED_MESSAGE =
            "SIGHUP is ignored in this process, as under nohup: a new configuration is read only on POST /reload to the "
                    + "control address";

    private SighupHandler() {}

    /**
     * Runs the task on each SIGHUP, on a thread of the JVM. The JDK's signal classes are used by reflection, because
     * the compiler warns about their package and the warning can't be suppressed.
     *
     * @return whether the process receives the signal; it does not if it was started with the signal ignored, as under
     *     nohup
     * @throws ReflectiveOperationException if this JDK has no such classes
     */
    public static boolean install(Runnable task) throws ReflectiveOperationException {
        Class<?> signalClass = Class.forName("sun.misc.Signal");
        Class<?> handlerClass = Class.forName("sun.misc.SignalHandler");
        InvocationHandler runTask = (self, method, arguments) -> {
            task.run();
            return null;
        };
        Object handler = java.lang.reflect.Proxy.newProxyInstance(
                handlerClass.getClassLoader(), new Class<?>[] {handlerClass}, runTask);
        Object signal = signalClass.getConstructor(String.class).newInstance("HUP");
        Object previous =
                signalClass.getMethod("handle", signalClass, handlerClass).invoke(null, signal, handler);
        return previous != handlerClass.getField("SIG_IGN").get(null);
    }
}
