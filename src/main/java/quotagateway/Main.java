package quotagateway;

import java.io.IOException;
import quotagateway.config.InvalidConfigurationException;
import quotagateway.server.ServeCommand;
import quotagateway.simulator.SimulatorAdapter;

/**
 * The program's commands: {@code serve} is the gateway, {@code simulator-adapter} its policy alone,
 * which the simulator plays over standard input and output.
 */
public final class Main {

  private static final int EXIT_FAILURE = 1;
  private static final int EXIT_USAGE = 2;

  private Main() {}

  /** Runs the command that is the one argument. */
  public static void main(String[] args) throws InterruptedException {
    String command = args.length == 1 ? args[0] : "";
    switch (command) {
      case "serve" -> serve();
      case "simulator-adapter" -> adaptSimulator();
      default -> {
        System.err.println("usage: java -jar quota-gateway.jar serve|simulator-adapter");
        System.exit(EXIT_USAGE);
      }
    }
  }

  private static void serve() throws InterruptedException {
    try {
      ServeCommand.run(System.getenv());
    } catch (IOException | InvalidConfigurationException | RuntimeException e) {
      fail("cannot serve", e);
    }
  }

  private static void adaptSimulator() {
    try {
      new SimulatorAdapter(System.in, System.out).run();
    } catch (IOException | RuntimeException e) {
      fail("bad input", e);
    }
  }

  /** Ends the process with one line: whoever starts it sees no stack trace, but the reason. */
  private static void fail(String event, Exception cause) {
    String reason = String.valueOf(cause.getMessage()).lines().findFirst().orElse("");
    System.err.println("quota-gateway: " + event + ": " + reason);
    System.exit(EXIT_FAILURE);
  }
}
