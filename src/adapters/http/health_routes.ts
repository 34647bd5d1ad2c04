/** Health checks for the load balancer, and metrics for Prometheus. */
import type { Agreement, Clock } from "../../ports/index.ts";
import type { PrometheusMetrics } from "../metrics/index.ts";
import { sendJson } from "./exchange.ts";
import type { HttpServer } from "./http_server.ts";

/** Options of {@link addHealthRoutes}. */
export interface HealthRoutesOptions {
  readonly agreement: Agreement;
  readonly clock: Clock;
  readonly metrics: PrometheusMetrics;
  /** Tells whether the entry has begun a planned stop. */
  readonly isStopping: () => boolean;
  /**
   * Tells whether a permit coordinator has completed its takeover since this
   * entry started; before that, this entry cannot obtain permits.
   */
  readonly hasSeenTakeoverEnd: () => boolean;
}

/**
 * Adds `/healthz`, `/readyz` and `/metrics`.
 *
 * @param server - The entry's HTTP server.
 * @param options - The conditions of readiness, and the metrics.
 */
export function addHealthRoutes(
  server: HttpServer,
  options: HealthRoutesOptions,
): void {
  server.route(["GET"], "/healthz", ({ response }) => {
    sendJson(response, 200, { alive: true });
    return Promise.resolve();
  });
  server.route(["GET"], "/readyz", ({ response }) => {
    const reason = findNotReadyReason(options);
    sendJson(response, reason === undefined ? 200 : 503, {
      ready: reason === undefined,
      reason,
    });
    return Promise.resolve();
  });
  server.route(["GET"], "/metrics", async ({ response }) => {
    options.metrics.setRevision(options.agreement.state.revision);
    const text = await options.metrics.render();
    response.writeHead(200, { "content-type": "text/plain; version=0.0.4" });
    response.end(text);
  });
}

function findNotReadyReason(options: HealthRoutesOptions): string | undefined {
  if (options.isStopping()) {
    return "the entry is stopping";
  }
  const isFresh =
    options.agreement.status().freshUntilMs > options.clock.monotonicMs();
  if (!isFresh) {
    return "the entry cannot guarantee that its configuration is current";
  }
  // Until a coordinator has completed its takeover, requests would only wait,
  // many of them past their deadlines.
  return options.hasSeenTakeoverEnd()
    ? undefined
    : "the permit coordinator is still counting the running attempts";
}
