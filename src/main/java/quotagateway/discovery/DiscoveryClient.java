package quotagateway.discovery;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;
import quotagateway.transport.Dialer;
import quotagateway.transport.MonotonicClock;

/**
 * Watches the list of backends; while the watch is down the last list stays in use.
 *
 * <p>A change counts as told 6 s after discovery had it and could be reached, and 6 s after the
 * watch that misses it fell silent, whatever became of calls meanwhile. The next call follows a
 * failed one at the latest
 *
 * <ul>
 *   <li>that was refused, closed, answered by an error or ended: after the longest back-off, 300
 *       ms;
 *   <li>that did not come up: 500 ms and the back-off, 800 ms;
 *   <li>that came up and did not begin to answer: 500 ms;
 *   <li>that stopped within a list: 300 ms and the back-off, 600 ms;
 *   <li>that began to answer and told nothing, or fell silent: 2,500 ms;
 *   <li>that told the fourth list in a row, or a later one, that cannot be taken: 3,000 ms.
 * </ul>
 *
 * The back-off does not grow beyond its longest, so the sum holds for calls that failed before as
 * well. A watch that falls silent, one more that tells nothing and one that does not come up make
 * 5,800 ms.
 */
public final class DiscoveryClient {

  private static final Logger LOG = Logger.getLogger(DiscoveryClient.class.getName());

  /**
   * Read at once, of a list too: some thirty entries, so that what else the loop has to do comes
   * between.
   */
  private static final int READ_BYTES = 4 * 1024;

  /**
   * The agent is on this machine and answers at once: a watch that has not begun by then is broken.
   */
  private static final long BEGIN_MS = 500;

  /**
   * Empty lines come every 2 s, the first of them too. With this much more, the watch is broken.
   */
  private static final long SILENT_MS = 2_000 + BEGIN_MS;

  /**
   * A message comes without a pause. Part of one that stays alone would make all that follows part
   * of it.
   */
  private static final long WHOLE_MS = 300;

  private final EventLoop loop;
  private final MonotonicClock clock;
  private final EndpointUpdateDispatcher feed;
  private final Dialer dialer;
  private final int mostBackends;
  private long version;
  private final WatchBackoff backoff =
      new WatchBackoff(() -> ThreadLocalRandom.current().nextDouble());
  private Watch watch;

  /**
   * The one before, silent or at an address that is left: it may go on until the newer tells
   * something.
   */
  private Watch before;

  /** Asks for what came after that version, in lists of so many backends at most. */
  public DiscoveryClient(
      EventLoop loop,
      MonotonicClock clock,
      Dialer dialer,
      InetSocketAddress agent,
      long version,
      int mostBackends,
      Consumer<EndpointUpdate> listener) {
    this.loop = loop;
    this.clock = clock;
    this.dialer = dialer;
    this.version = version;
    this.mostBackends = mostBackends;
    feed = new EndpointUpdateDispatcher(loop, listener);
    watch = new Watch(agent);
  }

  /** Sockets to the agent, which come up within the time in which it has to answer. */
  public static Dialer dialer(EventLoop loop) {
    FixedRecvByteBufAllocator reads = new FixedRecvByteBufAllocator(READ_BYTES);
    reads.maxMessagesPerRead(1);
    return Dialer.sockets(loop, BEGIN_MS, reads);
  }

  public void start() {
    watch.connect();
  }

  /** Watches at another address; the old watch goes on until the new one tells something. */
  public void changeAddress(InetSocketAddress other) {
    if (!other.equals(watch.agent)) {
      backoff.reset();
      replace(other);
    }
  }

  private void replace(InetSocketAddress agent) {
    leave();
    before = watch;
    watch = new Watch(agent);
    watch.connect();
  }

  private void leave() {
    if (before != null) {
      before.close();
      before = null;
    }
  }

  private void later(Watch ended) {
    if (ended != watch || loop.isShuttingDown()) {
      return;
    }
    double wait = backoff.waitMs(clock.now() - ended.since);
    loop.schedule(
        () -> {
          if (ended == watch) {
            watch = new Watch(ended.agent);
            watch.connect();
          }
        },
        (long) wait,
        TimeUnit.MILLISECONDS);
  }

  /** One watch on one connection. */
  private final class Watch extends ChannelInitializer<Channel> {
    private final InetSocketAddress agent;
    private final double since = clock.now();

