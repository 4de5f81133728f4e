package quotagateway.backend;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import quotagateway.discovery.EndpointUpdate;
import quotagateway.endpoint.Endpoint;
import quotagateway.endpoint.EndpointState;
import quotagateway.endpoint.ServingEndpoints;
import quotagateway.policy.event.Status;
import quotagateway.transport.BackendAddress;
import quotagateway.transport.ConnectionBudget;
import quotagateway.transport.Dialer;
import quotagateway.transport.MonotonicClock;
import quotagateway.transport.PeriodicTask;

/**
 * The connections to the backends, and the attempts on them. It picks no backend and repeats
 * nothing.
 */
public final class BackendConnectionPool {

  /**
   * An idle connection is retired at this share of the backends' own limit, well before they close
   * it.
   */
  private static final double RETIRE_AT = 0.6;

  /**
   * A connection is used again only when it has been quiet for this long after an answer. Guards
   * against a second copy just behind, which nothing but the moment of its coming tells from the
   * next answer.
   */
  private static final double SETTLE_MS = 4;

  private static final long SWEEP_MS = 500;

  /** A backend that has connections, or is about to. */
  static final class Backend {
    InetSocketAddress place;
    private long listedPlace;
    private double startedMs;
    private boolean gone;

    /** Connections that are open or coming up. */
    private int connections;

    /** The last one in was used last, and is used next: the others grow old and are retired. */
    private final ArrayDeque<BackendConnection> idle = new ArrayDeque<>();

    private final Set<Attempt> connecting = new HashSet<>();

    Backend(long place, double startedMs) {
      listedPlace = place;
      this.place = BackendAddress.decode(place);
      this.startedMs = startedMs;
    }

    private void release(List<Attempt> unsent) {
      PeriodicTask.forEachIsolated(idle, BackendConnection::close);
      unsent.addAll(connecting);
    }
  }

  private final EventLoop loop;
  private final MonotonicClock clock;
  private final Dialer dialer;
  private final double idleLimitMs;
  private final ConnectionBudget places;
  private final ServingEndpoints listing;

  /**
   * Those with connections, by identifier; of the others the listing tells the place when it is
   * needed.
   */
  private final Map<Long, Backend> backends = new HashMap<>();

  /** Read by the admin server too. */
  private volatile boolean knowsAny;

  final IdleConnectionReuse trust = new IdleConnectionReuse();

  public BackendConnectionPool(
      EventLoop loop,
      MonotonicClock clock,
      Dialer dialer,
      double idleLimitMs,
      ConnectionBudget places,
      ServingEndpoints listing) {
    this.loop = loop;
    this.clock = clock;
    this.idleLimitMs = idleLimitMs * RETIRE_AT;
    this.places = places;
    this.listing = listing;
    this.dialer = dialer;
    PeriodicTask.schedule(loop, SWEEP_MS, this::retireIdle);
  }

  /**
   * Looks at what discovery told, which the listing has already. What is unused or still coming up
   * leads to nobody any more where a backend drains or is gone, or has moved or started again:
   * another may live at its old place.
   */
  public void onRoster(EndpointUpdate news) {
    List<Backend> left = new ArrayList<>();
    news.endpoints().forEach(e -> look(e, left));
    if (news.isSnapshot()) {
      List.copyOf(backends.keySet()).stream()
          .filter(id -> listing.address(id) == Endpoint.NO_ADDRESS)
          .forEach(id -> remove(id, left));
    }
    knowsAny = listing.anyServing();
    // Only now, as what is given up may go to any backend of the list at once.
    List<Attempt> unsent = new ArrayList<>();
    left.forEach(b -> b.release(unsent));
    PeriodicTask.forEachIsolated(unsent, a -> a.abandon(Status.NOT_SENT));
  }

  private void look(Endpoint e, List<Backend> left) {
    Backend b = backends.get(e.id());
    if (b != null && e.state() != EndpointState.SERVING) {
      remove(e.id(), left);
    } else if (b != null && (e.address() != b.listedPlace || e.startedMs() != b.startedMs)) {
      left.add(b);
      b.listedPlace = e.address();
      b.place = BackendAddress.decode(e.address());
      b.startedMs = e.startedMs();
    }
  }

  /**
   * Guards the rule on drains: an attempt that still waits for its connection is not written any
   * more.
   */
  private void remove(long id, List<Backend> left) {
    Backend b = backends.remove(id);
    if (b != null) {
      b.gone = true;
      left.add(b);
    }
  }

  public boolean knowsAny() {
    return knowsAny;
  }

  double now() {
    return clock.now();
  }

  /** Gives an attempt up after that time, if it is known. */
  public void limit(Attempt attempt, double timeoutMs) {
    if (timeoutMs < Double.POSITIVE_INFINITY) {
      attempt.timer =
          loop.schedule(
              () -> attempt.abandon(attempt.overdue()),
              Math.max(0, (long) (timeoutMs * 1000)),
              TimeUnit.MICROSECONDS);
    }
  }

  /** The backend with its connections, or null for one that does not serve. */
  private Backend backend(long id) {
    Backend b = backends.get(id);
    long place = b == null ? listing.address(id) : Endpoint.NO_ADDRESS;
    if (place != Endpoint.NO_ADDRESS) {
      b = new Backend(place, listing.startedMs(id));
      backends.put(id, b);
    }
    return b;
  }

