/**
 * The decision logic of one gateway, without I/O. {@link quotagateway.policy.GatewayPolicy} maps
 * each event to a list of actions. For a request it consults, in this order: {@code admission},
 * whether the backends have capacity for it; {@code quota}, whether its customer's plan allows it;
 * {@code routing}, which backend serves it; and, after a failed attempt, {@code retry}, whether
 * another attempt follows.
 *
 * <p>No class in this package or its subpackages blocks, opens a socket, reads a clock or starts a
 * thread. Events carry the time, and random numbers come from a seeded generator, so the same
 * events with the same seed produce the same actions. The simulator drives this code.
 */
package quotagateway.policy;
