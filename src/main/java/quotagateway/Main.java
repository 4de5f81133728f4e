package quotagateway;

import java.io.IOException;
import quotagateway.config.InvalidConfigurationException;
import quotagateway.server.GatewayServer;
import quotagateway.simulator.SimulatorAdapter;

/** Runs the module as a real front door, or on the bench's wire over standard input and output. */
public final class Main {

  private Main() {}

  public static void main(String[] args) throws InterruptedException {
    String mode = args.length == 1 ? args[0] : "";
    try {
      switch (mode) {
        case "serve" -> GatewayServer.serve();
        case "simulator-adapter" -> new SimulatorAdapter(System.in, System.out).run();
        default -> {
          System.err.println("usage: java -jar quota-gateway.jar serve|simulator-adapter");
          System.exit(2);
        }
      }
    } catch (IOException | InvalidConfigurationException | RuntimeException e) {
      String reason = String.valueOf(e.getMessage()).lines().findFirst().orElse("");
      System.err.println(
          "quota-gateway: " + (mode.equals("serve") ? "cannot serve: " : "bad input: ") + reason);
      System.exit(1);
    }
  }
}