  /**
   * Gives an attempt up that is not written whole after that time: its last byte must not go out
   * later.
   */
  private void limitWrite(Attempt attempt, double startMs) {
    if (startMs < Double.POSITIVE_INFINITY) {
      loop.schedule(
          () -> {
            if (!attempt.written) {
              attempt.abandon(attempt.overdue());
            }
          },
          (long) (startMs * 1000),
          TimeUnit.MICROSECONDS);
    }
  }

  /**
   * Starts an attempt on an idle connection, or on a new one; it is written whole in startMs, or
   * fails.
   */
  public void start(long id, Attempt attempt, double startMs) {
    Backend b = backend(id);
    if (b == null || startMs <= 0 || attempt.timeoutMs <= 0) {
      attempt.end(Status.NOT_SENT, null);
      return;
    }
    if (!attempt.wanted()) {
      return;
    }
    attempt.dueAt = clock.now() + attempt.timeoutMs;
    attempt.writeBy = clock.now() + startMs;
    limit(attempt, attempt.timeoutMs);
    limitWrite(attempt, startMs);
    BackendConnection c = idle(b, attempt);
    if (c != null) {
      c.carry(attempt);
    } else if (!places.hasRoomForBackendConnection() && !dropIdle()) {
      attempt.end(Status.NOT_SENT, null);
    } else {
      connect(b, attempt);
    }
  }

  /**
   * The connection used last, if it has settled, and not so long ago that the backend may be
   * closing it, or that it may be dead under an attempt that could not be made good.
   */
  private BackendConnection idle(Backend b, Attempt attempt) {
    double now = clock.now();
    BackendConnection found = null;
    for (Iterator<BackendConnection> i = b.idle.descendingIterator();
        found == null && i.hasNext(); ) {
      BackendConnection c = i.next();
      if (c.idleSince < now - SETTLE_MS) {
        if (attempt.once() && !trust.trusts(now - c.idleSince)) {
          return null;
        }
        i.remove();
        c.idleMs = now - c.idleSince;
        if (c.usable() && c.idleSince >= now - idleLimitMs) {
          found = c;
        } else {
          c.close();
        }
      }
    }
    return found;
  }

  private void connect(Backend b, Attempt attempt) {
    places.addBackendConnections(1);
    b.connections++;
    b.connecting.add(attempt);
    ResponseDecoder decoder = new ResponseDecoder();
    BackendConnection c = new BackendConnection(this, b, decoder);
    ChannelFuture connected =
        dialer.dial(
            b.place,
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                channel.pipeline().addLast(decoder, new HttpRequestEncoder(), c);
              }
            });
    connected.addListener(
        (ChannelFuture f) -> {
          if (f.isSuccess()) {
            f.channel().closeFuture().addListener(closed -> giveBack(b));
          } else {
            // Where no socket was to be had there is no channel that could close.
            giveBack(b);
          }
        });
    connected.addListener(
        (ChannelFuture f) -> {
          b.connecting.remove(attempt);
          // Guards against writing what has timed out, was cancelled or must not reach a drained
          // backend, and
          // what is for a client that has left.
          if (!attempt.wanted()) {
            closeIfConnected(f);
          } else if (f.isSuccess() && clock.now() > attempt.writeBy) {
            f.channel().close();
            attempt.end(Status.NOT_SENT, null);
          } else if (f.isSuccess()) {
            c.carry(attempt);
          } else {
            attempt.end(unconnected(f.cause()), null);
          }
        });
  }

  private void giveBack(Backend b) {
    b.connections--;
    places.addBackendConnections(-1);
  }

  /** One that did not come up has closed itself, or there was no socket for it. */
  private static void closeIfConnected(ChannelFuture connected) {
    if (connected.isSuccess()) {
      connected.channel().close();
    }
  }

  /**
   * A reset shows that something lives there, which took the connection and dropped it: BROKEN.
   * Guards against taking live backends for restarted ones, whatever resets: their full tables, a
   * box between, a slow loop that first looks when all is over. Harm: a machine that comes back and
   * resets what was under way meanwhile is met once more before a refusal, or the list, tells of
   * its restart.
   */
  private static Status unconnected(Throwable cause) {
    if (cause instanceof ChannelException) {
      // No socket was to be had here: that tells nothing of the backend.
      return Status.NOT_SENT;
    }
    return String.valueOf(cause.getMessage()).contains("reset")
        ? Status.WRITE_INCOMPLETE
        : Status.CONNECT_FAILED;
  }

  void release(BackendConnection c) {
    if (!c.backend.gone && c.backend.place.equals(c.place)) {
      c.idleSince = clock.now();
      c.backend.idle.addLast(c);
    } else {
      c.close();
    }
  }

  void closed(BackendConnection c) {
    c.backend.idle.remove(c);
  }

  private void retireIdle() {
    double before = clock.now() - idleLimitMs;
    for (Backend b : backends.values()) {
      while (!b.idle.isEmpty() && b.idle.peekFirst().idleSince < before) {
        b.idle.pollFirst().close();
      }
    }
    backends.values().removeIf(b -> b.connections == 0);
  }

  private boolean dropIdle() {
    for (Backend b : backends.values()) {
      BackendConnection c = b.idle.pollFirst();
      if (c != null) {
        c.close();
        return true;
      }
    }
    return false;
  }
}
