package quotagateway.server;

import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;

/**
 * SIGHUP, which asks for a reload of the configuration and would end the JVM where nothing handles
 * it. The JDK's one interface to signals is reached by reflection, as the compiler warns of every
 * other use of it, and warnings are errors here.
 */
final class ReloadSignal {

  private static final String NAME = "HUP";

  /** The signal cannot be handled in this process. */
  static final class UnavailableException extends IOException {

    private static final long serialVersionUID = 1;

    UnavailableException(String reason, Throwable cause) {
      super("SIG" + NAME + " cannot be handled: " + reason, cause);
    }
  }

  private ReloadSignal() {}

  /**
   * Runs the action on each SIGHUP from now on, on a thread of the JVM's own.
   *
   * <p>Prevents a gateway that serves by an old configuration for good: where the JVM leaves the
   * signal alone, a reload would be ignored in silence, or end the process. Cost: such a gateway
   * does not start.
   *
   * @throws UnavailableException where the JVM leaves the signal alone: where it was ignored when
   *     the process started, which a process inherits (as from nohup), or where the JVM's options
   *     forbid handlers
   */
  static void handle(Runnable reload) throws UnavailableException {
    if (install(reload) == ignoringHandler()) {
      throw new UnavailableException(
          "it was ignored when the program started; start it by env --default-signal=" + NAME,
          null);
    }
  }

  /** Installs the action as the handler; returns the handler before it. */
  private static Object install(Runnable reload) throws UnavailableException {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = handlerType();
      Object handling =
          Proxy.newProxyInstance(
              ReloadSignal.class.getClassLoader(),
              new Class<?>[] {handler},
              (proxy, method, arguments) -> {
                reload.run();
                return null;
              });
      return signal
          .getMethod("handle", signal, handler)
          .invoke(null, signal.getConstructor(String.class).newInstance(NAME), handling);
    } catch (InvocationTargetException e) {
      throw new UnavailableException(e.getCause().getMessage(), e.getCause());
    } catch (ReflectiveOperationException e) {
      throw new UnavailableException("this Java has no interface to signals", e);
    }
  }

  /**
   * What HotSpot returns as the handler before where the process inherited the signal as ignored;
   * it then installs nothing and reports no error.
   */
  private static Object ignoringHandler() throws UnavailableException {
    try {
      return handlerType().getField("SIG_IGN").get(null);
    } catch (ReflectiveOperationException e) {
      throw new UnavailableException("this Java has no interface to signals", e);
    }
  }

  private static Class<?> handlerType() throws ClassNotFoundException {
    return Class.forName("sun.misc.SignalHandler");
  }
}
