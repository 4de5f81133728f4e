package willowdoor;

import java.util.List;

/**
 * What passes between a gateway and its decision module, {@link QuotaPolicy}: the settings at the
 * start, then events in, new settings among them, and actions out. Times are milliseconds on a
 * clock that only moves forward. Nothing is decided here.
 */
public final class GatewayApi {

  private GatewayApi() {}

  /**
   * May a request run again: freely, within a group of backends that drops its repeats, or never.
   */
  public enum Repeat {
    SAFE,
    KEYED,
    UNSAFE
  }

  /**
   * The backends that drop a keyed request's repeats: all, those of one zone, or those of one cell.
   */
  public enum Group {
    ALL,
    ZONE,
    CELL
  }

  /**
   * How an attempt or a call ended. UNREACHABLE: it was refused a connection, or none came up
   * within the limit. BROKEN: its connection broke before it was written whole. NOT_SENT: this
   * gateway sent nothing, for causes of its own. SPOILT: the answer cannot be read, or a kept
   * connection turned out to be dead; it may have run, and its backend is not to blame.
   */
  public enum Status {
    OK,
    ERROR,
    REJECTED,
    TIMED_OUT,
    UNREACHABLE,
    BROKEN,
    RESET,
    SPOILT,
    CANCELLED,
    NOT_SENT;

    /** True when this ending shows that the attempt never ran, or the call added nothing. */
    public boolean provesNotRun() {
      return this == REJECTED || this == UNREACHABLE || this == BROKEN || this == NOT_SENT;
    }
  }

  public enum Phase {
    SERVING,
    DRAINING,
    REMOVED
  }

  /**
   * A roster holds only what changed, all backends, all as seen in an earlier life, or is a
   * failure. PART is a piece of a list of which more follows: the next roster of another form is
   * its end, and says what all of it was. Entries hold from their piece on.
   */
  public enum RosterForm {
    CHANGES,
    COMPLETE,
    REMEMBERED,
    FAILED,
    PART
  }

  /** One class of requests: worth, time wanted, time allowed, and whether it may run again. */
  public record RequestClass(
      String name,
      double value,
      double lateValue,
      double aimMs,
      double deadlineMs,
      Repeat repeat,
      Group group,
      double repeatWindowMs,
      boolean stream) {}

  /** One plan; a rate, open limit or ceiling rate of 0 means that there is none. */
  public record Plan(
      String name,
      double rate,
      double burst,
      int openLimit,
      double worthFactor,
      double beyondEarns,
      double beyondCost,
      double ceilingRate,
      double ceilingBurst,
      double ceilingSlack) {}

  /** What a gateway may use and do. */
  public record Allowed(
      boolean sharedCount,
      double countLimitMs,
      boolean cancel,
      boolean duplicates,
      int attempts,
      int open,
      boolean holdOff,
      double maxHoldOffMs,
      boolean rosterOnRequest) {}

  /** Figures of the rules. */
  public record Rules(
      double answerSlackMs,
      double coldFrom,
      double coldMs,
      double tipMultiple,
      double tipAfterMs) {}

  public record Settings(
      int gateways,
      int self,
      String zone,
      double maxUnits,
      double crossZonePrice,
      boolean sizesTold,
      List<RequestClass> classes,
      List<Plan> plans,
      Allowed allowed,
      Rules rules) {}

  /**
   * One backend of a roster; startedMs is 0 when it started long ago. Where it listens is a number
   * that only the gateway reads; {@link #NOWHERE} where that is not told.
   */
  public record BackendEntry(
      long id, String zone, int cell, Phase phase, double size, double startedMs, long place) {

    public static final long NOWHERE = 0;

    public BackendEntry(
        long id, String zone, int cell, Phase phase, double size, double startedMs) {
      this(id, zone, cell, phase, size, startedMs, NOWHERE);
    }
  }

  /** What a module knows of the backends that serve, for its gateway to look up. */
  public interface Listing {
    /** Where a backend listens; {@link BackendEntry#NOWHERE} for one that does not serve. */
    long place(long id);

    /** When a backend that serves started, as it is taken for. */
    double startedMs(long id);

    /** Whether any serves. */
    boolean any();
  }

  /** A load report; a value that was not reported is NaN. */
  public record Load(double inFlight, double serviceMs) {}

  /** What a gateway tells its module. */
  public sealed interface Event {}

  public record Roster(RosterForm form, List<BackendEntry> entries) implements Event {}

  /**
   * A request; its class is that of the settings it was read by, and null where they name none
   * such. So is what it may use and do; null where those are the module's own.
   */
  public record Request(
      String id,
      RequestClass type,
      String planName,
      long customer,
      int entryPoints,
      double units,
      double giveUpMs,
      Allowed allowed)
      implements Event {

    public Request(
        String id,
        RequestClass type,
        String planName,
        long customer,
        int entryPoints,
        double units,
        double giveUpMs) {
      this(id, type, planName, customer, entryPoints, units, giveUpMs, null);
    }

    /** The same while its body is still coming: its time is not known yet. */
    public Request withoutLimit() {
      return new Request(
          id, type, planName, customer, entryPoints, units, Double.POSITIVE_INFINITY, allowed);
    }
  }

  /** From now on these settings hold; what is open keeps its class. */
  public record Reconfigured(Settings settings) implements Event {}

  /**
   * The last byte of a request has come that was taken while its body was still coming, with no
   * time to give up at: it is known from here. What was sent of such a body cannot be sent again.
   */
  public record BodyWhole(String request, double giveUpMs) implements Event {}

  /** A streamed answer has begun. */
  public record StreamBegan(String request, int attempt) implements Event {}

  /** How an attempt ended; trueUnits is 0 when unknown, load is null when no report came. */
  public record Outcome(
      String request,
      int attempt,
      long backend,
      Status status,
      double latencyMs,
      boolean over,
      double trueUnits,
      Load load)
      implements Event {}

  /** The request is over: its client has left. */
  public record ClientLeft(String request) implements Event {}

  /** The end of a call to the counter; total is valid with OK. */
  public record Counted(String name, Status status, double total, double latencyMs)
      implements Event {}

  public record Woken(String label) implements Event {}

  /** What a module has its gateway do. */
  public sealed interface Action {}

  /**
   * Start an attempt; the n-th Send of a request, from 0, is its attempt n. It ends as NOT_SENT if
   * it cannot be written within startMs, infinite where any time will do.
   */
  public record Send(String request, long backend, double timeoutMs, double startMs)
      implements Action {}

  /** Final answer: refused, trying again is harmless; holdOffMs of 0 gives no advice. */
  public record Refuse(String request, double holdOffMs) implements Action {}

  /** Final answer: failed, nothing promised. */
  public record Fail(String request) implements Action {}

  public record Cancel(String request, int attempt) implements Action {}

  /** Add to a named count; a new name starts at 0 and is forgotten after ttlMs. */
  public record Add(String name, double amount, double ttlMs) implements Action {}

  public record WakeAt(double atMs, String label) implements Action {}

  /** Ask for changes of the roster from now on. */
  public record FollowRoster() implements Action {}
}