    /**
     * When it was connected, began, or brought some of its body last: bytes of less are no sign of
     * life.
     */
    private double heardAt = since;

    private final EndpointListReader reader;
    private boolean begun;
    private Channel channel;

    Watch(InetSocketAddress agent) {
      this.agent = agent;
      reader = new EndpointListReader(mostBackends, DiscoveryClient.this::take);
    }

    void connect() {
      ChannelFuture connected = dialer.dial(agent, this);
      channel = connected.channel();
      connected.addListener(
          (ChannelFuture f) -> {
            if (!f.isSuccess()) {
              // Where no socket was to be had there is no channel that could close.
              later(this);
            } else {
              f.channel().closeFuture().addListener(closed -> later(this));
              heardAt = clock.now();
              DefaultFullHttpRequest ask =
                  new DefaultFullHttpRequest(
                      HttpVersion.HTTP_1_1,
                      HttpMethod.GET,
                      "/discovery/hosts?stream=1&index=" + version);
              String host = agent.getAddress().getHostAddress() + ":" + agent.getPort();
              ask.headers().set(HttpHeaderNames.HOST, host);
              f.channel().writeAndFlush(ask);
              check();
            }
          });
    }

    /** Opens another in place of one that is silent: a vanished machine resets nothing. */
    private void check() {
      if (this != watch || !channel.isActive()) {
        return;
      }
      double left = (begun ? SILENT_MS : BEGIN_MS) - (clock.now() - heardAt);
      if (left <= 0) {
        replace(agent);
      } else {
        loop.schedule(this::check, (long) Math.ceil(left), TimeUnit.MILLISECONDS);
      }
    }

    void close() {
      if (channel.isOpen()) {
        channel.close();
      }
    }

    @Override
    protected void initChannel(Channel ch) {
      ch.pipeline().addLast(new HttpClientCodec(), new Unwrapper(this), new Listener(this));
    }
  }

  /** Passes on the bytes of the answer's body, in which messages and chunks end where they like. */
  private final class Unwrapper extends SimpleChannelInboundHandler<HttpObject> {
    private final Watch source;

    Unwrapper(Watch source) {
      this.source = source;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
      boolean good =
          part.decoderResult().isSuccess()
              && !(part instanceof HttpResponse r && !r.status().equals(HttpResponseStatus.OK));
      boolean tells = good && part instanceof HttpContent content && content.content().isReadable();
      if (tells || good && !source.begun) {
        source.heardAt = clock.now();
      }
      source.begun |= good;
      if (tells) {
        if (source == watch) {
          leave();
        }
        ctx.fireChannelRead(((HttpContent) part).content().retain());
      }
      if (!good || part instanceof LastHttpContent) {
        ctx.close();
      }
    }
  }

  private void take(EndpointUpdate news) {
    // A version that is none must not be asked for: the watch would be refused for good.
    if (news.version() > 0) {
      version = news.version();
      if (backoff.taken()) {
        LOG.info("the list of backends is taken again, version " + version);
      }
    }
    feed.dispatch(news);
  }

  /** Hands the bytes of one watch to its reader. */
  private final class Listener extends SimpleChannelInboundHandler<ByteBuf> {
    private final Watch source;
    private boolean failed;
    private long pieces;

    Listener(Watch source) {
      this.source = source;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
      pieces++;
      if (!failed && (source == watch || source == before)) {
        try {
          source.reader.read(ByteBufUtil.getBytes(bytes));
        } catch (IOException e) {
          failed = true;
          notTaken(e);
          ctx.close();
        }
      }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
      if (source.reader.hasPartialMessage()) {
        long then = pieces;
        loop.schedule(
            () -> {
              if (source.reader.hasPartialMessage() && pieces == then) {
                ctx.close();
              }
            },
            WHOLE_MS,
            TimeUnit.MILLISECONDS);
      }
    }

    /** Junk or a broken connection: a new watch from the last good version makes up for it. */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      LOG.log(Level.FINE, "watch ended", cause);
      ctx.close();
    }
  }

  private void notTaken(IOException cause) {
    if (backoff.notTaken()) {
      LOG.warning("the list after version " + version + " cannot be taken: " + cause.getMessage());
    }
  }
}
