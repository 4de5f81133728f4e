package quotagateway;

import java.io.IOException;
import quotagateway.config.InvalidConfigurationException;
import quotagateway.server.ServeCommand;
import quotagateway.simulator.SimulatorAdapter;
import quotagateway.transport.AsyncLogHandler;

/**
 * The commands of the program: {@code serve} runs the gateway, and {@code simulator-adapter} runs
 * only its policy, driven by the simulator over standard input and output.
 */
public final class Main {

  /** Property of the format of log lines: time, level and message on one line. */
  private static final String LOG_FORMAT_PROPERTY = "java.util.logging.SimpleFormatter.format";

  private static final String LOG_FORMAT = "%1$tFT%1$tT.%1$tL%1$tz %4$s %5$s%6$s%n";
  private static final int EXIT_FAILURE = 1;
  private static final int EXIT_USAGE = 2;

  private Main() {}

  /**
   * Runs the command given as the only argument; exits with status 2 if there is no such command.
   */
  public static void main(String[] args) throws InterruptedException {
    String command = args.length == 1 ? args[0] : "";
    switch (command) {
      case "serve" -> serve();
      case "simulator-adapter" -> runSimulatorAdapter();
      default -> {
        System.err.println("usage: java -jar quota-gateway.jar serve|simulator-adapter");
        System.exit(EXIT_USAGE);
      }
    }
  }

  private static void serve() throws InterruptedException {
    System.setProperty(LOG_FORMAT_PROPERTY, LOG_FORMAT);
    AsyncLogHandler.install();
    try {
      ServeCommand.run(System.getenv());
    } catch (IOException | InvalidConfigurationException | RuntimeException e) {
      fail("cannot serve", e);
    }
  }

  private static void runSimulatorAdapter() {
    try {
      new SimulatorAdapter(System.in, System.out).run();
    } catch (IOException | RuntimeException e) {
      fail("bad input", e);
    }
  }

  /** Exits after printing a single line with the reason, without a stack trace. */
  private static void fail(String event, Exception cause) {
    String reason = String.valueOf(cause.getMessage()).lines().findFirst().orElse("");
    System.err.println("quota-gateway: " + event + ": " + reason);
    System.exit(EXIT_FAILURE);
  }
}
