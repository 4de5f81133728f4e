/**
 * Soak test of real gateway processes whose clients, backends, shared counter and discovery agent
 * are stand-ins. The steps and faults of a run are drawn from a seed. The clients and backends
 * record the events of each request in a history, which is then checked against the rules of the
 * service.
 */
package quotagateway.soak;
