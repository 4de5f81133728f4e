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
 * Has the simulator play the policies of many gateways: its messages become events of the policies,
 * and their actions become messages to it. One thread; the time is the simulator's.
 */
public final class SimulatorAdapter {

  private final JsonParser input;
  private final SimulatorMessageWriter output;
  private final Map<Integer, SimulatedGateway> gateways = new HashMap<>();

  /** Endpoint lists by their numbers; many messages refer to the same one. */
  private final Map<Integer, List<Endpoint>> endpointLists = new HashMap<>();

  /** The time of the present batch. */
  private double nowMs;

  private long batchNumber;

  /** Whether a policy failed in the present batch; the rest of the batch is passed over. */
  private boolean batchFailed;

  private record SimulatedGateway(GatewayPolicy policy, PolicySettings settings) {}

  /** Reads the simulator's messages from the input, and writes to the output. */
  public SimulatorAdapter(InputStream input, OutputStream output) throws IOException {
    JsonFactory factory = new JsonFactory();
    this.input = factory.createParser(input);
    this.output = new SimulatorMessageWriter(factory, output);
  }

  /**
   * Responds to batches of messages until the input ends.
   *
   * @throws IOException where the input is not made of JSON objects, or the output is closed
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
   * A fault of the policy is reported, with the rest of its batch passed over, and ends no play.
   */
  private void deliver(SimulatorMessage message) throws IOException {
    try {
      for (Action action : decideOn(message)) {
        output.write(message.gatewayNumber(), action);
      }
    } catch (RuntimeException e) {
      output.writeFault(message.gatewayNumber(), e);
      batchFailed = true;
    }
  }

  private List<Action> decideOn(SimulatorMessage message) {
    return switch (message.kind()) {
      case GATEWAY_START -> start(message);
      case GATEWAY_STOP -> {
        gateways.remove(message.gatewayNumber());
        yield List.of();
      }
      default -> decideOnEvent(message);
    };
  }

  private List<Action> start(SimulatorMessage message) {
    PolicySettings settings = message.settings();
    GatewayPolicy policy = new GatewayPolicy(settings, message.randomSeed());
    gateways.put(message.gatewayNumber(), new SimulatedGateway(policy, settings));
    return policy.start(nowMs);
  }

  private List<Action> decideOnEvent(SimulatorMessage message) {
    SimulatedGateway gateway = gateways.get(message.gatewayNumber());
    if (gateway == null) {
      return List.of();
    }
    Event event = message.event(gateway.settings(), endpointLists);
    return event == null ? List.of() : gateway.policy().on(nowMs, event);
  }
}
