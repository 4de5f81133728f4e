package quotagateway.simulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import quotagateway.config.JsonFields;
import quotagateway.endpoint.Endpoint;
import quotagateway.policy.GatewayPolicy;
import quotagateway.policy.action.Action;
import quotagateway.policy.event.Event;
import quotagateway.policy.settings.PolicySettings;

/**
 * Connects the simulator to the policies of many gateways. The adapter converts the simulator's
 * messages into policy events, and the policies' actions into messages to the simulator. It is
 * single-threaded and takes the time from the simulator.
 */
public final class SimulatorAdapter {

  private final JsonParser input;
  private final SimulatorMessageWriter output;
  private final Map<Integer, SimulatedGateway> gateways = new HashMap<>();

  /** Endpoint lists by number; many messages refer to the same list. */
  private final Map<Integer, List<Endpoint>> endpointLists = new HashMap<>();

  /** Simulated time of the current batch. */
  private double nowMs;

  private long batchNumber;

  /**
   * Whether a policy failed in the current batch; its remaining gateway messages are then skipped.
   */
  private boolean batchFailed;

  private record SimulatedGateway(GatewayPolicy policy, PolicySettings settings) {}

  /**
   * Creates an adapter between two streams, which the caller closes.
   *
   * @throws IOException if the input cannot be read at all
   */
  public SimulatorAdapter(InputStream input, OutputStream output) throws IOException {
    JsonFactory factory = new JsonFactory();
    this.input = factory.createParser(input);
    this.output = new SimulatorMessageWriter(factory, output);
  }

  /**
   * Processes batches of messages until the input ends.
   *
   * @throws IOException if the input is not a sequence of JSON objects, or the output is closed
   */
  public void run() throws IOException {
    while (input.nextToken() != null) {
      handle(new SimulatorMessage(JsonFields.readObject(input)));
    }
  }

  private void handle(SimulatorMessage message) throws IOException {
    switch (message.kind()) {
      case BATCH_START -> {
        nowMs = message.clockMs();
        batchNumber = message.batchNumber();
      }
      case ENDPOINT_LIST -> endpointLists.put(message.endpointListNumber(), message.endpoints());
      case BATCH_END -> {
        output.writeAcknowledgement(batchNumber);
        batchFailed = false;
      }
      case GATEWAY_START, GATEWAY_STOP, EVENT -> {
        if (message.hasGateway() && !batchFailed) {
          deliver(message);
        }
      }
    }
  }

  /**
   * Passes a message to its gateway's policy and writes the resulting actions. If the policy fails,
   * reports the fault and skips the remaining gateway messages of the batch; the simulation
   * continues.
   */
  private void deliver(SimulatorMessage message) throws IOException {
    try {
      for (Action action : actionsFor(message)) {
        output.write(message.gatewayNumber(), action);
      }
    } catch (RuntimeException e) {
      output.writeFault(message.gatewayNumber(), e);
      batchFailed = true;
    }
  }

  private List<Action> actionsFor(SimulatorMessage message) {
    return switch (message.kind()) {
      case GATEWAY_START -> startGateway(message);
      case GATEWAY_STOP -> {
        gateways.remove(message.gatewayNumber());
        yield List.of();
      }
      default -> actionsForEvent(message);
    };
  }

  private List<Action> startGateway(SimulatorMessage message) {
    PolicySettings settings = message.settings();
    GatewayPolicy policy = new GatewayPolicy(settings, message.randomSeed());
    gateways.put(message.gatewayNumber(), new SimulatedGateway(policy, settings));
    return policy.start(nowMs);
  }

  private List<Action> actionsForEvent(SimulatorMessage message) {
    SimulatedGateway gateway = gateways.get(message.gatewayNumber());
    if (gateway == null) {
      return List.of();
    }
    Event event = message.event(gateway.settings(), endpointLists);
    return event == null ? List.of() : gateway.policy().on(nowMs, event);
  }
}
