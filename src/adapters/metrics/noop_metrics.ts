/** Metrics ports for processes that expose no metrics of the kind. */
import type { ConnectionMetrics, Metrics } from "../../ports/index.ts";

/** Discards all measurements. */
export class NoopMetrics implements Metrics {
  recordRequest(): void {}

  setRevision(): void {}

  countControlBytes(): void {}
}

/** Discards all measurements of connections. */
export class NoopConnectionMetrics implements ConnectionMetrics {
  countClosedConnection(): void {}

  addHeldBytes(): void {}
}
