/** Metrics of connections with prom-client. */
import { Counter, Gauge, type Registry } from "prom-client";
import type { CloseReason, ConnectionMetrics } from "../../ports/index.ts";

/** Collects the metrics of all HTTP interfaces of one process. */
export class PrometheusConnectionMetrics implements ConnectionMetrics {
  readonly #closed: Counter<"reason">;
  readonly #heldBytes: Gauge;

  /** @param registry - Where the metrics are rendered. */
  constructor(registry: Registry) {
    this.#closed = new Counter({
      name: "cardamomsill_closed_connections_total",
      help: "Connections that were closed for what their clients left open",
      labelNames: ["reason"],
      registers: [registry],
    });
    this.#heldBytes = new Gauge({
      name: "cardamomsill_held_body_bytes",
      help: "Memory of the bodies of requests that are not answered",
      registers: [registry],
    });
  }

  countClosedConnection(reason: CloseReason): void {
    this.#closed.inc({ reason });
  }

  addHeldBytes(byteCount: number): void {
    this.#heldBytes.inc(byteCount);
  }
}
