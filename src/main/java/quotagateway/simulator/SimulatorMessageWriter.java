package quotagateway.simulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import quotagateway.policy.action.Action;
import quotagateway.policy.action.CancelAttempt;
import quotagateway.policy.action.FailRequest;
import quotagateway.policy.action.IncrementCounter;
import quotagateway.policy.action.RejectRequest;
import quotagateway.policy.action.ScheduleTimer;
import quotagateway.policy.action.StartAttempt;
import quotagateway.policy.action.WatchEndpoints;

/**
 * Writes messages to the simulator, one on each line. Only this class knows the names of the
 * messages and fields that the simulator receives.
 */
final class SimulatorMessageWriter {

  /** Limits the output that is buffered until the end of a batch. */
  private static final int BUFFER_BYTES = 1 << 16;

  private static final String REQUEST_ID = "Tid";

  private final JsonGenerator out;

  SimulatorMessageWriter(JsonFactory factory, OutputStream output) throws IOException {
    out = factory.createGenerator(new BufferedOutputStream(output, BUFFER_BYTES));
    out.setRootValueSeparator(null);
    out.disable(JsonGenerator.Feature.FLUSH_PASSED_TO_STREAM);
  }

  /** Writes an action of a gateway's policy. */
  void write(int gatewayNumber, Action action) throws IOException {
    action.handle(new ActionWriter(gatewayNumber));
  }

  /** Reports a fault in a gateway's policy. */
  void writeFault(int gatewayNumber, RuntimeException fault) throws IOException {
    beginMessage("Fault", gatewayNumber);
    String reason = fault.getMessage() == null ? fault.toString() : fault.getMessage();
    out.writeStringField("Line", reason);
    endMessage();
  }

  /**
   * Acknowledges the end of a batch. Flushes all output, because the simulator waits for the
   * acknowledgement.
   */
  void writeAcknowledgement(long batchNumber) throws IOException {
    out.writeStartObject();
    out.writeStringField("m", "Ack");
    out.writeNumberField("n", batchNumber);
    endMessage();
    out.enable(JsonGenerator.Feature.FLUSH_PASSED_TO_STREAM);
    out.flush();
    out.disable(JsonGenerator.Feature.FLUSH_PASSED_TO_STREAM);
  }

  private void beginMessage(String name, int gatewayNumber) throws IOException {
    out.writeStartObject();
    out.writeStringField("m", name);
    out.writeNumberField("DoorId", gatewayNumber);
  }

  private void endMessage() throws IOException {
    out.writeEndObject();
    out.writeRaw('\n');
  }

  /** Writes the actions of one gateway's policy. */
  private final class ActionWriter implements Action.Handler<IOException> {
    private final int gatewayNumber;

    ActionWriter(int gatewayNumber) {
      this.gatewayNumber = gatewayNumber;
    }

    @Override
    public void onStartAttempt(StartAttempt action) throws IOException {
      beginMessage("Relay", gatewayNumber);
      out.writeStringField(REQUEST_ID, action.requestId());
      out.writeNumberField("Backend", action.endpointId());
      out.writeNumberField("TimeoutMs", action.timeoutMs());
      endMessage();
    }

    @Override
    public void onCancelAttempt(CancelAttempt action) throws IOException {
      beginMessage("UndoSend", gatewayNumber);
      out.writeStringField(REQUEST_ID, action.requestId());
      out.writeNumberField("SendNo", action.attempt());
      endMessage();
    }

    @Override
    public void onRejectRequest(RejectRequest action) throws IOException {
      beginMessage("Deny", gatewayNumber);
      out.writeStringField(REQUEST_ID, action.requestId());
      if (action.retryAfterMs() > 0) {
        out.writeNumberField("HoldOffMs", action.retryAfterMs());
      }
      endMessage();
    }

    @Override
    public void onFailRequest(FailRequest action) throws IOException {
      beginMessage("Lose", gatewayNumber);
      out.writeStringField(REQUEST_ID, action.requestId());
      endMessage();
    }

    @Override
    public void onIncrementCounter(IncrementCounter action) throws IOException {
      beginMessage("PostAmount", gatewayNumber);
      out.writeStringField("Book", action.counterName());
      out.writeNumberField("Qty", action.amount());
      out.writeNumberField("TtlMs", action.ttlMs());
      endMessage();
    }

    @Override
    public void onScheduleTimer(ScheduleTimer action) throws IOException {
      beginMessage("After", gatewayNumber);
      out.writeNumberField("InstantMs", action.atMs());
      out.writeStringField("Label", TimerLabels.label(action.timer()));
      endMessage();
    }

    @Override
    public void onWatchEndpoints(WatchEndpoints action) throws IOException {
      beginMessage("Track", gatewayNumber);
      out.writeBooleanField("Active", true);
      endMessage();
    }
  }
}
